package edge

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/carawayrack/carawayrack/balance"
	"github.com/carawayrack/carawayrack/clock"
	"github.com/carawayrack/carawayrack/forward"
	"github.com/carawayrack/carawayrack/slots"
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
	// overtaken is set before an attempt is given up for another one, overdue
	// once it has taken so long that this tells against its target.
	overtaken, overdue atomic.Bool
	// Without a failure there is a whole answer; again tells whether another
	// target may be tried.
	failure *refusal
	again   bool
}

// reason is why an attempt did not settle the call.
func (a *attempt) reason() *refusal {
	if a.failure != nil {
		return a.failure
	}
	return &refusal{TargetFailed, http.StatusBadGateway, 0, "status " + strconv.Itoa(a.response.StatusCode)}
}

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
		o := balance.Unreached
		if f.Outcome == slots.TimedOut {
			o = balance.Silent
		}
		a.end(o)
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
	o := balance.Broken
	if errors.Is(f.Cause, syscall.ETIMEDOUT) {
		o = balance.Silent
	}
	a.end(o)
	return &refusal{TargetFailed, http.StatusBadGateway, 0, f.Error()}, c.idempotent()
}

// givenUp is the outcome of an attempt that was cancelled.
func (a *attempt) givenUp() balance.Outcome {
	if a.overtaken.Load() && a.overdue.Load() {
		return balance.TimedOut
	}
	return balance.Cancelled
}

// InvalidResponse is the error of a response that is not the target's response to the
// request.
type InvalidResponse struct{ Problem string }

// Error describes the failure.
func (e InvalidResponse) Error() string { return "garbled answer: " + e.Problem }

// read reads the answer whole and judges it.
func (a *attempt) read() (*refusal, bool) {
	c := a.call
	b, err := io.ReadAll(io.LimitReader(a.response.Body, bufferedAnswer))
	if err == nil {
		err = a.check()
	}
	if err == nil && len(b) == bufferedAnswer {
		err = InvalidResponse{"larger than " + strconv.Itoa(bufferedAnswer-1) + " bytes"}
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
	a.end(o)
	return nil, o == balance.Failed && c.idempotent()
}

// check finds out whether the answer is one of the target to this request.
func (a *attempt) check() error {
	h := a.response.Header
	n := a.call.host.Headers
	ok := a.response.StatusCode >= 200 && a.response.StatusCode < 300
	switch {
	case h.Get("Content-Encoding") != "":
		return InvalidResponse{"encoded as " + h.Get("Content-Encoding")}
	case ok && h.Get(n.Seal) == "":
		return InvalidResponse{"success without a seal"}
	case ok && h.Get(n.RequestID) != a.call.id:
		return InvalidResponse{"success without the request's ID"}
	case promises(a.response.StatusCode) && !a.call.idempotent():
		return InvalidResponse{"status " + strconv.Itoa(a.response.StatusCode) + " of a target that ran the request"}
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
		if n, err := strconv.ParseInt(a.response.Header.Get(c.host.Headers.WarmUp), 10, 64); err == nil {
			r.Cold = clock.Millis(n)
		}
	}
	switch o {
	case balance.Served:
		c.host.view.timed(c.route.Name, r.Took)
		c.host.suspects.answered(c)
	case balance.Failed:
		c.host.suspects.answered(c)
	case balance.Broken:
		c.host.suspects.broke(c.fingerprint(), a.choice.ID, a.choice.Addr)
	}
	turned := c.host.view.done(now, c.service, a.choice.ID, r)
	c.host.metrics.attempt(c.service, o)
	if o == balance.Served && !a.choice.Probe {
		c.host.gossip.changed()
	} else {
		c.host.gossip.alarm(c.service, a.choice.ID, turned)
	}
	if o != balance.Served {
		c.host.Log.Info("attempt", zap.String("request", c.id), zap.String("target", a.choice.ID),
			zap.String("service", c.service), zap.String("outcome", o.String()), zap.Int64("tookMs", int64(r.Took)),
			zap.String("zone", a.choice.Zone), zap.Bool("own", a.choice.Owned), zap.Bool("probe", a.choice.Probe), zap.Int("busy", a.choice.InFlight), zap.Int64("ageMs", int64(a.choice.SinceSuccess)))
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
