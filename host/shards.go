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

// shards holds the actors of the shards of which this host is a member.
type shards struct {
	host *Host

	mu     sync.RWMutex
	actors map[int]*actor.PID
	// left are shards that this process has been a member of and left.
	left map[int]bool
	// placed is the roster that the actors go by.
	placed uint64
}

const (
	memberTimeout  = 500 * clock.Millis(1)
	acquireTimeout = 60 * clock.Second
)

func (s *shards) run() {
	s.actors = map[int]*actor.PID{}
	s.left = map[int]bool{}
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

func (s *shards) tick() {
	if n := s.host.config(); n.RosterSequence != s.placed {
		s.placed = n.RosterSequence
		s.review(n)
	}
	for _, p := range s.all() {
		s.host.actors.Root.Send(p, &leaseholder.Tick{})
	}
}

// review starts and stops actors as the roster asks for.
func (s *shards) review(n *config.State) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := 0; i < placement.Shards; i++ {
		p, running := s.actors[i]
		member := s.member(n, i)
		if member && !running {
			s.actors[i] = s.spawn(n, i)
		}
		if !member && running {
			s.host.actors.Root.Stop(p)
			delete(s.actors, i)
			s.left[i] = true
		}
	}
}

func (s *shards) member(n *config.State, shard int) bool {
	for _, g := range placement.Groups(n, shard) {
		for _, id := range g {
			if id == s.host.Settings.ID {
				return true
			}
		}
	}
	return false
}

func (s *shards) spawn(n *config.State, shard int) *actor.PID {
	h := s.host
	k := &leaseholder.Shard{
		Number: shard, Host: h.Settings.ID, Incarnation: h.incarnation, Options: h.Settings.Leaseholder,
		Transport: h.links(), Random: rand.IntN, Config: h.config, Current: h.current,
		Bootstrap: !s.left[shard] && h.founding(n, shard), Journal: h.journal.Add, Violated: h.violated,
	}
	return h.actors.Root.Spawn(actor.PropsFromProducer(func() actor.Actor { return k }))
}

// founding reports whether this process was in the first group of a shard, so
// that there is nothing it could have forgotten.
func (h *Host) founding(n *config.State, shard int) bool {
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

func (s *shards) resign() {
	for _, p := range s.all() {
		s.host.actors.Root.Send(p, &leaseholder.Stop{})
	}
}

func (s *shards) close() {
	for _, p := range s.all() {
		_ = s.host.actors.Root.StopFuture(p).Wait()
	}
}

// ask puts a question to the actor of a shard.
func ask[T any](s *shards, shard int, m any, timeout clock.Millis, reply *T) error {
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

// ShardService is the net/rpc face of the shards.
type ShardService struct{ shards *shards }

// Lease delivers messages between the members of groups.
func (k *ShardService) Lease(l []lease.Message, _ *wire.Nothing) error {
	for _, m := range l {
		if p := k.shards.get(m.Shard); p != nil {
			k.shards.host.actors.Root.Send(p, m)
		}
	}
	return nil
}

// Release ends grants.
func (k *ShardService) Release(l []leaseholder.ReleaseArgs, _ *wire.Nothing) error {
	for i := range l {
		if p := k.shards.get(l[i].Shard); p != nil {
			k.shards.host.actors.Root.Send(p, &l[i])
		}
	}
	return nil
}

// Announce takes in announcements of targets.
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
	return ask(k.shards, a.Shard, &a, memberTimeout, r)
}

// Acquire grants a slot.
func (k *ShardService) Acquire(a leaseholder.AcquireArgs, r *leaseholder.AcquireReply) error {
	return ask(k.shards, a.Shard, &a, min(a.Request.Wait+memberTimeout, acquireTimeout), r)
}

// Renew renews grants.
func (k *ShardService) Renew(a leaseholder.RenewArgs, r *leaseholder.RenewReply) error {
	return ask(k.shards, a.Shard, &a, memberTimeout, r)
}

// Report takes in what a host holds.
func (k *ShardService) Report(a leaseholder.ReportArgs, r *leaseholder.ReportReply) error {
	return ask(k.shards, a.Shard, &a, memberTimeout, r)
}

// Begin decides whether a request with an Idempotency-Key may run.
func (k *ShardService) Begin(a leaseholder.BeginArgs, r *leaseholder.BeginReply) error {
	return ask(k.shards, a.Shard, &a, 4*memberTimeout, r)
}

// Finish records how such a request ended.
func (k *ShardService) Finish(a leaseholder.FinishArgs, r *leaseholder.FinishReply) error {
	return ask(k.shards, a.Shard, &a, memberTimeout, r)
}

// Shadow takes in the keeper's state.
func (k *ShardService) Shadow(a leaseholder.ShadowArgs, r *leaseholder.MemberReply) error {
	return ask(k.shards, a.Shard, &a, memberTimeout, r)
}

// Replicate stores records for the keeper.
func (k *ShardService) Replicate(a leaseholder.ReplicateArgs, r *leaseholder.MemberReply) error {
	return ask(k.shards, a.Shard, &a, memberTimeout, r)
}

// Recall hands records to a new keeper.
func (k *ShardService) Recall(a leaseholder.RecallArgs, r *leaseholder.RecallReply) error {
	return ask(k.shards, a.Shard, &a, memberTimeout, r)
}
