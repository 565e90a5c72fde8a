package leaseholder

import (
	"github.com/carawayrack/carawayrack/clock"
	"github.com/carawayrack/carawayrack/idempotency"
	"github.com/carawayrack/carawayrack/limit"
	"github.com/carawayrack/carawayrack/refusal"
	"github.com/carawayrack/carawayrack/slots"
)

// Status is part of every reply of a leaseholder to a host.
type Status struct {
	// Keeper is the leaseholder to call instead, empty if it is not known. It is
	// set only if Refusal is NotLeaseholder.
	Keeper string
	// Refusal is nil if the call succeeded.
	Refusal *refusal.Refusal
}

// TakeArgs requests a loan of an account's tokens and returns earlier loans.
type TakeArgs struct {
	Shard   int
	Account string
	Host    string
	// Want is the number of tokens that requests wait for, Ahead the number to
	// prefetch.
	Want, Ahead int
	// Settled are loans that have ended, with their unspent tokens.
	Settled []limit.Settlement
}

// TakeReply is the reply to TakeArgs.
type TakeReply struct {
	Status Status
	Loan   limit.Loan
	// Life is the time for which the host may spend the tokens.
	Life clock.Millis
	// Wait is the time until a token may be available, if Loan has none.
	Wait clock.Millis
	// Settling is true while a new leaseholder does not know all loans of former
	// ones.
	Settling bool
}

// AcquireArgs requests a slot on a target of a service.
type AcquireArgs struct {
	Shard   int
	Request slots.Request
}

// AcquireReply is the reply to AcquireArgs.
type AcquireReply struct {
	Status Status
	Result slots.Result
}

// ReleaseArgs ends the grant that Release describes. If Ticket is not 0, it instead
// cancels the slot request of Host with that ticket, whose reply was lost.
type ReleaseArgs struct {
	Shard   int
	Service string
	Release slots.Release
	Host    string
	Ticket  uint64
}

// AnnounceArgs forwards a target's announcement of itself.
type AnnounceArgs struct {
	Shard        int
	Announcement slots.Announcement
	// Leave is true if the target leaves the service.
	Leave bool
}

// RenewArgs notifies the leaseholder that the host still uses or requests grants.
type RenewArgs struct {
	Shard             int
	Host, Incarnation string
}

// RenewReply is the reply to RenewArgs.
type RenewReply struct {
	Status Status
	// Unlearned is true if the leaseholder does not know what the host holds,
	// since no fence call has succeeded. The host then sends a ReportArgs.
	Unlearned bool
	// Term and Keeper identify the leaseholder, as in FenceArgs.
	Term   uint64
	Keeper string
}

// ReportArgs reports to the leaseholder what a host holds, as the reply to a fence
// call would.
type ReportArgs struct {
	Shard int
	Host  string
	Term  uint64
	Reply FenceReply
}

// ReportReply is the reply to ReportArgs.
type ReportReply struct{ Status Status }

// BeginArgs records the start of a request with an Idempotency-Key. The verdict in
// the reply is whether it may run.
type BeginArgs struct {
	Shard  int
	Record idempotency.Record
}

// BeginReply is the reply to BeginArgs. Record is the record of the key on which
// Verdict depends.
type BeginReply struct {
	Status  Status
	Verdict idempotency.Verdict
	Record  idempotency.Record
}

// FinishArgs records how a request with an Idempotency-Key ended.
type FinishArgs struct {
	Shard  int
	Key    idempotency.Key
	State  idempotency.State
	Answer idempotency.Response
	// NotRun is true if the request provably did not run. Its record is deleted.
	NotRun bool
}

// FinishReply is the reply to FinishArgs.
type FinishReply struct{ Status Status }

// ShadowArgs sends the state of the leaseholder's pools to another member.
type ShadowArgs struct {
	Shard int
	Term  uint64
	Pools []slots.Snapshot
}

// ReplicateArgs sends idempotency records to another member.
type ReplicateArgs struct {
	Shard   int
	Term    uint64
	Records []idempotency.Record
	// All is true if these are all records of the shard.
	All bool
	// Doubt is the time left in which keys without a record may have been used,
	// since the group has lost its records. It is 0 if no records were lost.
	Doubt clock.Millis
}

// MemberReply is the reply to ShadowArgs and ReplicateArgs.
type MemberReply struct {
	// Accepted is false if the member knows a later term or leads itself.
	Accepted bool
	// Complete is true if the member holds every acknowledged record.
	Complete bool
}

// RecallArgs requests a member's records for a new leaseholder.
type RecallArgs struct {
	Shard int
	Term  uint64
}

// RecallReply is the reply to RecallArgs. The other fields are as in MemberReply and
// ReplicateArgs.
type RecallReply struct {
	// Accepted is false if the member knows a later term.
	Accepted bool
	Complete bool
	Records  []idempotency.Record
	Doubt    clock.Millis
}

// FenceArgs makes a host refuse loans and grants of terms before Term, and
// requests a report of what it holds. Keeper is the new leaseholder.
type FenceArgs struct {
	Shard  int
	Term   uint64
	Keeper string
}

// FenceReply is the reply to FenceArgs.
type FenceReply struct {
	Incarnation string
	// Seen is the highest term that the host has seen.
	Seen uint64
	// Refused is true if the host has seen a later term, or another leaseholder
	// of the same term. The leaseholder must then campaign under a higher term.
	Refused bool
	// Holdings are the grants in use.
	Holdings []slots.Holding
	// Loans are the outstanding loans by account; their Until is the time left.
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
