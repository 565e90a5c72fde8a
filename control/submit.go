package control

import (
	"github.com/asynkron/protoactor-go/actor"

	"github.com/carawayrack/carawayrack/api"
	"github.com/carawayrack/carawayrack/clock"
	"github.com/carawayrack/carawayrack/config"
	"github.com/carawayrack/carawayrack/refusal"
	"github.com/carawayrack/carawayrack/replica"
)

// submitTimeout bounds the wait for a change to be in force.
const submitTimeout = 9 * clock.Second

// waiter waits for the outcome of a change on behalf of operators.
type waiter struct {
	senders  []*actor.PID
	deadline clock.Millis
	decided  *config.Outcome
	// acceptedAt is when a majority of the hosts held the change.
	acceptedAt clock.Millis
}

func (r *Replica) submit(c actor.Context, now clock.Millis, m *submit) {
	if r.node.Role() != replica.Leader {
		l := r.node.Members().Address(r.node.LeaderID())
		c.Respond(api.SubmitReply{Leader: l, Refusal: refusal.New(refusal.NotLeader, l)})
		return
	}
	id := m.Change.ID
	w := r.waiting[id]
	if w == nil {
		w = &waiter{deadline: now + submitTimeout}
		r.waiting[id] = w
		if o, ok := r.state.FindOutcome(id); ok {
			w.decided = &o
		} else if _, err := r.node.Propose(now, m.Data); err != nil {
			delete(r.waiting, id)
			c.Respond(api.SubmitReply{Refusal: refusal.New(refusal.NotLeader, err.Error())})
			return
		}
	}
	w.senders = append(w.senders, c.Sender())
	r.settleOne(now, id, w)
}

// settle answers the waiters whose change has come to an end.
func (r *Replica) settle(now clock.Millis) {
	for id, w := range r.waiting {
		r.settleOne(now, id, w)
	}
}

func (r *Replica) settleOne(now clock.Millis, id string, w *waiter) {
	p, done := r.judge(now, w)
	if !done {
		return
	}
	delete(r.waiting, id)
	for _, s := range w.senders {
		r.respond(s, p)
	}
}

func (r *Replica) judge(now clock.Millis, w *waiter) (api.SubmitReply, bool) {
	if r.node.Role() != replica.Leader {
		x := refusal.NewMaybeRun(refusal.OutcomeUnknown, "leadership was lost; send the change again with the same id")
		return api.SubmitReply{Refusal: x}, true
	}
	if w.decided == nil {
		x := refusal.NewMaybeRun(refusal.OutcomeUnknown, "not committed in time; send the change again with the same id")
		return api.SubmitReply{Refusal: x}, now >= w.deadline
	}
	o := *w.decided
	if !o.Accepted {
		return api.SubmitReply{Outcome: o, Refusal: rejection(o)}, true
	}
	held, all := r.hosts.held(r.state, o.Sequence)
	if held && w.acceptedAt == 0 {
		w.acceptedAt = now
	}
	if all || (w.acceptedAt > 0 && now >= w.acceptedAt+r.hosts.fence()) {
		return api.SubmitReply{Outcome: o, InForce: true}, true
	}
	if now < w.deadline {
		return api.SubmitReply{}, false
	}
	if held {
		return api.SubmitReply{Outcome: o}, true
	}
	x := refusal.NewMaybeRun(refusal.OutcomeUnknown, "too few hosts hold the change yet; send it again with the same id")
	return api.SubmitReply{Outcome: o, Refusal: x}, true
}

func rejection(o config.Outcome) *refusal.Refusal {
	if o.Problem != "" {
		return refusal.New(refusal.InvalidChange, o.Problem)
	}
	return refusal.New(refusal.VersionConflict, "lost to change "+o.Winner)
}
