package edge

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/carawayrack/carawayrack/balance"
	"github.com/carawayrack/carawayrack/catalog"
	"github.com/carawayrack/carawayrack/clock"
	"github.com/carawayrack/carawayrack/forward"
	"github.com/carawayrack/carawayrack/slots"
)

const (
	// patienceFactor times the usual answer plus patienceMin is how long a
	// request that may be repeated waits for one target.
	patienceFactor = 4
	patienceMin    = 100 * clock.Millis(1)
	// answerMargin is the time that a target's own answer at the deadline has
	// to arrive.
	answerMargin = 20 * clock.Millis(1)
	// bufferedAnswer is the size up to which answers are read whole before
	// the caller sees them.
	bufferedAnswer = 4 << 20
)

// attempt is one try of a call at one target.
type attempt struct {
	call     *call
	choice   balance.Choice
	exchange *forward.Exchange
	started  clock.Millis
	context  context.Context
	cancel   context.CancelFunc
	response *http.Response
	body     []byte
	// overtaken is set before an attempt is given up for another one.
	overtaken atomic.Bool
	// Without a failure there is a whole answer; again tells whether another
	// target may be tried.
	failure *refusal
	again   bool
}

// send sends the request to targets until it is answered. The refusal is nil
// if there is a whole answer of a target.
func (c *call) send() (*attempt, *refusal) {
	c.host.view.first(c.service)
	done := make(chan *attempt, maxInFlight)
	var running []*attempt
	a, x := c.try(nil)
	if x != nil {
		return nil, x
	}
	running = append(running, a)
	go a.run(done)
	patience := time.NewTimer(c.patience())
	defer patience.Stop()
	var best *attempt
	for {
		select {
		case <-patience.C:
			c.host.overdue(c.service, running[len(running)-1])
			if b := c.second(nil); b != nil {
				running = append(running, b)
				go b.run(done)
			}
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

// second starts another attempt if that is allowed; after is the attempt that
// has failed, nil if one is only slow.
func (c *call) second(after *attempt) *attempt {
	if after == nil && !c.idempotent() || after != nil && !after.again || !c.mayRetry() {
		return nil
	}
	b, x := c.try(after)
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

// reason is why an attempt did not settle the call.
func (a *attempt) reason() *refusal {
	if a.failure != nil {
		return a.failure
	}
	return &refusal{TargetFailed, http.StatusBadGateway, 0, "status " + strconv.Itoa(a.response.StatusCode)}
}

// patience is how long the first target may take before it counts as slow.
func (c *call) patience() time.Duration {
	typical := c.host.view.typical(c.service)
	if typical == 0 && c.route.Objective > 0 {
		// None has answered yet, or all within the clock's resolution.
		return c.route.Objective.Duration()
	}
	return (patienceFactor*typical + patienceMin).Duration()
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

// try chooses a target; last is the attempt before.
func (c *call) try(last *attempt) (*attempt, *refusal) {
	now := c.host.Clock.Now()
	ask := balance.Ask{
		Repeatable: c.idempotent() && len(c.tried) == 0,
		Spare:      c.sent+1 < max(c.route.Attempts, 1) && c.repeatable(),
		Bulky:      c.route.Kind == catalog.Upload,
		Avoid:      c.tried,
	}
	h, ok := c.host.await(c.context, &place{
		service: c.service, ask: ask, waiter: balance.Waiter{Priority: c.priority(), Since: c.start},
		start: now, until: now + c.roomWait(),
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

// run tries the target and tells the call.
func (a *attempt) run(done chan<- *attempt) {
	defer a.cancel()
	a.failure, a.again = a.settle()
	done <- a
}

// settle tries the target. Without a refusal there is a whole answer; again
// tells whether another target may be tried.
func (a *attempt) settle() (x *refusal, again bool) {
	c := a.call
	a.exchange = &forward.Exchange{
		Pool: c.host.conns, Addr: a.choice.Addr, Request: c.outgoing(a.choice.ID),
		Once: !c.idempotent(), Deadline: c.deadline(c.end + answerMargin),
		Foreign: a.foreign, Unframed: true,
	}
	r, err := a.exchange.Run(a.context)
	if err != nil {
		return a.failed(err.(*forward.Failure))
	}
	a.response = r
	if r.Header.Get(c.host.Headers.NotRun) != "" {
		a.end(balance.Shed)
		return &refusal{TargetsFull, http.StatusServiceUnavailable, retryFull, a.choice.ID + " shed the request"}, true
	}
	if r.StatusCode == http.StatusMisdirectedRequest {
		a.end(balance.Misdirected)
		return &refusal{TargetFailed, http.StatusServiceUnavailable, retryFull, a.choice.ID + " is not at its address"}, true
	}
	c.mayHaveRun.Store(true)
	return a.read()
}

// foreign reports whether an answer belongs to another request.
func (a *attempt) foreign(r *http.Response) bool {
	got := r.Header.Get(a.call.host.Headers.RequestID)
	return got != "" && got != a.call.id
}

// failed ends a try without answer.
func (a *attempt) failed(f *forward.Failure) (*refusal, bool) {
	c := a.call
	if f.NotRun {
		if f.Outcome == slots.Cancelled {
			a.end(a.givenUp())
			return &refusal{CallerLeft, http.StatusServiceUnavailable, 0, "before the request was sent"}, false
		}
		c.unsent.Add(1)
		a.end(balance.Unreached)
		return &refusal{NoTarget, http.StatusServiceUnavailable, retryFull, f.Error()}, true
	}
	c.mayHaveRun.Store(true)
	if f.Outcome == slots.Cancelled {
		a.end(a.givenUp())
		return &refusal{CallerLeft, http.StatusBadGateway, 0, "while a target was at work"}, false
	}
	if f.Outcome == slots.TimedOut || f.Outcome == slots.SilentConnection {
		a.end(balance.TimedOut)
		return &refusal{OutOfTime, http.StatusGatewayTimeout, 0, f.Error()}, c.idempotent()
	}
	a.end(balance.Broken)
	return &refusal{TargetFailed, http.StatusBadGateway, 0, f.Error()}, c.idempotent()
}

// givenUp is the outcome of an attempt that was cancelled.
func (a *attempt) givenUp() balance.Outcome {
	if a.overtaken.Load() {
		return balance.TimedOut
	}
	return balance.Cancelled
}

// Garbled is the error of an answer that is not a target's answer to the
// request.
type Garbled struct{ What string }

// Error describes the failure.
func (e Garbled) Error() string { return "garbled answer: " + e.What }

// read reads the answer whole and judges it.
func (a *attempt) read() (*refusal, bool) {
	c := a.call
	b, err := io.ReadAll(io.LimitReader(a.response.Body, bufferedAnswer))
	if err == nil {
		err = a.check()
	}
	if err != nil {
		if a.context.Err() != nil {
			a.end(a.givenUp())
			return &refusal{CallerLeft, http.StatusBadGateway, 0, "while a target was at work"}, false
		}
		a.end(balance.Broken)
		return &refusal{TargetFailed, http.StatusBadGateway, 0, err.Error()}, c.idempotent()
	}
	a.body = b
	o := balance.Served
	if a.response.StatusCode >= http.StatusInternalServerError {
		o = balance.Failed
	}
	if len(b) < bufferedAnswer {
		a.end(o)
	}
	return nil, o == balance.Failed && c.idempotent()
}

// check finds out whether the answer is one of the target to this request.
func (a *attempt) check() error {
	h := a.response.Header
	n := a.call.host.Headers
	ok := a.response.StatusCode >= 200 && a.response.StatusCode < 300
	switch {
	case h.Get("Content-Encoding") != "":
		return Garbled{"encoded as " + h.Get("Content-Encoding")}
	case ok && h.Get(n.Seal) == "":
		return Garbled{"success without a seal"}
	case ok && h.Get(n.RequestID) != a.call.id:
		return Garbled{"success without the request's ID"}
	case promises(a.response.StatusCode) && !a.call.idempotent():
		return Garbled{"status " + strconv.Itoa(a.response.StatusCode) + " of a target that ran the request"}
	}
	return nil
}

// promises reports whether a status says that a request has not run.
func promises(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// end closes or keeps the connection and notes the outcome.
func (a *attempt) end(o balance.Outcome) {
	c := a.call
	now := c.host.Clock.Now()
	if o == balance.Served || o == balance.Failed {
		a.exchange.Finish()
	} else {
		a.exchange.Close()
	}
	r := balance.Result{Outcome: o, Took: now - a.started}
	if a.response != nil {
		r.Load = parseLoad(a.response.Header.Get(c.host.Headers.Load))
		if n, err := strconv.ParseInt(a.response.Header.Get(c.host.Headers.Cold), 10, 64); err == nil {
			r.Cold = clock.Millis(n)
		}
	}
	c.host.view.done(now, c.service, a.choice.ID, r)
	c.host.metrics.attempt(c.service, o)
	if o == balance.Served && !a.choice.Probe {
		c.host.gossip.changed()
	} else {
		c.host.gossip.alarm(c.service, a.choice.ID)
	}
	if o != balance.Served {
		c.host.Log.Info("attempt", zap.String("request", c.id), zap.String("target", a.choice.ID),
			zap.String("service", c.service), zap.String("outcome", o.String()), zap.Int64("tookMs", int64(r.Took)),
			zap.Bool("probe", a.choice.Probe), zap.Int("busy", a.choice.Busy), zap.Int64("ageMs", int64(a.choice.Age)))
	}
}

// parseLoad reads "running,waiting,slots".
func parseLoad(s string) balance.Load {
	f := strings.Split(s, ",")
	if len(f) != 3 {
		return balance.Load{}
	}
	var n [3]int
	for i, x := range f {
		v, err := strconv.Atoi(strings.TrimSpace(x))
		if err != nil {
			return balance.Load{}
		}
		n[i] = v
	}
	return balance.Load{Known: true, Running: n[0], Waiting: n[1], Slots: n[2]}
}
