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
)

// changesKept is the number of recent changes from which hosts are updated
// without sending the whole state.
const changesKept = 4096

// Replica is the actor that owns the state of a control replica.
type Replica struct {
	ID       string
	Settings Settings
	Clock    clock.Clock
	Log      *zap.Logger
	Storage  replica.Storage
	Stored   replica.PersistentState
	// Send passes messages to other replicas without waiting.
	Send func([]replica.Message, replica.Members)
	// OnStaleDisk is called when the disk must not be used any more.
	OnStaleDisk func()

	// respond answers a waiting actor.
	respond func(*actor.PID, any)
	node    *replica.Node
	state   *config.State
	changes []appliedChange
	waiting map[string]*waiter
	hosts   *hostTable
	seen    replica.Role
	counter int
	repair  *repair
}

// appliedChange is a recent change for updates.
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
		r.review(now)
	case *deliver:
		for _, x := range m.Messages {
			r.node.Step(now, x)
		}
	case *submit:
		r.submit(c, now, m)
	case *follow:
		c.Respond(r.follow(now, m.Args))
		r.settle(now)
	case *fetch:
		c.Respond(r.fetch())
	case *status:
		c.Respond(r.status())
	case *join:
		c.Respond(r.join(now, m.Args))
	}
	r.flush()
}

func (r *Replica) start(now clock.Millis) {
	r.state = config.New()
	r.waiting = map[string]*waiter{}
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
		OnViolation:     r.violated,
	}
	r.node.Run(now, r.Stored, r.founders())
}

func (r *Replica) founders() replica.Members {
	if !isFounder(r.ID) {
		return replica.Members{}
	}
	m := replica.Members{Voters: map[string]string{}}
	for n, a := range r.Settings.Replicas {
		m.Voters[founderID(n)] = a
	}
	return m
}

func (r *Replica) flush() {
	if m := r.node.TakeMessages(); len(m) > 0 {
		r.Send(m, r.node.Members())
	}
	if role := r.node.Role(); role != r.seen {
		r.Log.Info("role changed", zap.String("role", string(role)), zap.Uint64("term", r.node.Term()))
		r.seen = role
	}
}

func (r *Replica) violated(err error) {
	if d, ok := err.(replica.StaleDisk); ok {
		r.Log.Error("the disk is older than this replica's answers; starting over as a learner", zap.Error(d))
		r.OnStaleDisk()
		return
	}
	r.Log.Error("invariant violated", zap.Error(err))
	os.Exit(exitViolation)
}

func (r *Replica) apply(e replica.Entry) {
	if e.Data == nil {
		return
	}
	c, err := config.DecodeChange(e.Data)
	if err != nil {
		// Every replica skips the same entry: it was checked when proposed.
		r.Log.Error("unreadable change in the log", zap.Error(err), zap.Uint64("index", e.Index))
		return
	}
	n, o := r.state.Apply(c, e.Data)
	if n != r.state {
		r.state = n
		r.changes = append(r.changes, appliedChange{n.Sequence, e.Data})
		if len(r.changes) > changesKept {
			r.changes = r.changes[len(r.changes)-changesKept:]
		}
	}
	if w := r.waiting[c.ID]; w != nil {
		w.decided = &o
	}
}

func (r *Replica) capture() []byte {
	b, err := r.state.Encode()
	if err != nil {
		r.violated(err)
	}
	return b
}

func (r *Replica) restore(b []byte) {
	s, err := config.DecodeState(b)
	if err != nil {
		r.violated(err)
	}
	r.state = s
	r.changes = nil
}

// follow registers a host and returns what it lacks.
func (r *Replica) follow(now clock.Millis, a api.FollowArgs) api.FollowReply {
	p := api.FollowReply{Update: r.update(a.Sequence)}
	p.Leader = r.node.Members().Address(r.node.LeaderID())
	if r.node.Role() != replica.Leader {
		return p
	}
	r.hosts.heard(now, a)
	if b := r.node.LastProof(); b.At > 0 {
		p.Beat = api.Proof{Known: true, Sequence: b.Sequence, Age: now - b.At}
	}
	return p
}

// update returns what leads from sequence to the state.
func (r *Replica) update(sequence uint64) api.Update {
	u := api.Update{From: sequence, Sequence: r.state.Sequence, Digest: r.state.Digest}
	if sequence >= r.state.Sequence {
		return u
	}
	if k := len(r.changes); k > 0 && r.changes[0].Sequence <= sequence+1 {
		for _, c := range r.changes[sequence+1-r.changes[0].Sequence:] {
			u.Changes = append(u.Changes, c.Data)
		}
		return u
	}
	u.State = r.capture()
	return u
}

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

// review does the leader's periodic work.
func (r *Replica) review(now clock.Millis) {
	r.settle(now)
	if r.node.Role() != replica.Leader {
		r.hosts.reset()
		return
	}
	r.repair.review(now, r.node)
	if e := r.hosts.plan(now, r.state); len(e) > 0 {
		r.proposeInternal(now, e)
	}
}

func (r *Replica) proposeInternal(now clock.Millis, e []config.Edit) {
	r.counter++
	c := config.Change{
		ID:     fmt.Sprintf("fleet-%d-%d", r.node.Term(), r.counter),
		Author: r.ID, Internal: true, Edits: e,
	}
	b, err := c.Encode()
	if err != nil {
		r.violated(err)
	}
	if _, err := r.node.Propose(now, b); err == nil {
		r.hosts.proposed(r.state.Sequence + 1)
	}
}
