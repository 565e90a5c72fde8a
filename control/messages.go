package control

import (
	"github.com/carawayrack/carawayrack/api"
	"github.com/carawayrack/carawayrack/config"
	"github.com/carawayrack/carawayrack/replica"
)

// tick makes the replica check its timers.
type tick struct{}

// deliver contains messages of other replicas.
type deliver struct{ Messages []replica.Message }

// submit proposes a change. The response is an api.SubmitReply. Data is the
// encoded Change.
type submit struct {
	Change config.Change
	Data   []byte
}

// follow registers a host and requests configuration updates. The response is an
// api.FollowReply.
type follow struct{ Args api.FollowArgs }

// fetch requests the state. The response is an api.FetchReply.
type fetch struct{}

// status requests an api.ReplicaStatus.
type status struct{}

// join requests the admission of a replica as a learner. The response is a
// JoinReply.
type join struct{ Args JoinArgs }

// JoinArgs requests the admission of a replica. Without ID and Addr it only
// requests the state that JoinReply describes.
type JoinArgs struct {
	ID   string
	Addr string
}

// JoinReply is the response to JoinArgs.
type JoinReply struct {
	// Member is true if the replica is a member under the given address.
	Member bool
	// Started is true if the replica holds a committed log.
	Started bool
	// LeaderID and Leader are the ID and address of the leader, if known.
	LeaderID string
	Leader   string
}
