package edge

import (
	"context"
	"time"

	"github.com/carawayrack/carawayrack/admission"
	"github.com/carawayrack/carawayrack/balance"
	"github.com/carawayrack/carawayrack/clock"
)

// repickInterval is how often a waiting request tries to pick a target without
// a wake-up: the host may not know at once that requests of other hosts have
// finished.
const repickInterval = 20 * clock.Millis(1)

// pendingPick is a request that needs a target.
type pendingPick struct {
	service string
	request balance.Request
	waiter  admission.Waiter
	// start and deadline bound the wait.
	start, deadline clock.Millis
	// closed is true if the request got no target because none accepts requests.
	// Pause is the time until the first one does, 0 if all are leaving.
	closed bool
	pause  clock.Millis
	// refuse, if set, returns the reason to end the wait before its deadline, and
	// nil if there is none; refused is what it returned.
	refuse  func(now clock.Millis) *refusal
	refused *refusal
}

// standingQueueWait is how long a request may wait in a queue that has not been
// empty for a while; see admission.Queue.Standing.
const standingQueueWait = 60 * clock.Millis(1)

// lessUrgentGuarantee is the number of admissions of which each less urgent priority
// gets at least one while it has requests that wait: a twentieth.
const lessUrgentGuarantee = 20

// waitForTarget picks a target. If all are full, the request waits in the queue
// until its deadline. It returns false if there is still no target then, if the
// caller has left, or if p.refuse ends the wait.
func (h *Host) waitForTarget(c context.Context, p *pendingPick) (balance.Choice, bool) {
	queued := false
	for {
		if c.Err() != nil {
			h.view.leaveQueue(p, queued)
			return balance.Choice{}, false
		}
		now := h.Clock.Now()
		if p.refuse != nil {
			p.refused = p.refuse(now)
		}
		if p.refused != nil {
			h.view.leaveQueue(p, queued)
			return balance.Choice{}, false
		}
		x, ok, over := h.view.tryPick(now, p, queued)
		if ok || over {
			return x, ok
		}
		queued = true
		t := time.NewTimer(repickInterval.Duration())
		select {
		case <-p.waiter.Ready:
		case <-t.C:
		case <-c.Done():
		}
		t.Stop()
	}
}

// leaveQueue removes a request that needs no target any more from the queue.
func (v *fleetView) leaveQueue(p *pendingPick, queued bool) {
	if !queued {
		return
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	q := v.queue(p.service)
	q.Remove(&p.waiter)
	q.Wake()
}

// tryPick tries to pick a target once, if the request is the next one in the
// queue or must not wait any longer; it reports the latter as over. A request
// that gets no target and may wait is queued.
func (v *fleetView) tryPick(now clock.Millis, p *pendingPick, queued bool) (x balance.Choice, ok, over bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	q := v.queue(p.service)
	if q.Standing(now) {
		p.deadline = min(p.deadline, p.start+standingQueueWait)
	}
	a := p.request
	// Pick may send a request to an unhealthy target as a probe only if it is
	// retryable.
	a.Retryable = a.Retryable && v.mayProbe(p.service)
	over = now >= p.deadline
	if over || q.IsNext(&p.waiter) {
		x, ok = v.pool(p.service).Pick(now, a)
		if !ok {
			over = v.noteClosed(now, p) || over
		}
	}
	if ok && !a.FreeSlotOnly {
		q.Admitted(&p.waiter)
	}
	switch {
	case ok || over:
		if queued {
			q.Remove(&p.waiter)
			q.Wake()
		}
	case !queued:
		q.Add(&p.waiter)
	}
	return x, ok, over
}

// noteClosed notes whether no target accepts requests. It reports whether none will
// until the deadline of the request; v.mu is held.
func (v *fleetView) noteClosed(now clock.Millis, p *pendingPick) bool {
	p.pause, p.closed = v.pool(p.service).Closed(now)
	return p.closed && (p.pause == 0 || now+p.pause >= p.deadline)
}

func (v *fleetView) queue(service string) *admission.Queue {
	q := v.queues[service]
	if q == nil {
		q = &admission.Queue{Guarantee: lessUrgentGuarantee}
		v.queues[service] = q
	}
	return q
}
