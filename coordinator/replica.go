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

// Replica is the actor that owns the state of a control process. Its exported
// fields must be set before it is started.
type Replica struct {
	ID       string
	Settings Settings
	Clock    clock.Clock
	// Wall reads the time of day.
	Wall      clock.Clock
	Log       *zap.Logger
	Storage   replica.Storage
	Stored    replica.PersistentState
	Translate func([]byte) (*catalog.Config, error)
	// Send sends messages to other replicas without waiting.
	Send func([]replica.Message, replica.Members)
	// Failed is called when the replica must restart.
	Failed func(error)
	// LeaderChanged is called when this replica learns of another leader.
	LeaderChanged func()
	// Random returns a number in [0, n). The default is that of math/rand.
	Random func(n int) int
	// Respond sends the response to a request that was kept waiting.
	Respond func(*actor.PID, any)

	node          *replica.Node
	state         *catalog.State
	recentChanges []appliedChange
	// documents are the last configuration documents in force.
	documents documentHistory
	// proposals are by the index of their log entry.
	proposals map[uint64]*pendingProposal
	// batch and inbox hold the proposals and the messages of other replicas that wait
	// for the next flush; flushSent is true while a flush is in the mailbox.
	batch         []queuedProposal
	inbox         []replica.Message
	flushSent     bool
	pendingProofs []pendingProof
	pendingReads  []*pendingRead
	// pendingExchanges are exchanges of hosts that wait for the first proof.
	pendingExchanges []*pendingExchange
	// encoded is the encoded and compressed state as hosts get it, encodedAt its
	// sequence.
	encoded   []byte
	encodedAt uint64
	// freshAt is the latest time at which the state is proven to have held every
	// accepted change. Proven is false as long as there is no such proof.
	freshAt clock.Millis
	proven  bool
	fleet   *fleetTable
	// rollouts holds the counts of the running roll-outs.
	rollouts *rolloutTable
	lender   *lender
	absence  *absence
	// leaving holds when processes that stop last asked the leader to leave, by
	// replica ID.
	leaving  map[string]clock.Millis
	lastRole replica.Role
	leaderID string
	// targetsReviewedAt is the time of the last reviewTargets.
	targetsReviewedAt clock.Millis
}

// appliedChange is an encoded change with the sequence of the state after it.
// Rest is the same without a document; InForce is true if its document came into
// force.
type appliedChange struct {
	Sequence   uint64
	Data, Rest []byte
	InForce    bool
}

// pendingProposal waits for an entry of the log to be committed. Term is the
// term in which it was appended.
type pendingProposal struct {
	sender *actor.PID
	term   uint64
}

// queuedProposal is the encoded change of a proposal that is not in the log yet.
type queuedProposal struct {
	sender *actor.PID
	data   []byte
}

// maxBatchBytes bounds the proposals of one batch, unless it is a single one: the log
// stores a batch as one record, as JSON, and a record has at most 256 MiB.
const maxBatchBytes = 32 << 20

// pendingRead waits for a proof that is not older than since.
type pendingRead struct {
	sender *actor.PID
	since  clock.Millis
}

// pendingProof is a proof that every change accepted until At is in the state
// at Sequence. It counts once the state has reached Sequence.
type pendingProof struct {
	At       clock.Millis
	Sequence uint64
}

// Receive handles one message of the actor's mailbox.
func (r *Replica) Receive(c actor.Context) {
	now := r.Clock.Now()
	switch c.Message().(type) {
	case *exchange, *report:
		r.checkLeadership(now)
	}
	switch m := c.Message().(type) {
	case *actor.Started:
		r.start(now)
	case *tick:
		r.tick(now)
	case *deliver:
		r.inbox = append(r.inbox, m.Messages...)
		r.requestFlush(c)
	case *propose:
		r.propose(c, m)
	case *flush:
		r.flush(c, now)
	case *exchange:
		r.serveExchange(now, c.Sender(), m.Args)
	case *borrow:
		c.Respond(r.handleBorrow(now, m.Args))
	case *loan:
		r.lender.addLoan(now, m)
	case *report:
		c.Respond(r.report(now, m.Args))
	case *prepareReport:
		c.Respond(r.prepareReport(now))
	case *reportResult:
		r.handleReportResult(now, m)
	default:
		r.receiveRequest(c, now)
	}
	r.afterMessage(now)
}

// tick does what is due. The owner calls it every tickInterval.
func (r *Replica) tick(now clock.Millis) {
	r.node.Tick(now)
	r.requestProof(now)
	r.reviewMembers(now)
	r.reviewAbsence(now)
	r.reviewRollouts(now)
	r.reviewTargets(now)
}

// handleBorrow handles a request for tokens.
func (r *Replica) handleBorrow(now clock.Millis, a BorrowArgs) BorrowReply {
	r.checkLeadership(now)
	return r.lender.borrow(now, a)
}

// checkLeadership makes a leader that no majority has confirmed in time step down
// before it lends tokens: after a suspension requests may be handled before the
// next tick, while another leader lends as well.
func (r *Replica) checkLeadership(now clock.Millis) {
	if r.node.Role() != replica.Leader {
		return
	}
	r.node.Tick(now)
	r.afterMessage(now)
}

func (r *Replica) receiveRequest(c actor.Context, now clock.Millis) {
	switch m := c.Message().(type) {
	case *announcement:
		c.Respond(r.handleAnnouncement(m.Target))
	case *readDocument:
		c.Respond(r.currentDocument())
	case *awaitProof:
		r.pendingReads = append(r.pendingReads, &pendingRead{sender: c.Sender(), since: m.Since})
	case *readSuspect:
		s, ok := r.state.Suspects[m.Fingerprint]
		c.Respond(knownSuspect{s, ok})
	case *leave:
		c.Respond(r.handleLeave(now, m.Args))
	case *dumpState:
		c.Respond(r.dump(now))
	}
}

// handleAnnouncement tells whether an announcement must be proposed, and whether
// its service is listed.
func (r *Replica) handleAnnouncement(t catalog.Target) announcementReply {
	t.Unlisted = !r.state.Lists(t)
	return announcementReply{
		NeedsChange: r.state.NeedsChange(t), Unlisted: t.Unlisted, Known: r.state.Targets[t.ID], Core: r.fleet.coreFor(t),
	}
}

func (r *Replica) start(now clock.Millis) {
	if r.Random == nil {
		r.Random = rand.IntN
	}
	r.state = catalog.New(r.Translate)
	r.proposals = map[uint64]*pendingProposal{}
	r.leaving = map[string]clock.Millis{}
	r.fleet = &fleetTable{Settings: r.Settings}
	r.fleet.run()
	r.rollouts = &rolloutTable{}
	r.rollouts.run()
	r.lender = &lender{}
	r.lender.run()
	r.absence = &absence{MaxAge: r.Settings.MaxConfigAge}
	r.node = &replica.Node{
		ID: r.ID, ElectionTimeout: electionTimeout, Heartbeat: heartbeat, CompactAfter: compactAfter, FirstElectionTimeout: firstElectionTimeout,
		Random: r.Random, Storage: r.Storage, Apply: r.apply, Capture: r.capture, Restore: r.restore,
		Sequence:         func() uint64 { return r.state.Sequence },
		ProposalsWaiting: func() bool { return len(r.batch) > 0 },
		OnViolation:      r.Failed,
	}
	r.node.Run(now, r.Stored, r.initialMembers())
}

// initialMembers returns the membership for a disk that holds none. It is empty
// unless this replica belongs to the first membership.
func (r *Replica) initialMembers() replica.Members {
	if r.ID != wal.BootstrapID(machineOf(r.ID)) {
		return replica.Members{}
	}
	return firstMembers(r.Settings.Seeds)
}

// firstMembers returns the first membership of a fleet with the given seeds.
func firstMembers(seeds []string) replica.Members {
	m := replica.Members{Voters: map[string]string{}}
	for _, a := range seeds {
		m.Voters[wal.BootstrapID(machineName(a))] = a
	}
	return m
}

// updateConfig parses a new configuration and applies its limits.
func (r *Replica) updateConfig() {
	changed, err := r.state.UpdateConfig()
	if err != nil {
		r.Log.Error("parsing the configuration failed", zap.Error(err), zap.Uint64("version", r.state.Version))
	}
	if changed {
		r.lender.setLimits(r.Clock.Now(), r.state.Config)
		r.Log.Info("configuration", zap.Uint64("version", r.state.Version), zap.Uint64("sequence", r.state.Sequence))
	}
}

// afterMessage acts on the effects of a message: a new configuration, new
// proofs, messages to send, and a change of the leader or of this replica's
// role.
func (r *Replica) afterMessage(now clock.Millis) {
	r.lender.lendFrom, r.lender.lendUntil = r.node.Lease()
	r.updateConfig()
	r.applyProofs(now)
	if m := r.node.TakeMessages(); len(m) > 0 {
		r.Send(m, r.node.Members())
	}
	if l := r.node.LeaderID(); l != r.leaderID {
		r.leaderID = l
		// The next leader lends from now on only.
		r.lender.takeSpent()
		if l != "" {
			r.LeaderChanged()
		}
	}
	if role := r.node.Role(); role != r.lastRole {
		r.Log.Info("role", zap.String("role", string(role)), zap.Uint64("term", r.node.Term()), zap.String("replica", r.ID))
		r.lastRole = role
		r.lender.setLeading(now, role == replica.Leader, r.state.Config)
		r.absence.lead(now, r.fleet.lastFleet.Hosts)
		r.fleet.setLeading(now, role == replica.Leader)
		r.rollouts.reset()
		if role != replica.Leader {
			r.failProposals()
		}
	}
}

// failProposals responds to all pending proposals that their outcome is
// unknown.
func (r *Replica) failProposals() {
	for i, w := range r.proposals {
		r.Respond(w.sender, ProposeReply{})
		delete(r.proposals, i)
	}
}

// apply applies a committed entry and responds to the proposal that waits for
// it. Another term than the proposal's means that another entry took its place.
func (r *Replica) apply(e replica.Entry) {
	superseded := r.applyData(e)
	if w := r.proposals[e.Index]; w != nil {
		delete(r.proposals, e.Index)
		r.Respond(w.sender, ProposeReply{Accepted: w.term == e.Term, Superseded: superseded, Sequence: r.state.Sequence})
	}
}

// applyData applies the change of a committed entry. It reports whether the
// change was superseded.
func (r *Replica) applyData(e replica.Entry) bool {
	if e.Data == nil {
		return false
	}
	before, first := r.state.Version, r.state.Document == nil
	c, err := catalog.DecodeChange(e.Data)
	if err == nil {
		err = r.state.Apply(c)
	}
	if err != nil {
		// Changes are checked before they are proposed. All replicas skip the same
		// entry, so their states stay equal.
		r.Log.Error("applying a log entry failed", zap.Error(err), zap.Uint64("index", e.Index))
		return false
	}
	r.logRollout(c)
	x := appliedChange{Sequence: r.state.Sequence, Data: e.Data, Rest: e.Data}
	if c.Document != nil {
		x.Rest = withoutDocument(c)
	}
	if r.state.Version != before || first && r.state.Document != nil {
		x.InForce = true
		r.documents.add(document{r.state.Sequence, r.state.Version, r.state.Document})
	}
	r.recentChanges = append(r.recentChanges, x)
	if len(r.recentChanges) > maxRecentChanges {
		r.recentChanges = r.recentChanges[len(r.recentChanges)-maxRecentChanges:]
	}
	return r.state.Superseded(c)
}

// capture returns the encoded state for a snapshot.
func (r *Replica) capture() []byte {
	b, err := r.state.Encode()
	if err != nil {
		r.Failed(err)
	}
	return b
}

// restore replaces the state by that of a snapshot.
func (r *Replica) restore(b []byte) {
	s, err := catalog.Decode(b, r.Translate)
	if err != nil {
		r.Failed(err)
		return
	}
	r.state = s
	r.recentChanges = nil
	r.documents = documentHistory{}
	if s.Document != nil {
		r.documents.add(document{s.Sequence, s.Version, s.Document})
	}
	r.lender.setLimits(r.Clock.Now(), s.Config)
}

// propose queues a proposal for the next batch, if this replica leads.
func (r *Replica) propose(c actor.Context, m *propose) {
	if r.node.Role() != replica.Leader {
		c.Respond(ProposeReply{Leader: r.leaderAddr()})
		return
	}
	r.batch = append(r.batch, queuedProposal{c.Sender(), m.Data})
	r.requestFlush(c)
}

// requestFlush puts a flush at the end of the mailbox, behind everything that arrived
// during the last write to the disk.
func (r *Replica) requestFlush(c actor.Context) {
	if !r.flushSent {
		r.flushSent = true
		c.Send(c.Self(), &flush{})
	}
}

// flush handles the messages of other replicas that have arrived since the last flush,
// and appends the proposals, each with one write.
func (r *Replica) flush(c actor.Context, now clock.Millis) {
	r.flushSent = false
	l := r.inbox
	r.inbox = nil
	r.node.StepAll(now, l)
	r.proposeBatch(now)
	if len(r.batch) > 0 {
		r.requestFlush(c)
	}
}

// proposeBatch appends queued proposals, up to maxBatchBytes of them.
func (r *Replica) proposeBatch(now clock.Millis) {
	if r.node.Role() != replica.Leader {
		for _, x := range r.batch {
			r.Respond(x.sender, ProposeReply{Leader: r.leaderAddr()})
		}
		r.batch = nil
		return
	}
	var data [][]byte
	size := 0
	for _, x := range r.batch {
		if size += len(x.data); len(data) > 0 && size > maxBatchBytes {
			break
		}
		data = append(data, x.data)
	}
	l := r.batch[:len(data)]
	r.batch = append([]queuedProposal(nil), r.batch[len(data):]...)
	// The only voter applies the entries before ProposeAll returns.
	last, _ := r.node.Last()
	for k, x := range l {
		r.proposals[last+1+uint64(k)] = &pendingProposal{sender: x.sender, term: r.node.Term()}
	}
	if first, err := r.node.ProposeAll(now, data); err == nil && first > 0 {
		return
	}
	for k, x := range l {
		delete(r.proposals, last+1+uint64(k))
		r.Respond(x.sender, ProposeReply{})
	}
}

// leaderAddr returns the address of the leader, empty if none is known.
func (r *Replica) leaderAddr() string {
	if r.node.Role() == replica.Leader {
		return r.Settings.Peer
	}
	if a := r.node.Members().Address(r.node.LeaderID()); a != "" {
		return a
	}
	return ""
}
