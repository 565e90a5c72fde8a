package edge

import (
	"context"
	"io"
	"net/http"
	"os"
	"strconv"
	"sync/atomic"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/carawayrack/carawayrack/balance"
	"github.com/carawayrack/carawayrack/buffer"
	"github.com/carawayrack/carawayrack/clock"
	"github.com/carawayrack/carawayrack/pipeline"
	"github.com/carawayrack/carawayrack/readahead"
)

const (
	// streamSize is the number of bytes of a response that are read before the caller
	// gets any of them, so that another target can be tried if the response breaks off
	// before. Larger responses are streamed. On a link of 6.2 Mbit/s this much takes
	// 0.34 s, which is within the objectives of 1 s and more.
	streamSize = 256 << 10
	// maxReadAhead is the number of bytes that are read ahead for the responses on one
	// connection of a caller, and maxAheadShare the share of the budget, if that is less:
	// a few slow callers must not use up the budget. An entry host with 184 MB has 23 MB
	// for responses and so 2.9 MB for each connection, which is what its link of
	// 6.2 Mbit/s carries in 3.7 s, nearly the time limit of a download (4 s).
	maxReadAhead  = 4 << 20
	maxAheadShare = 0.125
	// blameTolerance is the time that a target must tolerate that its response is not
	// read. If the host did not read for longer and the response breaks off, the target
	// is not to blame. Targets are known to abort after some seconds; less than one
	// leaves room for stricter ones.
	blameTolerance = 500 * clock.Millis(1)
)

// streamBudget is the memory for what is read ahead for one connection of a caller.
type streamBudget struct {
	// all is the budget of the host, limit the part of it in bytes that the connection
	// may take. used is the number of bytes that its responses have taken.
	all   *buffer.Budget
	limit int64
	used  *atomic.Int64
}

// take reserves n bytes. If the budget of the host is used up, it closes a connection
// whose caller has not read for a while: streams without memory hold the slots of their
// targets, which other callers need.
func (b *streamBudget) take(n int) bool {
	own := b.used.Add(int64(n)) <= b.limit
	if own && b.all.Take(n) {
		return true
	}
	b.used.Add(-int64(n))
	if own && b.all.Reclaim != nil {
		b.all.Reclaim()
	}
	return false
}

func (b *streamBudget) give(n int) {
	b.used.Add(-int64(n))
	b.all.Give(n)
}

// newStream makes the attempt's response a stream that begins with b. What it holds is
// given back when the context of the attempt ends.
func (a *attempt) newStream(b buffer.Body) {
	c := a.call
	m := &streamBudget{all: c.host.responseBuffers, used: pipeline.ReadAhead(c.context)}
	m.limit = min(maxReadAhead, int64(float64(m.all.Limit)*maxAheadShare))
	m.used.Add(int64(b.Reserved))
	a.stream = &readahead.Buffer{
		Now: c.host.Clock.Now, Deadline: c.deadline + responseMargin, Take: m.take, Give: m.give,
	}
	a.stream.Run(b.Bytes, b.Reserved, b.Whole)
	a.length = a.response.ContentLength
	if b.Whole {
		a.length = int64(len(b.Bytes))
	}
	context.AfterFunc(a.context, a.stream.Close)
}

// pausedByHost returns how long the host did not read the response because it had no
// memory for it, which is not the target's time.
func (a *attempt) pausedByHost() clock.Millis {
	if a.stream == nil {
		return 0
	}
	sum, _ := a.stream.Paused()
	return sum
}

// readAhead reads the rest of a streamed response and finishes the attempt. That frees the
// target's slot, even if the caller has not read the response yet.
func (a *attempt) readAhead() {
	err := a.stream.Fill(a.response.Body)
	_, unread := a.stream.Paused()
	o := balance.Served
	switch {
	case err == nil && a.response.StatusCode >= http.StatusInternalServerError:
		o = a.failedOutcome(balance.Failed)
	case err == nil:
	case a.context.Err() != nil:
		o = a.cancelOutcome()
	case unread >= blameTolerance:
		// The caller did not read in time. The target may have given up for that reason.
		o = balance.Cancelled
	case errors.Is(err, os.ErrDeadlineExceeded):
		o = balance.TimedOut
	default:
		o = a.failedOutcome(balance.Broken)
	}
	a.finish(o)
}

// streamResponse passes a streamed response on to the caller. If it breaks off, the caller
// sees it as truncated, or gets a refusal if it has got nothing yet.
func (c *call) streamResponse(a *attempt) {
	defer a.cancel()
	err := pipeline.AwaitTurn(c.context, c.w)
	if err != nil {
		c.refuse(&refusal{CallerLeft, http.StatusBadGateway, 0, "before the start of a response"})
		return
	}
	if err := a.stream.Failed(); err != nil {
		<-a.ended
		c.refuse(streamRefusal(err))
		return
	}
	if x := c.cannotDeliver(a); x != nil {
		c.refuse(x)
		return
	}
	copyHeader(c.w.Header(), a.response.Header)
	if a.length >= 0 {
		c.w.Header().Set("Content-Length", strconv.FormatInt(a.length, 10))
	}
	c.host.metrics.streams.Add(c.service+".started", 1)
	c.w.WriteHeader(a.response.StatusCode)
	sent, err := c.pass(a)
	if err != nil {
		c.truncated(a, sent, err)
		panic(http.ErrAbortHandler)
	}
	c.countResponse(a)
}

// streamRefusal returns the refusal for a response that broke off before the caller got
// any of it.
func streamRefusal(err error) *refusal {
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return &refusal{OutOfTime, http.StatusGatewayTimeout, 0, "the response was not read to its end in time"}
	}
	return &refusal{TargetFailed, http.StatusBadGateway, 0, err.Error()}
}

// notSent is the error of a response that the caller did not accept.
type notSent struct{ cause error }

// Error describes the error.
func (e notSent) Error() string { return "the caller does not read: " + e.cause.Error() }

// pass writes the body to the caller as fast as the caller reads, and returns the number of
// bytes that were written. The error is notSent, or that of the body. A target that
// responds early may still read the body of the request, which ends with the call or when
// the caller has got the whole response: if that body was not buffered, the last part of
// the response waits until the attempt has ended.
func (c *call) pass(a *attempt) (sent int, err error) {
	if err := http.NewResponseController(c.w).Flush(); err != nil {
		return 0, notSent{err}
	}
	var due []byte
	for {
		p, err := a.stream.Next()
		if err != nil {
			// The attempt is over, and must not count as cancelled when the call ends.
			<-a.ended
		}
		whole := errors.Is(err, io.EOF)
		if err != nil && !whole {
			return sent, err
		}
		if c.streamed {
			due, p = p, due
		}
		n, err := c.w.Write(p)
		sent += n
		if err != nil {
			return sent, notSent{err}
		}
		if whole {
			return sent, nil
		}
	}
}

// truncated counts and logs that the caller has got a part of a response.
func (c *call) truncated(a *attempt, sent int, err error) {
	cause := "target"
	switch {
	case c.context.Err() != nil || errors.As(err, &notSent{}):
		cause = "caller"
	case errors.Is(err, os.ErrDeadlineExceeded):
		cause = "deadline"
	}
	if cause != "caller" {
		c.countEnd(false)
	}
	sum, longest := a.stream.Paused()
	c.host.metrics.streams.Add(c.service+"."+cause, 1)
	c.host.Log.Info("truncated", zap.String("request", c.id), zap.String("target", a.choice.ID), zap.String("service", c.service),
		zap.String("by", cause), zap.String("cause", err.Error()), zap.Int("sentBytes", sent), zap.Int64("tookMs", int64(c.host.Clock.Now()-c.start)),
		zap.Int64("pausedMs", int64(sum)), zap.Int64("longestPauseMs", int64(longest)))
}
