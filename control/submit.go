package control

import (
	"github.com/asynkron/protoactor-go/actor"

	"github.com/carawayrack/carawayrack/api"
	"github.com/carawayrack/carawayrack/clock"
	"github.com/carawayrack/carawayrack/config"
	"github.com/carawayrack/carawayrack/refusal"
	"github.com/carawayrack/carawayrack/replica"
)

// submitTimeout is the maximum time to wait until a change is in force. A change is
// in force once no host serves routes that require a key without it.
const submitTimeout = 9 * clock.Second

// waiter holds the operators' requests that wait for a change to be in force.
type waiter struct {
	senders  []*actor.PID
	deadline clock.Millis
	// outcome is nil until the change is applied.
	outcome *config.Outcome
	// majorityAt is when majorities of the hosts had acknowledged the change, 0
	// if they have not.
	majorityAt clock.Millis
}

// submit proposes a change unless it is already waiting or applied. If this
// replica does not lead it refuses at once; otherwise completeWaiter sends the
// response.
func (r *Replica) submit(c actor.Context, now clock.Millis, m *submit) {
	if r.node.Role() != replica.Leader {
		l := r.node.Members().Address(r.node.LeaderID())
		c.Respond(api.SubmitReply{Leader: l, Refusal: refusal.New(refusal.NotLeader, l)})
		return
	}
	id := m.Change.ID
	w := r.waiters[id]
	if w == nil {
		w = &waiter{deadline: now + submitTimeout}
		r.waiters[id] = w
		if o, ok := r.state.FindOutcome(id); ok {
			w.outcome = &o
		} else if _, err := r.node.Propose(now, m.Data); err != nil {
			delete(r.waiters, id)
			c.Respond(api.SubmitReply{Refusal: refusal.New(refusal.NotLeader, err.Error())})
			return
		}
	}
	w.senders = append(w.senders, c.Sender())
	r.completeWaiter(now, id, w)
}

// completeWaiters responds to the waiters whose result is known.
func (r *Replica) completeWaiters(now clock.Millis) {
	for id, w := range r.waiters {
		r.completeWaiter(now, id, w)
	}
}

// completeWaiter responds to the senders of a waiter if its result is known.
func (r *Replica) completeWaiter(now clock.Millis, id string, w *waiter) {
	p, done := r.evaluate(now, w)
	if !done {
		return
	}
	delete(r.waiters, id)
	for _, s := range w.senders {
		r.respond(s, p)
	}
}

// evaluate returns the response to a waiter. It reports false while the result
// is not known.
func (r *Replica) evaluate(now clock.Millis, w *waiter) (api.SubmitReply, bool) {
	if r.node.Role() != replica.Leader {
		x := refusal.NewMaybeRun(refusal.OutcomeUnknown, "leadership was lost; send the change again with the same id")
		return api.SubmitReply{Refusal: x}, true
	}
	if w.outcome == nil {
		x := refusal.NewMaybeRun(refusal.OutcomeUnknown, "not committed in time; send the change again with the same id")
		return api.SubmitReply{Refusal: x}, now >= w.deadline
	}
	o := *w.outcome
	if !o.Accepted {
		return api.SubmitReply{Outcome: o, Refusal: rejection(o)}, true
	}
	majority, all := r.hosts.acknowledged(r.state, o.Sequence)
	if majority && w.majorityAt == 0 {
		w.majorityAt = now
	}
	if all || (w.majorityAt > 0 && now >= w.majorityAt+r.hosts.fenceTime()) {
		return api.SubmitReply{Outcome: o, InForce: true}, true
	}
	if now < w.deadline {
		return api.SubmitReply{}, false
	}
	if majority {
		// The change is accepted, but hosts without it may still serve.
		return api.SubmitReply{Outcome: o}, true
	}
	x := refusal.NewMaybeRun(refusal.OutcomeUnknown, "too few hosts hold the change yet; send it again with the same id")
	return api.SubmitReply{Outcome: o, Refusal: x}, true
}

// rejection returns the refusal for a change that was not accepted.
func rejection(o config.Outcome) *refusal.Refusal {
	if o.Problem != "" {
		return refusal.New(refusal.InvalidChange, o.Problem)
	}
	return refusal.New(refusal.VersionConflict, "lost to change "+o.Winner)
}
