// Package api defines the messages that control replicas, entry hosts and the
// operators' commands exchange.
package api

import (
	"github.com/carawayrack/carawayrack/clock"
	"github.com/carawayrack/carawayrack/config"
)

// Update carries a newer configuration: either the changes that follow the
// requested sequence or the whole state.
type Update struct {
	// From is the sequence to which Changes apply.
	From     uint64
	Sequence uint64
	Digest   string
	// Changes are the encoded changes in order of their sequence.
	Changes [][]byte
	// State is the encoded state, nil if Changes suffice.
	State []byte
}

// Proof is the leader's proof, which hosts forward to each other, that no
// configuration newer than Sequence had been accepted Age before the response
// was sent.
type Proof struct {
	// Known is false if the sender has no proof.
	Known    bool
	Sequence uint64
	Age      clock.Millis
}

// Sighting states that a host held Sequence and nothing newer, Age before the
// response was sent.
type Sighting struct {
	Host     string
	Sequence uint64
	Age      clock.Millis
	Flags    Flags
}

// FollowArgs requests newer configuration from a control replica. It registers
// the host and acknowledges Sequence, which the host holds.
type FollowArgs struct {
	Host     config.Host
	Sequence uint64
}

// FollowReply is the response to FollowArgs. Beat is known only if the replica
// is the leader.
type FollowReply struct {
	Update Update
	Beat   Proof
	// Leader is the address of the leader, empty if unknown.
	Leader string
}

// GossipArgs requests newer configuration from a peer host. Host is the
// requesting host, Sequence what it holds.
type GossipArgs struct {
	Host     string
	Sequence uint64
}

// GossipReply is the response to GossipArgs. Sightings include the responding
// host once its process has had a proof that its configuration is fresh: that of
// the leader, or sightings of a majority of the hosts.
type GossipReply struct {
	Update    Update
	Beat      Proof
	Sightings []Sighting
}
