package control

import (
	"fmt"
	"math/rand/v2"
	"os"

	"github.com/asynkron/protoactor-go/actor"
	"go.uber.org/zap"

	"github.com/carawayrack/carawayrack/api"
	"github.com/carawayrack/carawayrack/clock"
	"github.com/carawayrack/carawayrack/config"
	"github.com/carawayrack/carawayrack/refusal"
	"github.com/carawayrack/carawayrack/replica"
	"github.com/carawayrack/carawayrack/wal"
)

// maxRecentChanges is the number of recent changes that are kept, so that hosts
// can be updated without sending the whole state.
const maxRecentChanges = 4096

// Replica is the actor that owns the state of a control replica.
type Replica struct {
	ID       string
	Settings Settings
	Clock    clock.Clock
	Log      *zap.Logger
	Storage  replica.Storage
	// Stored is the state that was loaded from disk.
	Stored replica.PersistentState
	// Send sends messages to other replicas without waiting.
	Send func([]replica.Message, replica.Members)
	// OnStaleDisk is called when the data folder must not be used any more.
	OnStaleDisk func()

	// respond sends a response to a waiting actor.
	respond         func(*actor.PID, any)
	node            *replica.Node
	state           *config.State
	recentChanges   []appliedChange
	waiters         map[string]*waiter
	hosts           *hostTable
	lastRole        replica.Role
	internalChanges int
	repair          *repair
}

// appliedChange is a recent change, kept for updates of hosts.
type appliedChange struct {
	Sequence uint64
	Data     []byte
}

// Receive handles one message of the actor's mailbox.
func (r *Replica) Receive(c actor.Context) {
	now := r.Clock.Now()
	switch m := c.Message().(type) {
	case *actor.Started:
		r.start(now)
	case *tick:
		r.node.Tick(now)
		r.runPeriodic(now)
	case *deliver:
		for _, x := range m.Messages {
			r.node.Step(now, x)
		}
	case *submit:
		r.submit(c, now, m)
	case *follow:
		c.Respond(r.follow(now, m.Args))
		r.completeWaiters(now)
	case *fetch:
		c.Respond(r.fetch())
	case *status:
		c.Respond(r.status())
	case *join:
		c.Respond(r.join(now, m.Args))
	}
	r.flush()
}

// start creates the node from the stored state.
func (r *Replica) start(now clock.Millis) {
	r.state = config.New()
	r.waiters = map[string]*waiter{}
	r.hosts = &hostTable{Settings: r.Settings}
	r.repair = &repair{Settings: r.Settings, Log: r.Log}
	r.node = &replica.Node{
		ID:              r.ID,
		ElectionTimeout: r.Settings.ElectionTimeout,
		Heartbeat:       r.Settings.Heartbeat,
		CompactAfter:    r.Settings.CompactAfter,
		Random:          rand.IntN,
		Storage:         r.Storage,
		Apply:           r.apply,
		Capture:         r.capture,
		Restore:         r.restore,
		Sequence:        func() uint64 { return r.state.Sequence },
		OnViolation:     r.handleViolation,
	}
	r.node.Run(now, r.Stored, r.initialMembers())
}

// initialMembers returns the membership for a disk that holds none. There is none
// on a replica that joins an existing log.
func (r *Replica) initialMembers() replica.Members {
	if !isBootstrapID(r.ID) {
		return replica.Members{}
	}
	return firstMembers(r.Settings)
}

// firstMembers returns the membership with which a new log starts.
func firstMembers(s Settings) replica.Members {
	m := replica.Members{Voters: map[string]string{}}
	for n, a := range s.Replicas {
		m.Voters[bootstrapID(n)] = a
	}
	return m
}

// Bootstrap marks the data folder as that of an initial voter. The error is
// wal.AlreadyInitialized if the folder is in use.
func Bootstrap(s Settings) error {
	return (wal.Identity{Dir: s.Data, Name: s.Name}).Bootstrap(firstMembers(s))
}

// flush sends the pending messages and logs a change of role.
func (r *Replica) flush() {
	if m := r.node.TakeMessages(); len(m) > 0 {
		r.Send(m, r.node.Members())
	}
	if role := r.node.Role(); role != r.lastRole {
		r.Log.Info("role changed", zap.String("role", string(role)), zap.Uint64("term", r.node.Term()))
		r.lastRole = role
	}
}

// handleViolation ends the process after a violated invariant. A stale disk is
// reported through OnStaleDisk instead.
func (r *Replica) handleViolation(err error) {
	if d, ok := err.(replica.StaleDisk); ok {
		r.Log.Error("the data folder is older than what this replica has acknowledged; starting over as a learner", zap.Error(d))
		r.OnStaleDisk()
		return
	}
	r.Log.Error("invariant violated", zap.Error(err))
	os.Exit(exitViolation)
}

// apply applies a committed entry to the state.
func (r *Replica) apply(e replica.Entry) {
	if e.Data == nil {
		return
	}
	c, err := config.DecodeChange(e.Data)
	if err != nil {
		// Entries are checked before they are proposed. If one is unreadable
		// all the same, every replica skips it.
		r.Log.Error("cannot decode a change in the log; skipping it", zap.Error(err), zap.Uint64("index", e.Index))
		return
	}
	n, o := r.state.Apply(c, e.Data)
	if n != r.state {
		r.state = n
		r.recentChanges = append(r.recentChanges, appliedChange{n.Sequence, e.Data})
		if len(r.recentChanges) > maxRecentChanges {
			r.recentChanges = r.recentChanges[len(r.recentChanges)-maxRecentChanges:]
		}
	}
	if w := r.waiters[c.ID]; w != nil {
		w.outcome = &o
	}
}

// capture returns the encoded state for a snapshot.
func (r *Replica) capture() []byte {
	b, err := r.state.Encode()
	if err != nil {
		r.handleViolation(err)
	}
	return b
}

// restore replaces the state by that of a snapshot.
func (r *Replica) restore(b []byte) {
	s, err := config.DecodeState(b)
	if err != nil {
		r.handleViolation(err)
	}
	r.state = s
	r.recentChanges = nil
}

// follow returns the updates that a host does not have yet. A leader also registers
// the host and adds its leadership proof.
func (r *Replica) follow(now clock.Millis, a api.FollowArgs) api.FollowReply {
	p := api.FollowReply{Update: r.update(a.Sequence)}
	p.Leader = r.node.Members().Address(r.node.LeaderID())
	if r.node.Role() != replica.Leader {
		return p
	}
	r.hosts.record(now, a)
	if b := r.node.LastProof(); b.At > 0 {
		p.Beat = api.Proof{Known: true, Sequence: b.Sequence, Age: now - b.At}
	}
	return p
}

// update returns the changes after sequence, or the whole state if they are no
// longer kept.
func (r *Replica) update(sequence uint64) api.Update {
	u := api.Update{From: sequence, Sequence: r.state.Sequence, Digest: r.state.Digest}
	if sequence >= r.state.Sequence {
		return u
	}
	if k := len(r.recentChanges); k > 0 && r.recentChanges[0].Sequence <= sequence+1 {
		for _, c := range r.recentChanges[sequence+1-r.recentChanges[0].Sequence:] {
			u.Changes = append(u.Changes, c.Data)
		}
		return u
	}
	u.State = r.capture()
	return u
}

// fetch returns the state if this replica leads.
func (r *Replica) fetch() api.FetchReply {
	l := r.node.Members().Address(r.node.LeaderID())
	if r.node.Role() != replica.Leader {
		return api.FetchReply{Leader: l, Refusal: refusal.New(refusal.NotLeader, l)}
	}
	return api.FetchReply{State: r.capture(), Leader: l}
}

func (r *Replica) status() api.ReplicaStatus {
	m := r.node.Members()
	return api.ReplicaStatus{
		ID: r.ID, Role: string(r.node.Role()), Term: r.node.Term(), Leader: r.node.LeaderID(),
		Commit: r.node.Commit(), Sequence: r.state.Sequence, Version: r.state.Version,
		Digest: r.state.Digest, Voters: m.Voters, Learners: m.Learners, Acked: r.hosts.acked(),
	}
}

// runPeriodic responds to waiting operators and, on the leader, repairs the
// membership and proposes roster changes.
func (r *Replica) runPeriodic(now clock.Millis) {
	r.completeWaiters(now)
	if r.node.Role() != replica.Leader {
		r.hosts.reset()
		return
	}
	r.repair.review(now, r.node)
	if e := r.hosts.plan(now, r.state); len(e) > 0 {
		r.proposeInternal(now, e)
	}
}

// proposeInternal proposes edits of the roster.
func (r *Replica) proposeInternal(now clock.Millis, e []config.Edit) {
	r.internalChanges++
	c := config.Change{
		ID:     fmt.Sprintf("fleet-%d-%d", r.node.Term(), r.internalChanges),
		Author: r.ID, Internal: true, Edits: e,
	}
	b, err := c.Encode()
	if err != nil {
		r.handleViolation(err)
	}
	if _, err := r.node.Propose(now, b); err == nil {
		r.hosts.proposed(r.state.Sequence + 1)
	}
}
