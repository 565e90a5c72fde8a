package edge

import (
	"context"
	"time"

	"github.com/carawayrack/carawayrack/balance"
	"github.com/carawayrack/carawayrack/clock"
)

// lookAgain is how often a waiting request looks for room by itself: what
// other hosts finish is not always known at once.
const lookAgain = 20 * clock.Millis(1)

// place is a request that needs a target.
type place struct {
	service string
	ask     balance.Request
	waiter  balance.Waiter
	// start and until bound the wait.
	start, until clock.Millis
}

// standingWait is how long a request waits in a queue that does not get
// shorter.
const standingWait = 60 * clock.Millis(1)

// await chooses a target, if need be after a wait for room.
func (h *Host) await(c context.Context, p *place) (balance.Choice, bool) {
	queued := false
	for {
		now := h.Clock.Now()
		x, ok, over := h.view.attempt(now, p, queued)
		if ok || over {
			return x, ok
		}
		queued = true
		t := time.NewTimer(lookAgain.Duration())
		select {
		case <-p.waiter.Ready:
		case <-t.C:
		case <-c.Done():
			p.until = 0
		}
		t.Stop()
	}
}

// attempt looks for a target once. It queues the request that finds none, and
// reports over once its wait is over.
func (v *view) attempt(now clock.Millis, p *place, queued bool) (x balance.Choice, ok, over bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	q := v.queue(p.service)
	if q.Standing(now) {
		p.until = min(p.until, p.start+standingWait)
	}
	a := p.ask
	a.Retryable = a.Retryable && v.spare(p.service)
	over = now >= p.until
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

func (v *view) queue(service string) *balance.Queue {
	q := v.queues[service]
	if q == nil {
		q = &balance.Queue{}
		v.queues[service] = q
	}
	return q
}
