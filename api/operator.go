package api

import (
	"github.com/carawayrack/carawayrack/config"
	"github.com/carawayrack/carawayrack/refusal"
)

// SubmitArgs proposes an encoded change.
type SubmitArgs struct {
	Change []byte
}

// SubmitReply is the response to SubmitArgs. It is sent once the change is in
// force or rejected, or once the replica stops waiting for that: at its deadline,
// or because it is not the leader. If InForce is false and Refusal is nil, the
// change is accepted, but hosts without it may still serve.
type SubmitReply struct {
	Outcome config.Outcome
	// InForce is true if every host that serves holds the change.
	InForce bool
	// Leader is the address to send the request to if Refusal is NotLeader.
	Leader  string
	Refusal *refusal.Refusal
}

// FetchArgs requests the configuration.
type FetchArgs struct{}

// FetchReply is the response to FetchArgs. State is the leader's encoded
// state.
type FetchReply struct {
	State   []byte
	Leader  string
	Refusal *refusal.Refusal
}

// ReplicaStatus describes one control replica.
type ReplicaStatus struct {
	ID       string            `json:"id"`
	Role     string            `json:"role"`
	Term     uint64            `json:"term"`
	Leader   string            `json:"leader"`
	Commit   uint64            `json:"commit"`
	Sequence uint64            `json:"sequence"`
	Version  uint64            `json:"version"`
	Digest   string            `json:"digest"`
	Voters   map[string]string `json:"voters"`
	Learners map[string]string `json:"learners"`
	// Acked is the sequence that each host last acknowledged, by host ID.
	Acked map[string]uint64 `json:"acked"`
}
