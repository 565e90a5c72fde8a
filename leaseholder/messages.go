package leaseholder

import (
	"github.com/carawayrack/carawayrack/clock"
	"github.com/carawayrack/carawayrack/idempotency"
	"github.com/carawayrack/carawayrack/limit"
	"github.com/carawayrack/carawayrack/refusal"
	"github.com/carawayrack/carawayrack/slots"
)

// Status is part of every reply of a keeper.
type Status struct {
	// Keeper is the host to ask instead, with refusal NotLeaseholder.
	Keeper  string
	Refusal *refusal.Refusal
}

// TakeArgs asks for tokens of an account.
type TakeArgs struct {
	Shard   int
	Account string
	Host    string
	// Want tokens are needed now, Ahead would be useful.
	Want, Ahead int
	Settled     []limit.Settlement
}

// TakeReply answers TakeArgs. Without tokens, Wait is the time until a token
// may be had.
type TakeReply struct {
	Status Status
	Loan   limit.Loan
	Life   clock.Millis
	Wait   clock.Millis
	// Settling is true while a new keeper learns what was lent before it.
	Settling bool
}

// AcquireArgs asks for a slot.
type AcquireArgs struct {
	Shard   int
	Request slots.Request
}

// AcquireReply answers AcquireArgs.
type AcquireReply struct {
	Status Status
	Result slots.Result
}

// ReleaseArgs ends a grant, or withdraws a request whose answer was lost if
// Ticket is not 0.
type ReleaseArgs struct {
	Shard   int
	Service string
	Release slots.Release
	Host    string
	Ticket  uint64
}

// AnnounceArgs passes on what a target said of itself.
type AnnounceArgs struct {
	Shard        int
	Announcement slots.Announcement
	// Leave is true if the target withdraws.
	Leave bool
}

// RenewArgs tells the keeper that the host still uses its grants.
type RenewArgs struct {
	Shard             int
	Host, Incarnation string
}

// RenewReply answers RenewArgs.
type RenewReply struct {
	Status Status
	// Unlearned is true if the keeper does not know what the host holds: its
	// own question did not get through. Term and Keeper are what it asks with.
	Unlearned bool
	Term      uint64
	Keeper    string
}

// ReportArgs tells the keeper what a host holds, as if it had asked.
type ReportArgs struct {
	Shard int
	Host  string
	Term  uint64
	Reply FenceReply
}

// ReportReply answers ReportArgs.
type ReportReply struct{ Status Status }

// BeginArgs asks whether a request with an Idempotency-Key may run.
type BeginArgs struct {
	Shard  int
	Record idempotency.Record
}

// BeginReply answers BeginArgs.
type BeginReply struct {
	Status  Status
	Verdict idempotency.Verdict
	Record  idempotency.Record
}

// FinishArgs records how a request with an Idempotency-Key ended. NotRun
// forgets its start.
type FinishArgs struct {
	Shard  int
	Key    idempotency.Key
	State  idempotency.State
	Answer idempotency.Response
	NotRun bool
}

// FinishReply answers FinishArgs.
type FinishReply struct{ Status Status }

// ShadowArgs shares the keeper's state with another member.
type ShadowArgs struct {
	Shard int
	Term  uint64
	Pools []slots.Snapshot
}

// ReplicateArgs shares records with another member. All is true if these are
// all records of the shard.
type ReplicateArgs struct {
	Shard   int
	Term    uint64
	Records []idempotency.Record
	All     bool
	Doubt   clock.Millis
}

// MemberReply answers ShadowArgs and ReplicateArgs.
type MemberReply struct {
	// Accepted is false if the member knows of a later term.
	Accepted bool
	// Complete is true if the member holds every acknowledged record.
	Complete bool
}

// RecallArgs asks a member for its records on behalf of a new keeper.
type RecallArgs struct {
	Shard int
	Term  uint64
}

// RecallReply answers RecallArgs.
type RecallReply struct {
	Accepted bool
	Complete bool
	Records  []idempotency.Record
	Doubt    clock.Millis
}

// FenceArgs makes a host refuse loans and grants of terms before Term and
// asks what it holds.
type FenceArgs struct {
	Shard  int
	Term   uint64
	Keeper string
}

// FenceReply answers FenceArgs.
type FenceReply struct {
	Incarnation string
	// Seen is the highest term that the host has seen; a keeper whose term is
	// not above it, or equal and its own, must stand again.
	Seen     uint64
	Refused  bool
	Holdings []slots.Holding
	// Loans are the unspent loans by account; Until is the time left.
	Loans map[string][]limit.Loan
}

// GetStatus returns the status of the reply.
func (r *TakeReply) GetStatus() *Status { return &r.Status }

// GetStatus returns the status of the reply.
func (r *AcquireReply) GetStatus() *Status { return &r.Status }

// GetStatus returns the status of the reply.
func (r *RenewReply) GetStatus() *Status { return &r.Status }

// GetStatus returns the status of the reply.
func (r *ReportReply) GetStatus() *Status { return &r.Status }

// GetStatus returns the status of the reply.
func (r *BeginReply) GetStatus() *Status { return &r.Status }

// GetStatus returns the status of the reply.
func (r *FinishReply) GetStatus() *Status { return &r.Status }
