package host

import (
	"math/rand/v2"
	"sync"

	"github.com/asynkron/protoactor-go/actor"

	"github.com/carawayrack/carawayrack/clock"
	"github.com/carawayrack/carawayrack/config"
	"github.com/carawayrack/carawayrack/lease"
	"github.com/carawayrack/carawayrack/leaseholder"
	"github.com/carawayrack/carawayrack/placement"
	"github.com/carawayrack/carawayrack/refusal"
	"github.com/carawayrack/carawayrack/wire"
)

// shards holds the actors of the shards whose groups this host is a member of.
type shards struct {
	host *Host

	mu     sync.RWMutex
	actors map[int]*actor.PID
	// departed marks the shards whose groups this process has left.
	departed map[int]bool
	// rosterSequence is the sequence of the roster with which the actors were last
	// reconciled.
	rosterSequence uint64
}

const (
	// memberTimeout is the timeout of a call to a shard's member or to a host.
	memberTimeout = 500 * clock.Millis(1)
	// acquireTimeout is the greatest timeout of Acquire, whatever wait the request
	// states.
	acquireTimeout = 60 * clock.Second
)

func (s *shards) run() {
	s.actors = map[int]*actor.PID{}
	s.departed = map[int]bool{}
}

func (s *shards) get(shard int) *actor.PID {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.actors[shard]
}

func (s *shards) all() []*actor.PID {
	s.mu.RLock()
	defer s.mu.RUnlock()
	l := make([]*actor.PID, 0, len(s.actors))
	for _, p := range s.actors {
		l = append(l, p)
	}
	return l
}

// tick reconciles the actors with the current roster and sends each of them a
// Tick.
func (s *shards) tick() {
	if n := s.host.config(); n.RosterSequence != s.rosterSequence {
		s.rosterSequence = n.RosterSequence
		s.reconcile(n)
	}
	for _, p := range s.all() {
		s.host.actors.Root.Send(p, &leaseholder.Tick{})
	}
}

// reconcile starts the actors of the shards whose groups this host has joined
// and stops those of groups it has left.
func (s *shards) reconcile(n *config.State) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := 0; i < placement.Shards; i++ {
		p, running := s.actors[i]
		member := s.isMember(n, i)
		if member && !running {
			s.actors[i] = s.spawn(n, i)
		}
		if !member && running {
			s.host.actors.Root.Stop(p)
			delete(s.actors, i)
			s.departed[i] = true
		}
	}
}

// isMember reports whether this host is in one of the shard's groups.
func (s *shards) isMember(n *config.State, shard int) bool {
	for _, g := range placement.Groups(n, shard) {
		for _, id := range g {
			if id == s.host.Settings.ID {
				return true
			}
		}
	}
	return false
}

// spawn starts the actor of a shard.
func (s *shards) spawn(n *config.State, shard int) *actor.PID {
	h := s.host
	k := &leaseholder.Shard{
		Number: shard, Host: h.Settings.ID, Incarnation: h.incarnation, Options: h.Settings.Leaseholder,
		Transport: h.transport(), Random: rand.IntN, Config: h.config, Current: h.current,
		Bootstrap: !s.departed[shard] && h.isBootstrapMember(n, shard), Journal: h.journal.Add, Violated: h.reportViolation,
	}
	return h.actors.Root.Spawn(actor.PropsFromProducer(func() actor.Actor { return k }))
}

// isBootstrapMember reports whether this process was in the first group of a
// shard. Such a process cannot have lost state of the shard in a restart.
func (h *Host) isBootstrapMember(n *config.State, shard int) bool {
	f, ok := n.InitialHosts[h.Settings.ID]
	if !ok || f.Incarnation != h.incarnation {
		return false
	}
	for _, id := range placement.Group(n.InitialHosts, shard) {
		if id == h.Settings.ID {
			return true
		}
	}
	return false
}

// resign makes every shard give up its lease.
func (s *shards) resign() {
	for _, p := range s.all() {
		s.host.actors.Root.Send(p, &leaseholder.Stop{})
	}
}

// close stops every actor and waits for its end.
func (s *shards) close() {
	for _, p := range s.all() {
		_ = s.host.actors.Root.StopFuture(p).Wait()
	}
}

// request sends a message to the actor of a shard and waits for its reply.
func request[T any](s *shards, shard int, m any, timeout clock.Millis, reply *T) error {
	p := s.get(shard)
	if p == nil {
		return refusal.New(refusal.NotLeaseholder, "not a member of the shard")
	}
	v, err := s.host.actors.Root.RequestFuture(p, m, timeout.Duration()).Result()
	if err != nil {
		return refusal.NewMaybeRun(refusal.TimedOut, err.Error())
	}
	r, ok := v.(T)
	if !ok {
		return refusal.New(refusal.NotLeaseholder, "the shard's actor ended")
	}
	*reply = r
	return nil
}

// ShardService serves the shards over net/rpc under the name Keeper.
type ShardService struct{ shards *shards }

// Lease receives lease messages from other members of the groups.
func (k *ShardService) Lease(l []lease.Message, _ *wire.Nothing) error {
	for _, m := range l {
		if p := k.shards.get(m.Shard); p != nil {
			k.shards.host.actors.Root.Send(p, m)
		}
	}
	return nil
}

// Release receives releases of grants.
func (k *ShardService) Release(l []leaseholder.ReleaseArgs, _ *wire.Nothing) error {
	for i := range l {
		if p := k.shards.get(l[i].Shard); p != nil {
			k.shards.host.actors.Root.Send(p, &l[i])
		}
	}
	return nil
}

// Announce receives announcements of targets.
func (k *ShardService) Announce(l []leaseholder.AnnounceArgs, _ *wire.Nothing) error {
	for i := range l {
		if p := k.shards.get(l[i].Shard); p != nil {
			k.shards.host.actors.Root.Send(p, &l[i])
		}
	}
	return nil
}

// Take lends tokens.
func (k *ShardService) Take(a leaseholder.TakeArgs, r *leaseholder.TakeReply) error {
	return request(k.shards, a.Shard, &a, memberTimeout, r)
}

// Acquire grants a slot.
func (k *ShardService) Acquire(a leaseholder.AcquireArgs, r *leaseholder.AcquireReply) error {
	return request(k.shards, a.Shard, &a, min(a.Request.Wait+memberTimeout, acquireTimeout), r)
}

// Renew renews grants.
func (k *ShardService) Renew(a leaseholder.RenewArgs, r *leaseholder.RenewReply) error {
	return request(k.shards, a.Shard, &a, memberTimeout, r)
}

// Report receives the grants and loans that a host holds.
func (k *ShardService) Report(a leaseholder.ReportArgs, r *leaseholder.ReportReply) error {
	return request(k.shards, a.Shard, &a, memberTimeout, r)
}

// Begin decides whether a request with an Idempotency-Key may run.
func (k *ShardService) Begin(a leaseholder.BeginArgs, r *leaseholder.BeginReply) error {
	return request(k.shards, a.Shard, &a, 4*memberTimeout, r)
}

// Finish records the outcome of a request with an Idempotency-Key.
func (k *ShardService) Finish(a leaseholder.FinishArgs, r *leaseholder.FinishReply) error {
	return request(k.shards, a.Shard, &a, memberTimeout, r)
}

// Shadow stores a copy of the leaseholder's pool state.
func (k *ShardService) Shadow(a leaseholder.ShadowArgs, r *leaseholder.MemberReply) error {
	return request(k.shards, a.Shard, &a, memberTimeout, r)
}

// Replicate stores idempotency records of the leaseholder.
func (k *ShardService) Replicate(a leaseholder.ReplicateArgs, r *leaseholder.MemberReply) error {
	return request(k.shards, a.Shard, &a, memberTimeout, r)
}

// Recall returns the stored idempotency records to a new leaseholder.
func (k *ShardService) Recall(a leaseholder.RecallArgs, r *leaseholder.RecallReply) error {
	return request(k.shards, a.Shard, &a, memberTimeout, r)
}
