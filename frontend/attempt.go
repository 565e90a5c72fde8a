package frontend

import (
	"net/http"
	"strconv"

	"github.com/carawayrack/carawayrack/clock"
	"github.com/carawayrack/carawayrack/forward"
	"github.com/carawayrack/carawayrack/journal"
	"github.com/carawayrack/carawayrack/refusal"
	"github.com/carawayrack/carawayrack/shardclient"
	"github.com/carawayrack/carawayrack/slots"
)

const (
	maxAttempts         = 3
	minFirstByteTimeout = 500 * clock.Millis(1)
	// An idempotent request that gets no response within
	// firstByteTimeoutFactor times the average time to the first byte is
	// cancelled on that target and sent to another one. The last attempt has no
	// such limit.
	firstByteTimeoutFactor = 8
)

// attempt is one attempt to run a call on one target.
type attempt struct {
	call     *call
	held     *shardclient.HeldGrant
	exchange *forward.Exchange
	// last is true if no further attempt follows.
	last bool
}

// deliverFunc sends a response to the caller. It reports whether the whole body
// was sent.
type deliverFunc func(a *attempt, r *http.Response) bool

// attempts sends the request to one target after another until a response has
// been sent to the caller; it then returns nil. Otherwise it returns the refusal
// to send.
func (c *call) attempts(deliver deliverFunc) *refusal.Refusal {
	b := c.handler.budget(c.service.Name)
	b.recordFirstAttempt(c.service.RetryPercent)
	for n := 1; ; n++ {
		h, x := c.acquire()
		if x != nil {
			return x
		}
		a := &attempt{call: c, held: h, last: n == maxAttempts}
		done, retry, x := a.run(deliver)
		if done {
			return nil
		}
		if !retry || a.last || c.timeLeft() <= 0 || !c.body.replayable() || !b.spend() {
			return x
		}
		c.avoidTargets = append(c.avoidTargets, h.Grant.Target)
		c.handler.Journal(journal.Event{Kind: journal.RequestRetried, Subject: c.id, Cause: x.Error(), Evidence: h.Grant.Target})
	}
}

// acquire requests a slot on a target from the service's leaseholder.
func (c *call) acquire() (*shardclient.HeldGrant, *refusal.Refusal) {
	if c.context.Err() != nil {
		return nil, refusal.New(refusal.TimedOut, "the request was given up")
	}
	left := c.timeLeft()
	if left <= 0 {
		return nil, refusal.New(refusal.TimedOut, "the deadline has passed")
	}
	return c.handler.Ledger.Acquire(slots.Request{
		Service: c.service.Name, Account: c.account, RequestID: c.id, Fingerprint: c.fingerprint,
		Wait: min(c.service.QueueWait, left), Deadline: left, Idempotent: c.idempotent(),
		Avoid: c.avoidTargets, Reports: c.reports,
	}, c.cancel)
}

// run makes one attempt. done reports whether a response was sent to the caller,
// retry whether the outcome of this attempt allows another one.
func (a *attempt) run(deliver deliverFunc) (done, retry bool, x *refusal.Refusal) {
	c := a.call
	if c.context.Err() != nil {
		a.held.Done(slots.Unused, 0)
		return false, false, refusal.New(refusal.TimedOut, "the request was given up")
	}
	if x := c.useToken(); x != nil {
		a.held.Done(slots.Unused, 0)
		return false, false, x
	}
	a.exchange = &forward.Exchange{
		Pool: c.handler.Pool, Addr: a.held.Grant.Addr, Request: c.targetRequest(),
		Once: !c.idempotent(), Fresh: len(c.avoidTargets) > 0, Deadline: c.deadline,
	}
	if c.idempotent() && !a.last {
		a.exchange.FirstByte = c.handler.estimate(c.service.Name).timeout()
	}
	r, err := a.exchange.Run(c.context)
	if err != nil {
		return a.handleFailure(err.(*forward.Failure))
	}
	if a.shed(r) {
		return a.handleShed(r)
	}
	return a.handleResponse(r, deliver)
}

// handleFailure ends an attempt that got no response.
func (a *attempt) handleFailure(f *forward.Failure) (done, retry bool, x *refusal.Refusal) {
	c := a.call
	if f.Outcome == slots.SilentConnection {
		c.handler.Pool.Drop(a.held.Grant.Addr)
		c.handler.Journal(journal.Event{Kind: journal.ConnectionSilent, Subject: a.held.Grant.Target, Cause: f.Error(), Evidence: c.id})
	}
	if f.NotRun {
		a.exchange.Close()
		a.held.Done(f.Outcome, 0)
		return false, true, refusal.New(refusal.TargetFailed, f.Error())
	}
	c.mayHaveRun = true
	if f.Outcome == slots.Died {
		// The connection is closed: there is no cancellation to wait for.
		a.exchange.Close()
		c.reports = append(c.reports, a.held.Done(f.Outcome, 0))
	} else {
		a.abandon(f.Outcome)
	}
	code := refusal.TargetFailed
	if !c.idempotent() {
		code = refusal.OutcomeUnknown
	}
	return false, c.idempotent() && f.Outcome != slots.Cancelled, refusal.NewMaybeRun(code, f.Error())
}

// abandon cancels the exchange. It releases the slot in the background, once
// the target has confirmed the cancellation or the deadline has passed.
func (a *attempt) abandon(o slots.Outcome) {
	e := &abandonedAttempt{a.exchange, a.held, o}
	go e.run()
}

// abandonedAttempt waits for the end of a cancelled exchange and releases its
// slot.
type abandonedAttempt struct {
	exchange *forward.Exchange
	held     *shardclient.HeldGrant
	outcome  slots.Outcome
}

func (e *abandonedAttempt) run() {
	e.exchange.Abandon()
	e.held.Done(e.outcome, 0)
}

// shed reports whether the target rejected the request because of overload.
func (a *attempt) shed(r *http.Response) bool {
	return r.StatusCode == http.StatusServiceUnavailable || r.Header.Get(NotRunHeader) == "true"
}

// handleShed ends an attempt that the target rejected because of overload.
func (a *attempt) handleShed(r *http.Response) (done, retry bool, x *refusal.Refusal) {
	notRun := r.Header.Get(NotRunHeader) == "true"
	if !notRun {
		a.call.mayHaveRun = true
	}
	a.exchange.Close()
	a.held.Done(slots.Shed, 0)
	f := refusal.New(refusal.NoCapacity, "the target refused for overload")
	if !notRun && !a.call.idempotent() {
		f.Code = refusal.OutcomeUnknown
	}
	f.RetryAfter = clock.Second
	return false, notRun || a.call.idempotent(), f
}

// handleResponse reads the response and sends it to the caller. An idempotent
// request with a 5xx response is retried instead, if this is not the last attempt
// and the retry budget allows it.
func (a *attempt) handleResponse(r *http.Response, deliver deliverFunc) (done, retry bool, x *refusal.Refusal) {
	c := a.call
	c.mayHaveRun = true
	o := slots.OK
	if r.StatusCode >= 500 {
		o = slots.Failed
	}
	if o == slots.Failed && c.idempotent() && !a.last && c.handler.budget(c.service.Name).available() {
		a.exchange.Close()
		a.held.Done(o, a.exchange.FirstByteAfter())
		return false, true, refusal.NewMaybeRun(refusal.TargetFailed, "status "+strconv.Itoa(r.StatusCode))
	}
	w := &targetResponse{response: r}
	if err := w.readHead(); err != nil {
		a.abandon(a.truncationOutcome())
		return false, c.idempotent() && c.context.Err() == nil, refusal.NewMaybeRun(a.truncationCode(), "the answer was cut: "+err.Error())
	}
	c.handler.estimate(c.service.Name).sample(a.exchange.FirstByteAfter())
	a.finish(w, o, deliver)
	return true, false, nil
}

// truncationOutcome is the outcome of an attempt whose response ended early.
func (a *attempt) truncationOutcome() slots.Outcome {
	if a.call.context.Err() != nil {
		return slots.Cancelled
	}
	return slots.Cut
}

// truncationCode is the refusal code for a response that ended early.
func (a *attempt) truncationCode() refusal.Code {
	if a.call.idempotent() {
		return refusal.TargetFailed
	}
	return refusal.OutcomeUnknown
}

// finish sends the response to the caller and releases the slot. The slot of a
// response that is completely read is released before it is sent.
func (a *attempt) finish(w *targetResponse, o slots.Outcome, deliver deliverFunc) {
	if w.complete {
		a.exchange.Finish()
		a.held.Done(o, a.exchange.FirstByteAfter())
		deliver(a, w.response)
		return
	}
	if deliver(a, w.response) {
		a.exchange.Finish()
		a.held.Done(o, a.exchange.FirstByteAfter())
		return
	}
	a.abandon(a.truncationOutcome())
	// Aborting closes the connection before the end of the response, so that
	// the caller can detect the truncation.
	panic(http.ErrAbortHandler)
}
