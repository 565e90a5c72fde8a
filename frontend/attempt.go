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
	maxAttempts  = 3
	firstByteMin = 500 * clock.Millis(1)
	// firstByteFactor times the usual wait for an answer, a request that may
	// be repeated is given up on one target and sent to another.
	firstByteFactor = 8
)

// attempt is one try of a call on one target.
type attempt struct {
	call     *call
	held     *shardclient.HeldGrant
	exchange *forward.Exchange
	last     bool
}

// deliverFunc passes a whole answer on; it reports whether the call is over.
type deliverFunc func(a *attempt, r *http.Response) bool

// attempts tries the request on targets until it is answered. The refusal is
// nil if the caller has an answer.
func (c *call) attempts(deliver deliverFunc) *refusal.Refusal {
	b := c.front.budget(c.service.Name)
	b.first(c.service.RetryPercent)
	for n := 1; ; n++ {
		h, x := c.acquire()
		if x != nil {
			return x
		}
		a := &attempt{call: c, held: h, last: n == maxAttempts}
		done, again, x := a.run(deliver)
		if done {
			return nil
		}
		if !again || a.last || c.left() <= 0 || !c.body.repeatable() || !b.spend() {
			return x
		}
		c.avoid = append(c.avoid, h.Grant.Target)
		c.front.Journal(journal.Event{Kind: journal.RequestRetried, Subject: c.id, Cause: x.Error(), Evidence: h.Grant.Target})
	}
}

func (c *call) acquire() (*shardclient.HeldGrant, *refusal.Refusal) {
	if c.context.Err() != nil {
		return nil, refusal.New(refusal.TimedOut, "the request was given up")
	}
	left := c.left()
	if left <= 0 {
		return nil, refusal.New(refusal.TimedOut, "the deadline has passed")
	}
	return c.front.Ledger.Acquire(slots.Request{
		Service: c.service.Name, Account: c.account, RequestID: c.id, Fingerprint: c.fingerprint,
		Wait: min(c.service.QueueWait, left), Deadline: left, Idempotent: c.idempotent(),
		Avoid: c.avoid, Reports: c.reports,
	}, c.cancel)
}

// run tries once. again tells whether another try is allowed by what is known
// of this one.
func (a *attempt) run(deliver deliverFunc) (done, again bool, x *refusal.Refusal) {
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
		Pool: c.front.Pool, Addr: a.held.Grant.Addr, Request: c.outgoing(),
		Once: !c.idempotent(), Fresh: len(c.avoid) > 0, Deadline: c.deadline,
	}
	if c.idempotent() && !a.last {
		a.exchange.FirstByte = c.front.speed(c.service.Name).patience()
	}
	r, err := a.exchange.Run(c.context)
	if err != nil {
		return a.failed(err.(*forward.Failure))
	}
	if a.shed(r) {
		return a.refused(r)
	}
	return a.answer(r, deliver)
}

// failed ends a try without answer.
func (a *attempt) failed(f *forward.Failure) (done, again bool, x *refusal.Refusal) {
	c := a.call
	if f.Outcome == slots.SilentConnection {
		c.front.Pool.Drop(a.held.Grant.Addr)
		c.front.Journal(journal.Event{Kind: journal.ConnectionSilent, Subject: a.held.Grant.Target, Cause: f.Error(), Evidence: c.id})
	}
	if f.NotRun {
		a.exchange.Close()
		a.held.Done(f.Outcome, 0)
		return false, true, refusal.New(refusal.TargetFailed, f.Error())
	}
	c.mayHaveRun = true
	if f.Outcome == slots.Died {
		// The connection has ended: there is nothing to wait for.
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

// abandon frees the slot once the target has confirmed the cancellation.
func (a *attempt) abandon(o slots.Outcome) {
	e := &ender{a.exchange, a.held, o}
	go e.run()
}

// ender waits for the end of an abandoned exchange.
type ender struct {
	exchange *forward.Exchange
	held     *shardclient.HeldGrant
	outcome  slots.Outcome
}

func (e *ender) run() {
	e.exchange.Abandon()
	e.held.Done(e.outcome, 0)
}

// shed reports whether the target refused for overload.
func (a *attempt) shed(r *http.Response) bool {
	return r.StatusCode == http.StatusServiceUnavailable || r.Header.Get(NotRunHeader) == "true"
}

// refused ends a try that the target refused.
func (a *attempt) refused(r *http.Response) (done, again bool, x *refusal.Refusal) {
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

// answer reads the answer and passes it on.
func (a *attempt) answer(r *http.Response, deliver deliverFunc) (done, again bool, x *refusal.Refusal) {
	c := a.call
	c.mayHaveRun = true
	o := slots.OK
	if r.StatusCode >= 500 {
		o = slots.Failed
	}
	if o == slots.Failed && c.idempotent() && !a.last && c.front.budget(c.service.Name).some() {
		a.exchange.Close()
		a.held.Done(o, a.exchange.FirstByteAfter())
		return false, true, refusal.NewMaybeRun(refusal.TargetFailed, "status "+strconv.Itoa(r.StatusCode))
	}
	w := &answer{response: r}
	if err := w.readHead(); err != nil {
		a.abandon(a.cutOutcome())
		return false, c.idempotent() && c.context.Err() == nil, refusal.NewMaybeRun(a.cutCode(), "the answer was cut: "+err.Error())
	}
	c.front.speed(c.service.Name).sample(a.exchange.FirstByteAfter())
	a.finish(w, o, deliver)
	return true, false, nil
}

func (a *attempt) cutOutcome() slots.Outcome {
	if a.call.context.Err() != nil {
		return slots.Cancelled
	}
	return slots.Cut
}

func (a *attempt) cutCode() refusal.Code {
	if a.call.idempotent() {
		return refusal.TargetFailed
	}
	return refusal.OutcomeUnknown
}

// finish passes the answer on and frees the slot.
func (a *attempt) finish(w *answer, o slots.Outcome, deliver deliverFunc) {
	if w.whole {
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
	a.abandon(a.cutOutcome())
	// The caller sees the cut: the connection ends without the answer's end.
	panic(http.ErrAbortHandler)
}
