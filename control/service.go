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

const askTimeout = 2 * clock.Second

// service is the net/rpc face of the replica actor.
type service struct {
	root *actor.RootContext
	pid  *actor.PID
}

func ask[T any](s service, m any, timeout clock.Millis, reply *T) error {
	v, err := s.root.RequestFuture(s.pid, m, timeout.Duration()).Result()
	if err != nil {
		return refusal.NewMaybeRun(refusal.TimedOut, err.Error())
	}
	*reply = v.(T)
	return nil
}

// ReplicaService serves other replicas and hosts.
type ReplicaService struct{ service }

// Deliver accepts messages of another replica.
func (s ReplicaService) Deliver(a []replica.Message, _ *wire.Nothing) error {
	s.root.Send(s.pid, &deliver{a})
	return nil
}

// Join admits a replica.
func (s ReplicaService) Join(a JoinArgs, p *JoinReply) error {
	return ask(s.service, &join{a}, askTimeout, p)
}

// Follow serves hosts.
func (s ReplicaService) Follow(a api.FollowArgs, p *api.FollowReply) error {
	return ask(s.service, &follow{a}, askTimeout, p)
}

// OperatorService serves operators.
type OperatorService struct{ service }

// Submit proposes a change.
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
	return ask(s.service, &submit{c, a.Change}, submitTimeout+askTimeout, p)
}

// Fetch returns the configuration.
func (s OperatorService) Fetch(_ api.FetchArgs, p *api.FetchReply) error {
	return ask(s.service, &fetch{}, askTimeout, p)
}

// Status describes the replica.
func (s OperatorService) Status(_ wire.Nothing, p *api.ReplicaStatus) error {
	return ask(s.service, &status{}, askTimeout, p)
}
