package edge

import (
	"context"
	"time"

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
	waiter  balance.Waiter
	// start and deadline bound the wait.
	start, deadline clock.Millis
}

// standingQueueWait is how long a request waits in a queue that does not
// drain.
const standingQueueWait = 60 * clock.Millis(1)

// waitForTarget picks a target. If all are full, the request waits in the
// queue.
func (h *Host) waitForTarget(c context.Context, p *pendingPick) (balance.Choice, bool) {
	queued := false
	for {
		now := h.Clock.Now()
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
			p.deadline = 0
		}
		t.Stop()
	}
}

// tryPick tries to pick a target once. It queues a request that gets none, and
// reports over if the request must not wait any longer.
func (v *fleetView) tryPick(now clock.Millis, p *pendingPick, queued bool) (x balance.Choice, ok, over bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	q := v.queue(p.service)
	if q.Standing(now) {
		p.deadline = min(p.deadline, p.start+standingQueueWait)
	}
	a := p.request
	a.Retryable = a.Retryable && v.mayProbe(p.service)
	over = now >= p.deadline
	if over || q.IsNext(&p.waiter) {
		x, ok = v.pool(p.service).Pick(now, a)
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

func (v *fleetView) queue(service string) *balance.Queue {
	q := v.queues[service]
	if q == nil {
		q = &balance.Queue{}
		v.queues[service] = q
	}
	return q
}
