package edge

import (
	"context"
	"net/http"
	"time"

	"github.com/carawayrack/carawayrack/balance"
	"github.com/carawayrack/carawayrack/catalog"
	"github.com/carawayrack/carawayrack/clock"
)

const (
	// responseMargin is the time that a target's own answer at the deadline has
	// to arrive.
	responseMargin = 20 * clock.Millis(1)
	// maxBufferedResponse is the size up to which answers are read whole before
	// the caller sees them.
	maxBufferedResponse = 4 << 20
)

// send sends the request to targets until it is answered. The refusal is nil
// if there is a whole answer of a target.
func (c *call) send() (*attempt, *refusal) {
	c.host.view.countRequest(c.service)
	done := make(chan *attempt, maxAttempts)
	var running []*attempt
	a, x := c.newAttempt(nil, false)
	if x != nil {
		return nil, x
	}
	running = append(running, a)
	go a.run(done)
	hedgeTimer := time.NewTimer(c.hedgeDelay().Duration())
	defer hedgeTimer.Stop()
	overdueTimer := time.NewTimer(c.slowAfter().Duration())
	defer overdueTimer.Stop()
	var fallback *attempt
	for {
		select {
		case <-hedgeTimer.C:
			if b := c.hedge(); b != nil {
				running = append(running, b)
				go b.run(done)
			}
			continue
		case <-overdueTimer.C:
			c.host.overdue(c.service, running[0])
			continue
		case a = <-done:
		}
		running = without(running, a)
		if a.failure == nil && !a.retryable {
			cancelSuperseded(running)
			return a, nil
		}
		if a.failure == nil {
			fallback = a
		}
		x = a.refusal()
		if b := c.retry(a); b != nil {
			running = append(running, b)
			go b.run(done)
		}
		if len(running) > 0 {
			continue
		}
		if fallback != nil {
			return fallback, nil
		}
		return nil, x
	}
}

// maxAttempts bounds the attempts of one call that may be under way.
const maxAttempts = 8

// hedge starts another attempt beside a slow one, where a target is idle.
func (c *call) hedge() *attempt {
	if !c.idempotent() || !c.mayRetry() {
		return nil
	}
	b, x := c.newAttempt(nil, true)
	if x != nil {
		return nil
	}
	return b
}

// retry starts another attempt after one that has failed, if that is allowed.
func (c *call) retry(after *attempt) *attempt {
	if !after.retryable || !c.mayRetry() {
		return nil
	}
	b, x := c.newAttempt(after, false)
	if x != nil {
		return nil
	}
	return b
}

func without(l []*attempt, a *attempt) []*attempt {
	r := l[:0]
	for _, x := range l {
		if x != a {
			r = append(r, x)
		}
	}
	return r
}

// cancelSuperseded gives attempts up since another one was faster.
func cancelSuperseded(l []*attempt) {
	for _, a := range l {
		a.superseded.Store(true)
		a.cancel()
	}
}

// hedgeDelay is how long the first target may take before a second one is asked.
func (c *call) hedgeDelay() clock.Millis {
	return hedgeDelay(c.host.view.averageLatency(c.route.Name), c.route.Objective)
}

// slowAfter is how long the first target may take before it counts as slow.
func (c *call) slowAfter() clock.Millis {
	typical := c.host.view.typicalLatency(c.service)
	if typical == 0 {
		// None has answered yet.
		return c.route.Objective + maxHedgeExtra
	}
	return hedgeDelay(typical, 0)
}

// mayRetry reports whether one more target may be tried.
func (c *call) mayRetry() bool {
	if c.context.Err() != nil || c.remaining() <= 0 || !c.replayable() {
		return false
	}
	unsent := int(c.unsent.Load())
	if c.attempts-unsent >= max(c.route.Attempts, 1) || c.attempts >= maxAttempts {
		return false
	}
	return c.attempts == unsent || c.host.view.takeRetry(c.service)
}

// newAttempt chooses a target; last is the attempt before. A hedge does not wait for
// room.
func (c *call) newAttempt(last *attempt, hedge bool) (*attempt, *refusal) {
	now := c.host.Clock.Now()
	until := now + c.maxQueueWait()
	if hedge {
		until = now
	}
	request := balance.Request{
		Idempotent:   c.idempotent() && len(c.tried) == 0,
		Retryable:    c.attempts+1 < max(c.route.Attempts, 1) && c.replayable(),
		LargeBody:    c.route.Kind == catalog.Upload,
		Avoid:        c.tried,
		FreeSlotOnly: hedge,
	}
	h, ok := c.host.waitForTarget(c.context, &pendingPick{
		service: c.service, request: request, waiter: balance.Waiter{Priority: c.priority(), Since: c.start},
		start: now, deadline: until,
	})
	now = c.host.Clock.Now()
	if !ok && last != nil {
		return nil, last.refusal()
	}
	if !ok {
		return nil, &refusal{TargetsFull, http.StatusServiceUnavailable, retryAfterFull, "service " + c.service}
	}
	c.tried = append(c.tried, h.ID)
	c.attempts++
	c.host.gossip.scheduleSend()
	c.host.metrics.countBytes(h.Zone != c.host.Settings.Zone, "Bodies", len(c.body))
	a := &attempt{call: c, choice: h, started: now}
	a.context, a.cancel = context.WithCancel(c.context)
	return a, nil
}

// maxQueueWait is how long the request may wait for room: as long as it can still
// be answered, and not longer than most of its objective.
func (c *call) maxQueueWait() clock.Millis {
	spare := c.remaining() - queueWaitReserve*c.host.view.typicalLatency(c.service)
	return max(min(spare, c.route.Objective*3/4), minQueueWait)
}

const (
	// queueWaitReserve times the usual answer is kept of the objective for the
	// target.
	queueWaitReserve = 2
	minQueueWait     = 40 * clock.Millis(1)
)

// retryAfterFull is when callers should come back to a service without room.
const retryAfterFull = 300 * clock.Millis(1)
