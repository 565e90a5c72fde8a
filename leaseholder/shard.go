// Package leaseholder runs the keepers of shards: for each shard of which this
// host is a member, an actor that owns the lease, the accounts' buckets, the
// services' pools and the records of idempotency keys.
package leaseholder

import (
	"github.com/asynkron/protoactor-go/actor"

	"github.com/carawayrack/carawayrack/clock"
	"github.com/carawayrack/carawayrack/config"
	"github.com/carawayrack/carawayrack/idempotency"
	"github.com/carawayrack/carawayrack/journal"
	"github.com/carawayrack/carawayrack/lease"
	"github.com/carawayrack/carawayrack/limit"
	"github.com/carawayrack/carawayrack/placement"
	"github.com/carawayrack/carawayrack/slots"
)

// Options are the settings of keepers; every host of a fleet has the same.
type Options struct {
	Lease        clock.Millis
	DriftPercent int
	TokenLife    clock.Millis
	// HostLapse is the time after which a host that reaches no keeper cancels
	// its requests.
	HostLapse clock.Millis
	Retention clock.Millis
}

// Transport are the calls that a shard makes to other hosts.
type Transport struct {
	Lease     func(host string, m lease.Message)
	Shadow    func(host string, a ShadowArgs) (MemberReply, error)
	Replicate func(host string, a ReplicateArgs) (MemberReply, error)
	Recall    func(host string, a RecallArgs) (RecallReply, error)
	Fence     func(host string, a FenceArgs) (FenceReply, error)
	// NoListener reports whether an error proves that the process that was
	// called does not exist.
	NoListener func(error) bool
}

// Shard is the actor of one shard on one member host.
type Shard struct {
	Number      int
	Host        string
	Incarnation string
	Options     Options
	Transport   Transport
	Clock       clock.Clock
	Random      func(n int) int
	// Config returns the configuration; Current whether it may be trusted.
	Config  func() *config.State
	Current func() bool
	// Bootstrap is true if this process was a member of the shard's first
	// group, so that there is nothing it could have forgotten.
	Bootstrap bool
	Journal   func(journal.Event)
	Violated  func(invariant, detail string)

	member   *lease.Member
	term     uint64
	since    clock.Millis
	stopping bool
	state    *config.State
	roster   map[string]config.Host
	groups   [][]string

	buckets  map[string]*limit.Bucket
	knownAt  clock.Millis
	learned  map[string]bool
	pools    map[string]*slots.Pool
	store    *idempotency.Store
	recalled bool
	pending  map[ticketKey]*actor.PID
	heard    map[string]clock.Millis
	complete map[string]bool
	shadowAt clock.Millis
	idleAt   clock.Millis
	self     *actor.PID
	root     *actor.RootContext
}

type ticketKey struct {
	host   string
	ticket uint64
}

// Tick lets a shard notice that time has passed.
type Tick struct{}

// Stop makes a shard give up its lease for a planned stop.
type Stop struct{}

// DumpRequest asks for a Dump.
type DumpRequest struct{}

const (
	shadowInterval = 250 * clock.Millis(1)
	// idleInterval is the time between messages to members with nothing to
	// share: a member that restarted needs the records it has lost.
	idleInterval  = 1 * clock.Second
	probeAfter    = 1500 * clock.Millis(1)
	fenceInterval = 50 * clock.Millis(1)
)

// Receive handles one message of the actor's mailbox.
func (s *Shard) Receive(c actor.Context) {
	now := s.Clock.Now()
	switch m := c.Message().(type) {
	case *actor.Started:
		s.start(c, now)
	case *actor.Stopping:
		s.resign(now)
	case *Tick:
		s.tick(now)
	case *Stop:
		s.stopping = true
		s.resign(now)
	case lease.Message:
		s.member.Step(now, m)
	case *learned:
		s.learn(now, m)
	case *recalled:
		s.takeRecords(now, m)
	case *replicated:
		s.finishBegin(now, m)
	case *memberState:
		s.syncMember(m)
	case *DumpRequest:
		c.Respond(s.dump(now))
	default:
		s.serve(c, now)
	}
	s.flush(now)
}

// serve handles the requests of hosts.
func (s *Shard) serve(c actor.Context, now clock.Millis) {
	switch m := c.Message().(type) {
	case *TakeArgs:
		c.Respond(s.take(now, m))
	case *AcquireArgs:
		s.acquire(c, now, m)
	case *ReleaseArgs:
		s.release(now, m)
	case *AnnounceArgs:
		s.announce(now, m)
	case *RenewArgs:
		c.Respond(s.renew(now, m))
	case *ReportArgs:
		c.Respond(s.report(now, m))
	case *BeginArgs:
		s.begin(c, now, m)
	case *FinishArgs:
		c.Respond(FinishReply{Status: s.finish(now, m)})
	case *ShadowArgs:
		c.Respond(s.shadowed(now, m))
	case *ReplicateArgs:
		c.Respond(s.replicate(now, m))
	case *RecallArgs:
		c.Respond(s.recall(now, m))
	}
}

func (s *Shard) start(c actor.Context, now clock.Millis) {
	s.self = c.Self()
	s.root = c.ActorSystem().Root
	s.member = &lease.Member{
		Shard: s.Number, Self: s.Host, Incarnation: s.Incarnation,
		Duration: s.Options.Lease, DriftPercent: s.Options.DriftPercent, Random: s.Random,
	}
	s.member.Run(now)
	s.pools = map[string]*slots.Pool{}
	s.pending = map[ticketKey]*actor.PID{}
	s.heard = map[string]clock.Millis{}
	s.store = &idempotency.Store{Retention: s.Options.Retention}
	if s.Bootstrap {
		s.store.SetComplete()
	}
	s.configure(now)
}

// configure takes in a new configuration.
func (s *Shard) configure(now clock.Millis) {
	n := s.Config()
	if n == s.state {
		return
	}
	old := s.state
	s.state = n
	if old == nil || old.RosterSequence != n.RosterSequence {
		s.place(n)
	}
	for name, p := range s.pools {
		p.Service = n.Services[name].WithDefaults()
		p.SetEvacuatedZones(now, n.EvacuatedZones())
	}
	s.limitBuckets(now, old)
}

// place takes in a new roster.
func (s *Shard) place(n *config.State) {
	s.groups = placement.Groups(n, s.Number)
	s.member.SetGroups(s.groups)
	s.roster = map[string]config.Host{}
	for _, m := range n.JointRoster() {
		for id, h := range m {
			s.roster[id] = h
		}
	}
}

func (s *Shard) tick(now clock.Millis) {
	s.configure(now)
	s.member.Tick(now, s.Current() && !s.stopping)
	t, ok := s.member.Holds(now)
	switch {
	case ok && t != s.term:
		s.retire(now)
		s.lead(now, t)
	case !ok && s.term != 0:
		s.retire(now)
	}
	for _, p := range s.pools {
		p.Tick(now)
	}
	if s.term != 0 && now-s.shadowAt >= shadowInterval {
		s.shadowAt = now
		s.share(now)
		s.probeSilent(now)
	}
}

// flush sends what the decisions produced.
func (s *Shard) flush(now clock.Millis) {
	for _, m := range s.member.TakeMessages() {
		s.Transport.Lease(m.To, m)
	}
	s.answer(now)
}
