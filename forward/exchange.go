package forward

import (
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/carawayrack/carawayrack/clock"
	"github.com/carawayrack/carawayrack/slots"
)

// Exchange is one attempt to run a request on one target.
type Exchange struct {
	Pool *Pool
	Addr string
	// Request is sent unchanged. Its body is read once.
	Request *http.Request
	// Once is true for requests that must not be sent twice. They use a reused
	// connection only if it was idle for at most Pool.FreshIdle.
	Once bool
	// Fresh requires a new connection.
	Fresh bool
	// FirstByte bounds the time from the end of the request to the start of the
	// response. Zero means no bound but Deadline.
	FirstByte clock.Millis
	// Deadline bounds the whole exchange.
	Deadline time.Time
	// Mismatched reports whether a response belongs to an earlier request on the
	// connection. Such a response is skipped. It may be nil.
	Mismatched func(*http.Response) bool
	// Check, if set, is called once there is a connection, right before the
	// request is sent. After an error nothing is sent; the error is the cause of
	// the failure.
	Check func() error
	// Unframed accepts responses that end when the connection is closed.
	Unframed bool

	conn     *Conn
	response *http.Response
	// sent is closed once the request has been sent or sendError is set.
	sent      chan struct{}
	sendError error
	// body is the body of Request, nil if it has none.
	body *requestBody
	// sentAt is the time at which the whole request had been sent, in nanoseconds
	// since start.
	sentAt         atomic.Int64
	start          time.Time
	firstByteAfter time.Duration
	context        context.Context
	stopInterrupt  func() bool

	mu        sync.Mutex
	responded bool
}

// Failure is the error of an exchange without a valid start of a response.
type Failure struct {
	Outcome slots.Outcome
	// NotRun is true if nothing was sent to the target.
	NotRun bool
	Cause  error
}

// Error describes the failure.
func (f *Failure) Error() string { return string(f.Outcome) + ": " + f.Cause.Error() }

// NoLength is the cause of rejecting a response without length or chunks: its
// regular end cannot be distinguished from a broken connection.
type NoLength struct{}

// Error describes the cause.
func (NoLength) Error() string { return "the answer has neither a length nor chunks" }

// Run sends the request and returns the start of the response. The error is a
// *Failure. Cancelling ctx ends the exchange.
func (e *Exchange) Run(ctx context.Context) (*http.Response, error) {
	conn, err := e.Pool.Get(e.Addr, e.Once, e.Fresh)
	if err != nil {
		return nil, &Failure{Outcome: dialOutcome(err), NotRun: true, Cause: err}
	}
	if e.Check != nil {
		if err := e.Check(); err != nil {
			e.Pool.put(conn)
			return nil, &Failure{Outcome: slots.Cancelled, NotRun: true, Cause: err}
		}
	}
	e.conn = conn
	_ = conn.SetDeadline(e.Deadline)
	e.sent = make(chan struct{})
	e.start = time.Now()
	e.context = ctx
	if e.Request.Body != nil {
		e.body = &requestBody{ReadCloser: e.Request.Body}
		e.Request.Body = e.body
	}
	e.stopInterrupt = context.AfterFunc(ctx, e.interrupt)
	if e.Request.ContentLength >= 0 && e.Request.ContentLength <= inlineBody {
		e.run()
	} else {
		go e.run()
	}
	r, err := e.readResponse()
	if err != nil {
		return nil, e.classify(ctx, err)
	}
	e.response = r
	if at := e.sentAt.Load(); at > 0 {
		e.firstByteAfter = time.Since(e.start) - time.Duration(at)
	}
	return r, nil
}

const (
	// inlineBody is the body size in bytes up to which a request fits the send
	// buffer, so that writing it does not wait for the target.
	inlineBody = 8 << 10
	// maxMismatched is the number of responses to earlier requests that are
	// skipped, maxMismatchedBody the number of bytes read from each.
	maxMismatched     = 3
	maxMismatchedBody = 1 << 20
)

// run writes the request and then starts the timeout for the first byte.
func (e *Exchange) run() {
	err := e.Request.Write(e.conn)
	if e.body != nil && e.body.err() != nil {
		// The target would wait for the rest.
		e.interrupt()
	}
	e.sentAt.Store(int64(time.Since(e.start)))
	if err == nil && e.FirstByte > 0 {
		e.setReadDeadline(e.firstByteDeadline())
	}
	e.sendError = err
	close(e.sent)
}

func (e *Exchange) firstByteDeadline() time.Time {
	t := time.Now().Add(e.FirstByte.Duration())
	if t.After(e.Deadline) {
		return e.Deadline
	}
	return t
}

// setReadDeadline sets the read deadline to t. It has no effect if the exchange
// was cancelled, or if the response has started and t is not e.Deadline.
func (e *Exchange) setReadDeadline(t time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.responded && !t.Equal(e.Deadline) {
		return
	}
	_ = e.conn.SetReadDeadline(t)
	if e.context.Err() != nil {
		e.interrupt()
	}
}

// interrupt ends blocked reads and writes by a deadline in the past.
func (e *Exchange) interrupt() { _ = e.conn.SetDeadline(time.Unix(1, 0)) }

func (e *Exchange) readResponse() (*http.Response, error) {
	skipped := 0
	e.conn.headLeft = maxHead
	for {
		r, err := e.conn.readResponse(e.Request)
		if err != nil {
			return nil, err
		}
		if interim(r.StatusCode) {
			continue
		}
		if err := checkStatus(r); err != nil {
			return nil, err
		}
		if e.Mismatched != nil && e.Mismatched(r) {
			if skipped++; skipped > maxMismatched {
				return nil, MismatchedResponse{}
			}
			if err := skipBody(r); err != nil {
				return nil, err
			}
			e.conn.headLeft = maxHead
			continue
		}
		e.mu.Lock()
		e.responded = true
		e.mu.Unlock()
		e.setReadDeadline(e.Deadline)
		err = checkLength(r)
		if err != nil && e.Unframed {
			r.Body = &closeDelimited{r.Body, e}
			err = nil
		}
		r.Body = &responseBody{r.Body, e}
		return r, err
	}
}

// skipBody reads the body of a response to another request to its end. A body
// that is too large is not skipped: what follows on the connection would be the
// rest of it.
func skipBody(r *http.Response) error {
	n, err := io.Copy(io.Discard, io.LimitReader(r.Body, maxMismatchedBody+1))
	if err == nil && n > maxMismatchedBody {
		return MismatchedResponse{}
	}
	return err
}

// MismatchedResponse is the cause of closing a connection that carries too many
// responses to other requests, or too much of them.
type MismatchedResponse struct{}

// Error describes the cause.
func (MismatchedResponse) Error() string { return "the connection carries answers to other requests" }

// checkLength returns NoLength for a response that only the end of the
// connection terminates.
func checkLength(r *http.Response) error {
	chunked := len(r.TransferEncoding) > 0 && r.TransferEncoding[0] == "chunked"
	if r.ContentLength < 0 && !chunked {
		return NoLength{}
	}
	return nil
}

// FirstByteAfter returns the time from the end of the request to the start of the
// response, zero if the response started first.
func (e *Exchange) FirstByteAfter() clock.Millis {
	return clock.FromDuration(e.firstByteAfter)
}

// classify returns the failure of an exchange without a response.
func (e *Exchange) classify(ctx context.Context, err error) *Failure {
	f := &Failure{Cause: err, NotRun: e.conn.written.Load() == 0}
	if e.body != nil && e.body.err() != nil {
		f.Cause = BodyFailed{e.body.err()}
	}
	switch {
	case ctx.Err() != nil, errors.As(f.Cause, &BodyFailed{}):
		f.Outcome = slots.Cancelled
	case errors.Is(err, os.ErrDeadlineExceeded) && e.conn.reused:
		f.Outcome = slots.SilentConnection
	case errors.Is(err, os.ErrDeadlineExceeded):
		f.Outcome = slots.TimedOut
	default:
		f.Outcome = slots.Died
	}
	return f
}

func dialOutcome(err error) slots.Outcome {
	var t net.Error
	if errors.As(err, &t) && t.Timeout() {
		return slots.TimedOut
	}
	return slots.Refused
}

// Finish ends an exchange whose response was read to its end. If the target
// responded early and reads on, it waits until the rest of the request has been sent,
// also if the context has been cancelled since. It returns the connection to the pool
// if the whole request was sent, the target keeps the connection open and no data is
// left on it.
func (e *Exchange) Finish() {
	e.stopInterrupt()
	sent, err := e.awaitSent(context.Background())
	if sent && err == nil && !e.response.Close && e.conn.reader.Buffered() == 0 {
		_ = e.conn.SetDeadline(time.Time{})
		e.conn.idleLimit = keepAlive(e.response)
		e.Pool.put(e.conn)
		return
	}
	_ = e.conn.Close()
}

// Abandon cancels an exchange. It closes the sending side of the connection and
// waits until the target closes the other side, which confirms the
// cancellation, or until the deadline.
func (e *Exchange) Abandon() {
	if e.conn == nil {
		return
	}
	e.stopInterrupt()
	if t, ok := e.conn.Conn.(*net.TCPConn); ok {
		_ = t.CloseWrite()
	}
	_ = e.conn.SetDeadline(e.Deadline)
	_, _ = io.Copy(io.Discard, e.conn.reader)
	_ = e.conn.Close()
}

// Close cancels an exchange without waiting for the target.
func (e *Exchange) Close() {
	if e.conn == nil {
		return
	}
	e.stopInterrupt()
	_ = e.conn.Close()
}

// keepAliveMargin is how much earlier than the target this side stops using an
// idle connection.
const keepAliveMargin = 1 * clock.Second

// keepAlive returns how long an idle connection may be reused according to the
// header Keep-Alive: its timeout less a margin, but at least half the margin.
// It returns zero if there is no valid timeout.
func keepAlive(r *http.Response) clock.Millis {
	for _, f := range strings.Split(r.Header.Get("Keep-Alive"), ",") {
		k, v, _ := strings.Cut(strings.TrimSpace(f), "=")
		n, err := strconv.Atoi(v)
		if strings.EqualFold(k, "timeout") && err == nil && n > 0 {
			return max(clock.Millis(n)*clock.Second-keepAliveMargin, keepAliveMargin/2)
		}
	}
	return 0
}
