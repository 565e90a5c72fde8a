package coordinator

import (
	"math/rand/v2"

	"github.com/asynkron/protoactor-go/actor"
	"go.uber.org/zap"

	"github.com/carawayrack/carawayrack/catalog"
	"github.com/carawayrack/carawayrack/clock"
	"github.com/carawayrack/carawayrack/replica"
	"github.com/carawayrack/carawayrack/wal"
)

// Replica is the actor that owns the state of a control process.
type Replica struct {
	ID        string
	Settings  Settings
	Clock     clock.Clock
	Log       *zap.Logger
	Storage   replica.Storage
	Stored    replica.PersistentState
	Translate func([]byte) (*catalog.Config, error)
	// Send passes messages to other replicas without waiting.
	Send func([]replica.Message, replica.Members)
	// Failed is called when the replica must start over.
	Failed func(error)
	// LeaderChanged is called when another replica leads.
	LeaderChanged func()
	// Respond answers a waiting actor.
	Respond func(*actor.PID, any)

	node    *replica.Node
	state   *catalog.State
	changes []appliedChange
	waiting map[uint64]*waiter
	proofs  []pendingProof
	readers []*reader
	// early are the hosts that asked before there was a proof.
	early []*earlyHost
	// encoded is the state at encodedAt as hosts get it, compressed.
	encoded   []byte
	encodedAt uint64
	// freshAt is the latest time at which the state was known to hold all
	// that was accepted, proven whether there is one.
	freshAt clock.Millis
	proven  bool
	fleet   *fleetTable
	lender  *lender
	seen    replica.Role
	leader  string
}

// appliedChange is a recent change for updates.
type appliedChange struct {
	Sequence uint64
	Data     []byte
}

// waiter waits for an entry of the log to be committed.
type waiter struct {
	sender *actor.PID
	term   uint64
}

// reader waits for a proof that is younger than its question.
type reader struct {
	sender *actor.PID
	since  clock.Millis
}

// pendingProof is a proof that counts once the state has reached Sequence.
type pendingProof struct {
	At       clock.Millis
	Sequence uint64
}

// Receive handles one message of the actor's mailbox.
func (r *Replica) Receive(c actor.Context) {
	now := r.Clock.Now()
	switch m := c.Message().(type) {
	case *actor.Started:
		r.start(now)
	case *tick:
		r.node.Tick(now)
		r.probe(now)
		r.review(now)
	case *deliver:
		for _, x := range m.Messages {
			r.node.Step(now, x)
		}
	case *propose:
		r.propose(c, now, m)
	case *exchange:
		r.host(now, c.Sender(), m.Args)
	case *borrow:
		c.Respond(r.lender.borrow(now, m.Args))
	case *lent:
		r.lender.keep(now, m)
	case *report:
		c.Respond(r.report(now, m.Args))
	case *prepare:
		c.Respond(r.prepare(now))
	case *reported:
		r.reported(now, m)
	default:
		r.receiveQuestion(c, now)
	}
	r.flush(now)
}

func (r *Replica) receiveQuestion(c actor.Context, now clock.Millis) {
	switch m := c.Message().(type) {
	case *news:
		c.Respond(newsReply{News: r.state.NeedsChange(m.Target), Known: r.state.Targets[m.Target.ID], Core: r.fleet.core(m.Target.Zone)})
	case *document:
		c.Respond(heldDocument{Version: r.state.Version, Document: r.state.Document})
	case *proof:
		r.readers = append(r.readers, &reader{sender: c.Sender(), since: m.Since})
	case *dump:
		c.Respond(r.dump(now))
	}
}

func (r *Replica) start(now clock.Millis) {
	r.state = catalog.New(r.Translate)
	r.waiting = map[uint64]*waiter{}
	r.fleet = &fleetTable{Settings: r.Settings}
	r.fleet.run()
	r.lender = &lender{}
	r.lender.run()
	r.node = &replica.Node{
		ID: r.ID, ElectionTimeout: electionTimeout, Heartbeat: heartbeat, CompactAfter: compactAfter, FirstElectionTimeout: firstElection,
		Random: rand.IntN, Storage: r.Storage, Apply: r.apply, Capture: r.capture, Restore: r.restore,
		Sequence:    func() uint64 { return r.state.Sequence },
		OnViolation: r.Failed,
	}
	r.node.Run(now, r.Stored, r.founders())
}

func (r *Replica) founders() replica.Members {
	if r.ID != wal.BootstrapID(nameOf(r.ID)) {
		return replica.Members{}
	}
	m := replica.Members{Voters: map[string]string{}}
	for _, a := range r.Settings.Seeds {
		m.Voters[wal.BootstrapID(machineName(a))] = a
	}
	return m
}

// settle follows a new configuration.
func (r *Replica) settle() {
	changed, err := r.state.UpdateConfig()
	if err != nil {
		r.Log.Error("unreadable configuration", zap.Error(err), zap.Uint64("version", r.state.Version))
	}
	if changed {
		r.lender.limits(r.Clock.Now(), r.state.Config)
		r.Log.Info("configuration", zap.Uint64("version", r.state.Version), zap.Uint64("sequence", r.state.Sequence))
	}
}

func (r *Replica) flush(now clock.Millis) {
	r.settle()
	r.prove(now)
	if m := r.node.TakeMessages(); len(m) > 0 {
		r.Send(m, r.node.Members())
	}
	if l := r.node.LeaderID(); l != r.leader {
		r.leader = l
		if l != "" {
			r.LeaderChanged()
		}
	}
	if role := r.node.Role(); role != r.seen {
		r.Log.Info("role", zap.String("role", string(role)), zap.Uint64("term", r.node.Term()), zap.String("replica", r.ID))
		r.seen = role
		r.lender.lead(now, role == replica.Leader, r.state.Config)
		r.fleet.lead(now, role == replica.Leader)
		if role != replica.Leader {
			r.abandon()
		}
	}
}

// abandon tells those that wait that the outcome is unknown.
func (r *Replica) abandon() {
	for i, w := range r.waiting {
		r.Respond(w.sender, ProposeReply{})
		delete(r.waiting, i)
	}
}

func (r *Replica) apply(e replica.Entry) {
	if w := r.waiting[e.Index]; w != nil {
		delete(r.waiting, e.Index)
		r.Respond(w.sender, ProposeReply{Accepted: w.term == e.Term, Sequence: r.state.Sequence + 1})
	}
	if e.Data == nil {
		return
	}
	c, err := catalog.DecodeChange(e.Data)
	if err == nil {
		err = r.state.Apply(c)
	}
	if err != nil {
		// Every replica skips the same entry: it was checked when proposed.
		r.Log.Error("unreadable entry in the log", zap.Error(err), zap.Uint64("index", e.Index))
	}
	r.changes = append(r.changes, appliedChange{r.state.Sequence, e.Data})
	if len(r.changes) > changesKept {
		r.changes = r.changes[len(r.changes)-changesKept:]
	}
}

func (r *Replica) capture() []byte {
	b, err := r.state.Encode()
	if err != nil {
		r.Failed(err)
	}
	return b
}

func (r *Replica) restore(b []byte) {
	s, err := catalog.Decode(b, r.Translate)
	if err != nil {
		r.Failed(err)
		return
	}
	r.state = s
	r.changes = nil
	r.lender.limits(r.Clock.Now(), s.Config)
}

func (r *Replica) propose(c actor.Context, now clock.Millis, m *propose) {
	i, err := r.node.Propose(now, m.Data)
	if err != nil || i == 0 {
		c.Respond(ProposeReply{Leader: r.leaderAddr()})
		return
	}
	r.waiting[i] = &waiter{sender: c.Sender(), term: r.node.Term()}
	if r.node.Commit() >= i {
		delete(r.waiting, i)
		c.Respond(ProposeReply{Accepted: true, Sequence: r.state.Sequence})
	}
}

func (r *Replica) leaderAddr() string {
	if r.node.Role() == replica.Leader {
		return r.Settings.Peer
	}
	if a := r.node.Members().Address(r.node.LeaderID()); a != "" {
		return a
	}
	return ""
}
