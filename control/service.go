package control

import (
	"github.com/asynkron/protoactor-go/actor"

	"github.com/carawayrack/carawayrack/api"
	"github.com/carawayrack/carawayrack/clock"
	"github.com/carawayrack/carawayrack/config"
	"github.com/carawayrack/carawayrack/refusal"
	"github.com/carawayrack/carawayrack/replica"
	"github.com/carawayrack/carawayrack/wire"
)

const requestTimeout = 2 * clock.Second

// service sends net/rpc requests to the replica actor.
type service struct {
	root *actor.RootContext
	pid  *actor.PID
}

// request sends a message to the replica actor and waits for its reply.
func request[T any](s service, m any, timeout clock.Millis, reply *T) error {
	v, err := s.root.RequestFuture(s.pid, m, timeout.Duration()).Result()
	if err != nil {
		return refusal.NewMaybeRun(refusal.TimedOut, err.Error())
	}
	*reply = v.(T)
	return nil
}

// ReplicaService serves other replicas and hosts.
type ReplicaService struct{ service }

// Deliver receives messages of another replica.
func (s ReplicaService) Deliver(a []replica.Message, _ *wire.Nothing) error {
	s.root.Send(s.pid, &deliver{a})
	return nil
}

// Join admits a replica as a learner.
func (s ReplicaService) Join(a JoinArgs, p *JoinReply) error {
	return request(s.service, &join{a}, requestTimeout, p)
}

// Follow registers a host and returns configuration updates.
func (s ReplicaService) Follow(a api.FollowArgs, p *api.FollowReply) error {
	return request(s.service, &follow{a}, requestTimeout, p)
}

// OperatorService serves operators.
type OperatorService struct{ service }

// Submit proposes a change and waits until it is in force, has failed, or
// submitTimeout has passed. An invalid change is rejected with a refusal in the
// reply.
func (s OperatorService) Submit(a api.SubmitArgs, p *api.SubmitReply) error {
	c, err := config.DecodeChange(a.Change)
	if err == nil {
		err = c.Validate()
	}
	if err == nil && c.Internal {
		err = config.Problems{{Path: "internal", Got: "true", Expected: "false"}}
	}
	if err != nil {
		p.Refusal = refusal.New(refusal.InvalidChange, err.Error())
		return nil
	}
	return request(s.service, &submit{c, a.Change}, submitTimeout+requestTimeout, p)
}

// Fetch returns the configuration if this replica leads.
func (s OperatorService) Fetch(_ api.FetchArgs, p *api.FetchReply) error {
	return request(s.service, &fetch{}, requestTimeout, p)
}

// Status returns the status of the replica.
func (s OperatorService) Status(_ wire.Nothing, p *api.ReplicaStatus) error {
	return request(s.service, &status{}, requestTimeout, p)
}
