// Package api holds the messages between the fleet's processes that more than
// one kind of process reads.
package api

import (
	"github.com/carawayrack/carawayrack/clock"
	"github.com/carawayrack/carawayrack/config"
)

// Update brings a configuration forward: either the changes that follow the
// asked sequence or the whole state.
type Update struct {
	// From is the sequence that Changes start after.
	From     uint64
	Sequence uint64
	Digest   string
	// Changes are encoded changes in order.
	Changes [][]byte
	// State is an encoded state, nil where Changes suffice.
	State []byte
}

// Proof is a proof, passed on from the leader, that no configuration newer
// than Sequence was accepted Age before the answer was sent.
type Proof struct {
	Known    bool
	Sequence uint64
	Age      clock.Millis
}

// Sighting says that a host held Sequence and nothing newer, Age before the
// answer was sent.
type Sighting struct {
	Host     string
	Sequence uint64
	Age      clock.Millis
	Flags    Flags
}

// FollowArgs asks a control replica for news. It registers the host and
// acknowledges what the host holds.
type FollowArgs struct {
	Host     config.Host
	Sequence uint64
}

// FollowReply answers FollowArgs. Beat is known only if the replica leads.
type FollowReply struct {
	Update Update
	Beat   Proof
	// Leader is the address of the leader, empty if unknown.
	Leader string
}

// GossipArgs asks a peer host for news.
type GossipArgs struct {
	Host     string
	Sequence uint64
}

// GossipReply answers GossipArgs. Sightings include the answering host.
type GossipReply struct {
	Update    Update
	Beat      Proof
	Sightings []Sighting
}
