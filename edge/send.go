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
	// answerMargin is the time that a target's own answer at the deadline has
	// to arrive.
	answerMargin = 20 * clock.Millis(1)
	// bufferedAnswer is the size up to which answers are read whole before
	// the caller sees them.
	bufferedAnswer = 4 << 20
)

// send sends the request to targets until it is answered. The refusal is nil
// if there is a whole answer of a target.
func (c *call) send() (*attempt, *refusal) {
	c.host.view.first(c.service)
	done := make(chan *attempt, maxInFlight)
	var running []*attempt
	a, x := c.try(nil, false)
	if x != nil {
		return nil, x
	}
	running = append(running, a)
	go a.run(done)
	patience := time.NewTimer(c.patience().Duration())
	defer patience.Stop()
	overdue := time.NewTimer(c.longPatience().Duration())
	defer overdue.Stop()
	var best *attempt
	for {
		select {
		case <-patience.C:
			if b := c.hedge(); b != nil {
				running = append(running, b)
				go b.run(done)
			}
			continue
		case <-overdue.C:
			c.host.overdue(c.service, running[0])
			continue
		case a = <-done:
		}
		running = without(running, a)
		if a.failure == nil && !a.again {
			overtake(running)
			return a, nil
		}
		if a.failure == nil {
			best = a
		}
		x = a.reason()
		if b := c.second(a); b != nil {
			running = append(running, b)
			go b.run(done)
		}
		if len(running) > 0 {
			continue
		}
		if best != nil {
			return best, nil
		}
		return nil, x
	}
}

// maxInFlight bounds the attempts of one call that may be under way.
const maxInFlight = 8

// hedge starts another attempt beside a slow one, where a target is idle.
func (c *call) hedge() *attempt {
	if !c.idempotent() || !c.mayRetry() {
		return nil
	}
	b, x := c.try(nil, true)
	if x != nil {
		return nil
	}
	return b
}

// second starts another attempt after one that has failed, if that is allowed.
func (c *call) second(after *attempt) *attempt {
	if !after.again || !c.mayRetry() {
		return nil
	}
	b, x := c.try(after, false)
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

// overtake gives attempts up since another one was faster.
func overtake(l []*attempt) {
	for _, a := range l {
		a.overtaken.Store(true)
		a.cancel()
	}
}

// patience is how long the first target may take before a second one is asked.
func (c *call) patience() clock.Millis {
	return patience(c.host.view.usual(c.route.Name), c.route.Objective)
}

// longPatience is how long the first target may take before it counts as slow.
func (c *call) longPatience() clock.Millis {
	typical := c.host.view.typical(c.service)
	if typical == 0 {
		// None has answered yet.
		return c.route.Objective + patienceMin
	}
	return patience(typical, 0)
}

// mayRetry reports whether one more target may be tried.
func (c *call) mayRetry() bool {
	if c.context.Err() != nil || c.left() <= 0 || !c.repeatable() {
		return false
	}
	unsent := int(c.unsent.Load())
	if c.sent-unsent >= max(c.route.Attempts, 1) || c.sent >= maxInFlight {
		return false
	}
	return c.sent == unsent || c.host.view.again(c.service)
}

// try chooses a target; last is the attempt before. A hedge does not wait for
// room.
func (c *call) try(last *attempt, hedge bool) (*attempt, *refusal) {
	now := c.host.Clock.Now()
	until := now + c.roomWait()
	if hedge {
		until = now
	}
	ask := balance.Request{
		Idempotent:   c.idempotent() && len(c.tried) == 0,
		Retryable:    c.sent+1 < max(c.route.Attempts, 1) && c.repeatable(),
		LargeBody:    c.route.Kind == catalog.Upload,
		Avoid:        c.tried,
		FreeSlotOnly: hedge,
	}
	h, ok := c.host.await(c.context, &place{
		service: c.service, ask: ask, waiter: balance.Waiter{Priority: c.priority(), Since: c.start},
		start: now, until: until,
	})
	now = c.host.Clock.Now()
	if !ok && last != nil {
		return nil, last.reason()
	}
	if !ok {
		return nil, &refusal{TargetsFull, http.StatusServiceUnavailable, retryFull, "service " + c.service}
	}
	c.tried = append(c.tried, h.ID)
	c.sent++
	c.host.gossip.changed()
	c.host.metrics.sent(h.Zone != c.host.Settings.Zone, "Bodies", len(c.body))
	a := &attempt{call: c, choice: h, started: now}
	a.context, a.cancel = context.WithCancel(c.context)
	return a, nil
}

// roomWait is how long the request may wait for room: as long as it can still
// be answered, and not longer than most of its objective.
func (c *call) roomWait() clock.Millis {
	spare := c.left() - roomFactor*c.host.view.typical(c.service)
	return max(min(spare, c.route.Objective*3/4), minRoomWait)
}

const (
	// roomFactor times the usual answer is kept of the objective for the
	// target.
	roomFactor  = 2
	minRoomWait = 40 * clock.Millis(1)
)

// retryFull is when callers should come back to a service without room.
const retryFull = 300 * clock.Millis(1)
