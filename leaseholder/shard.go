// Package leaseholder runs an actor for each shard of whose group this host is a
// member. The actor takes part in the election of the leaseholder. While it holds
// the lease, it owns the accounts' token buckets, the services' slot pools and the
// idempotency records of the shard; otherwise it keeps copies of the pools' state
// and of the records.
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

// Options are the settings of shards. They must be the same on every host.
type Options struct {
	// Lease is the length of a lease.
	Lease clock.Millis
	// DriftPercent is the largest difference in speed between two clocks.
	DriftPercent int
	// TokenLife is the time for which a host may spend borrowed tokens.
	TokenLife clock.Millis
	// HostLapse is the time after which a host that cannot reach the
	// leaseholder cancels its requests.
	HostLapse clock.Millis
	// Retention is the time for which idempotency records are stored.
	Retention clock.Millis
}

// Transport holds the calls that a shard makes to other hosts.
type Transport struct {
	Lease     func(host string, m lease.Message)
	Shadow    func(host string, a ShadowArgs) (MemberReply, error)
	Replicate func(host string, a ReplicateArgs) (MemberReply, error)
	Recall    func(host string, a RecallArgs) (RecallReply, error)
	Fence     func(host string, a FenceArgs) (FenceReply, error)
	// NoListener reports whether an error proves that the called process does
	// not exist.
	NoListener func(error) bool
}

// Shard is the actor of one shard on one host of its group.
type Shard struct {
	Number      int
	Host        string
	Incarnation string
	Options     Options
	Transport   Transport
	Clock       clock.Clock
	Random      func(n int) int
	// Config returns the configuration.
	Config func() *config.State
	// Current reports whether the configuration is fresh. While it is not, this
	// member neither campaigns for the lease nor renews it.
	Current func() bool
	// Bootstrap is true if this process was a member of the shard's first
	// group, so that there were no records before it started.
	Bootstrap bool
	Journal   func(journal.Event)
	// Violated is called when an invariant does not hold.
	Violated func(invariant, detail string)

	member *lease.Member
	// term is the fencing term under which this member leads, 0 if it does not
	// lead. since is when it began to lead.
	term     uint64
	since    clock.Millis
	stopping bool
	state    *config.State
	// roster holds the hosts by ID, those of both rosters while the roster
	// changes. groups are the shard's groups: one, or two while the roster changes.
	roster map[string]config.Host
	groups [][]string

	// buckets are the token buckets by account.
	buckets map[string]*limit.Bucket
	// loansKnownAt is when all hosts had reported their loans, 0 before.
	loansKnownAt clock.Millis
	// reported holds the hosts that have reported, or whose process was proved
	// dead, since this member began to lead.
	reported map[string]bool
	// pools are the slot pools by service.
	pools map[string]*slots.Pool
	store *idempotency.Store
	// recordsRecovered is true once the records of the former leaseholder are
	// in the store.
	recordsRecovered bool
	// pending holds the senders of waiting requests for slots.
	pending map[ticketKey]*actor.PID
	// lastContact is when each host last called, replied to a fence call or was
	// probed.
	lastContact map[string]clock.Millis
	// complete is whether each member has all records, by its last reply.
	complete map[string]bool
	// lastSnapshotAt is when snapshots were last due, lastSentAt when they were
	// last sent.
	lastSnapshotAt clock.Millis
	lastSentAt     clock.Millis
	self           *actor.PID
	root           *actor.RootContext
}

// ticketKey identifies a waiting request for a slot.
type ticketKey struct {
	host   string
	ticket uint64
}

// Tick makes a shard do what is due. It must be sent regularly.
type Tick struct{}

// Stop makes a shard give up its lease, since the process stops.
type Stop struct{}

// DumpRequest requests a Dump.
type DumpRequest struct{}

const (
	// snapshotInterval is the time between snapshots of the pools.
	snapshotInterval = 250 * clock.Millis(1)
	// idleSnapshotInterval is the time between messages to members if there are
	// no pools and all members hold all records. Their replies show which members
	// have restarted and need the records again.
	idleSnapshotInterval = 1 * clock.Second
	// probeAfter is the time without a call after which a host with slots is
	// probed.
	probeAfter = 1500 * clock.Millis(1)
	// retryInterval is the time between two attempts of a fence call; recalls wait
	// twice as long.
	retryInterval = 50 * clock.Millis(1)
)

// Receive handles one message of the actor's mailbox.
func (s *Shard) Receive(c actor.Context) {
	now := s.Clock.Now()
	switch m := c.Message().(type) {
	case *actor.Started:
		s.start(c, now)
	case *actor.Stopping:
		s.releaseLease(now)
	case *Tick:
		s.tick(now)
	case *Stop:
		s.stopping = true
		s.releaseLease(now)
	case lease.Message:
		s.member.Step(now, m)
	case *fenceResult:
		s.addReport(now, m)
	case *recoveredRecords:
		s.addRecoveredRecords(now, m)
	case *replicationResult:
		s.finishBegin(now, m)
	case *memberResult:
		s.syncMember(m)
	case *DumpRequest:
		c.Respond(s.dump(now))
	default:
		s.serve(c, now)
	}
	s.flush(now)
}

// serve handles the requests of hosts and of the shard's other members.
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
		c.Respond(s.applySnapshot(now, m))
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
	s.lastContact = map[string]clock.Millis{}
	s.store = &idempotency.Store{Retention: s.Options.Retention}
	if s.Bootstrap {
		s.store.SetComplete()
	}
	s.applyConfig(now)
}

// applyConfig applies a new configuration, if there is one.
func (s *Shard) applyConfig(now clock.Millis) {
	n := s.Config()
	if n == s.state {
		return
	}
	old := s.state
	s.state = n
	if old == nil || old.RosterSequence != n.RosterSequence {
		s.applyRoster(n)
	}
	for name, p := range s.pools {
		p.Service = n.Services[name].WithDefaults()
		p.SetEvacuatedZones(now, n.EvacuatedZones())
	}
	s.updateBuckets(now)
}

// applyRoster applies a new roster. While the roster changes, the hosts of both
// rosters count.
func (s *Shard) applyRoster(n *config.State) {
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
	s.applyConfig(now)
	s.member.Tick(now, s.Current() && !s.stopping)
	t, ok := s.member.Holds(now)
	switch {
	case ok && t != s.term:
		s.stepDown(now)
		s.startLeading(now, t)
	case !ok && s.term != 0:
		s.stepDown(now)
	}
	for _, p := range s.pools {
		p.Tick(now)
	}
	if s.term != 0 && now-s.lastSnapshotAt >= snapshotInterval {
		s.lastSnapshotAt = now
		s.sendSnapshots(now)
		s.probeSilentHosts(now)
	}
}

// flush sends the lease messages and the results of the pools.
func (s *Shard) flush(now clock.Millis) {
	for _, m := range s.member.TakeMessages() {
		s.Transport.Lease(m.To, m)
	}
	s.sendResults(now)
}
