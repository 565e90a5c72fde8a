package edge

import (
	"context"
	"net/http"
	"slices"
	"time"

	"github.com/carawayrack/carawayrack/admission"
	"github.com/carawayrack/carawayrack/balance"
	"github.com/carawayrack/carawayrack/catalog"
	"github.com/carawayrack/carawayrack/clock"
	"github.com/carawayrack/carawayrack/hedge"
)

const (
	// responseMargin is the additional time for a response that the target sends
	// at the deadline.
	responseMargin = 20 * clock.Millis(1)
)

// send makes attempts until the request is answered or no other attempt is
// allowed. The refusal is nil if there is a complete response of a target, or the start of
// a large one.
func (c *call) send() (*attempt, *refusal) {
	c.host.view.countRequest(c.service)
	done := make(chan *attempt, maxAttempts)
	var running []*attempt
	a, x := c.newAttempt(nil, false)
	if x != nil {
		return nil, x
	}
	running = append(running, a)
	first := a
	go a.run(done)
	plan := c.planHedge()
	hedgeTimer := time.NewTimer(plan.delay.Duration())
	defer hedgeTimer.Stop()
	overdueTimer := time.NewTimer(c.overdueAfter().Duration())
	defer overdueTimer.Stop()
	var fallback *attempt
	for {
		select {
		case <-hedgeTimer.C:
			if b := c.hedge(plan); b != nil {
				running = append(running, b)
				go b.run(done)
			} else if c.mayHedgeLater() {
				hedgeTimer.Reset(hedgeRetryInterval.Duration())
			}
			continue
		case <-overdueTimer.C:
			// The timer belongs to the first attempt, which a retry may have replaced.
			if slices.Contains(running, first) {
				c.host.overdue(c.service, first)
			}
			continue
		case a = <-done:
		}
		running = without(running, a)
		if a.failure == nil && !a.retryable {
			cancelSuperseded(running)
			if plan.limit > 0 {
				a.countWon()
			}
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

// maxAttempts bounds the attempts of one call.
const maxAttempts = 8

// hedge returns another attempt to run in parallel with a slow one, or nil if
// none is allowed or no target has a free slot.
func (c *call) hedge(p *hedgePlan) *attempt {
	if !c.idempotent() {
		return nil
	}
	if p.limit > 0 {
		return c.hedgeWithin(p)
	}
	return c.again(nil, true)
}

// hedgeRetryInterval is how long after a hedge that found no free slot or retry the
// next one is tried. Targets respond within some hundred milliseconds, so that slots
// become free in that time.
const hedgeRetryInterval = 250 * clock.Millis(1)

// mayHedgeLater reports whether a hedge that cannot start now may start later. A
// request at a target that does not respond would otherwise wait for its deadline.
func (c *call) mayHedgeLater() bool {
	return c.idempotent() && c.replayable() && c.context.Err() == nil &&
		c.attempts-int(c.unsent.Load()) < max(c.route.Attempts, 1) && c.attempts < maxAttempts
}

// again returns another attempt if one is allowed and a target has capacity for it,
// else nil.
func (c *call) again(after *attempt, hedge bool) *attempt {
	ok, charged := c.mayRetry()
	if !ok {
		return nil
	}
	b, x := c.newAttempt(after, hedge)
	if x != nil {
		if charged {
			c.host.refundRetry(c.service)
		}
		return nil
	}
	b.charged, b.hedge = charged, hedge
	return b
}

// retry returns another attempt after a failed one, or nil if none is allowed or
// no target has capacity.
func (c *call) retry(after *attempt) *attempt {
	if !after.retryable {
		return nil
	}
	return c.again(after, false)
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

// cancelSuperseded cancels the attempts that a faster one has made
// superfluous.
func cancelSuperseded(l []*attempt) {
	for _, a := range l {
		a.superseded.Store(true)
		a.cancel()
	}
}

// hedgeDelay returns how long the first attempt may take before a second one
// starts.
func (c *call) hedgeDelay() clock.Millis {
	return hedge.Delay(c.host.view.routeLatency(c.route.Name), c.route.Objective)
}

// overdueAfter returns how long the first attempt may take before it is overdue.
func (c *call) overdueAfter() clock.Millis {
	average := c.host.view.serviceLatency(c.service)
	if average == 0 {
		// There is no response yet. More than the objective is allowed, so that
		// the first target of a host that has just started does not count as slow.
		return c.route.Objective + hedge.MaxExtra
	}
	return hedge.Delay(average, 0)
}

// mayAttempt reports whether the time and the route allow another attempt. Attempts
// that sent nothing to their targets do not count. A request in quarantine is sent once
// at most.
func (c *call) mayAttempt() bool {
	if c.context.Err() != nil || c.remaining() <= 0 || !c.replayable() {
		return false
	}
	unsent := int(c.unsent.Load())
	if quarantined, _ := c.quarantined(); c.attempts > unsent && (quarantined || c.trial != nil) {
		return false
	}
	return c.attempts-unsent < max(c.route.Attempts, 1) && c.attempts < maxAttempts
}

// mayRetry reports whether another attempt is allowed, and takes it from the
// retry budget, which charged reports. Attempts that sent nothing to their targets
// do not count: while there are no others, the budget is not used. Nor is it used
// while no target accepts requests.
func (c *call) mayRetry() (ok, charged bool) {
	if !c.mayAttempt() {
		return false, false
	}
	if c.host.view.closed(c.host.Clock.Now(), c.service) {
		return false, false
	}
	if c.attempts == int(c.unsent.Load()) {
		return true, false
	}
	ok = c.host.takeRetry(c.service)
	return ok, ok
}

// newAttempt picks a target and returns an attempt to send the request to it. If
// no target has capacity, it returns a refusal: that of last, the attempt before
// it, if there is one. A hedge does not wait in the queue.
func (c *call) newAttempt(last *attempt, hedge bool) (*attempt, *refusal) {
	now := c.host.Clock.Now()
	until := now + c.maxQueueWait()
	if hedge {
		until = now
	}
	p := c.newPick(now, until, hedge)
	h, ok := c.host.waitForTarget(c.context, p)
	now = c.host.Clock.Now()
	if !ok && last != nil {
		return nil, last.refusal()
	}
	if !ok && p.refused != nil {
		return nil, p.refused
	}
	if !ok && p.closed {
		return nil, c.closedRefusal(p.pause)
	}
	if !ok {
		return nil, c.fullRefusal()
	}
	c.tried = append(c.tried, h.ID)
	c.attempts++
	c.host.gossip.scheduleSend()
	c.host.metrics.countBytes(h.Zone != c.host.Settings.Zone, "Bodies", len(c.body))
	a := &attempt{call: c, choice: h, started: now, ended: make(chan struct{}), counted: c.host.view.beginAttempt(now, c.service, c.route.Name, h)}
	a.context, a.cancel = context.WithCancel(c.context)
	return a, nil
}

// newPick returns what the next attempt needs of a target.
func (c *call) newPick(now, until clock.Millis, hedge bool) *pendingPick {
	request := balance.Request{
		Idempotent:   c.mayProbe() && len(c.tried) == 0,
		Retryable:    c.attempts+1 < max(c.route.Attempts, 1) && c.replayable(),
		LargeBody:    c.route.Kind == catalog.Upload,
		Avoid:        c.tried,
		FreeSlotOnly: hedge,
		Sample:       c.host.view.rolloutSample(c.service),
		Repeated:     hedge || len(c.tried) > 0,
	}
	return &pendingPick{
		service: c.service, request: request, waiter: admission.Waiter{Priority: c.priority(), Since: c.start},
		start: now, deadline: until, refuse: c.endsBefore,
	}
}

// fullRefusal returns the refusal of a request that has waited for a target in vain.
func (c *call) fullRefusal() *refusal {
	return &refusal{TargetsFull, http.StatusServiceUnavailable, retryAfterFull, "service " + c.service}
}

// closedRefusal returns the refusal of a request to a service none of whose targets
// accepts requests. Pause is the time until the first one does, 0 if all are
// leaving.
func (c *call) closedRefusal(pause clock.Millis) *refusal {
	if pause > 0 {
		return &refusal{TargetsPaused, http.StatusServiceUnavailable, pause, "service " + c.service}
	}
	return &refusal{TargetsLeaving, http.StatusServiceUnavailable, retryAfterFull, "service " + c.service}
}

// maxQueueWait returns how long the request may wait in the queue: at most 3/4
// of its objective, and only so long that a target can still respond before the
// deadline, but at least minQueueWait.
func (c *call) maxQueueWait() clock.Millis {
	spare := c.remaining() - queueWaitReserve*c.host.view.serviceLatency(c.service)
	return max(min(spare, c.route.Objective*3/4), minQueueWait)
}

const (
	// Of the time until the deadline, queueWaitReserve times the average latency
	// is kept for the response of the target.
	queueWaitReserve = 2
	minQueueWait     = 40 * clock.Millis(1)
)

// retryAfterFull is the Retry-After of requests that did not run because the
// targets had no capacity, could not be reached or were not at their addresses.
const retryAfterFull = 300 * clock.Millis(1)
