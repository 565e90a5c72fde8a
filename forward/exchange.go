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
	// Request is sent as it is; its body is read once.
	Request *http.Request
	// Once is set for requests that must not be sent twice.
	Once bool
	// Fresh asks for a new connection.
	Fresh bool
	// FirstByte bounds the time from the end of the request to the answer;
	// Deadline is the end of the whole exchange.
	FirstByte clock.Millis
	Deadline  time.Time
	// Mismatched reports whether an answer belongs to an earlier request on the
	// connection: it is skipped. It may be nil.
	Mismatched func(*http.Response) bool
	// Unframed accepts answers that end with their connection.
	Unframed bool

	conn      *Conn
	response  *http.Response
	writeDone chan error
	// sentAt is when the request had been sent, in nanoseconds since start.
	sentAt         atomic.Int64
	start          time.Time
	firstByteAfter time.Duration
	context        context.Context
	stopInterrupt  func() bool

	mu        sync.Mutex
	responded bool
}

// Failure is the error of an exchange without a whole answer.
type Failure struct {
	Outcome slots.Outcome
	// NotRun is true if nothing was sent to the target.
	NotRun bool
	Cause  error
}

// Error describes the failure.
func (f *Failure) Error() string { return string(f.Outcome) + ": " + f.Cause.Error() }

// NoLength is the cause of refusing an answer whose end cannot be told from a
// cut.
type NoLength struct{}

// Error describes the cause.
func (NoLength) Error() string { return "the answer has neither a length nor chunks" }

// Run sends the request and returns the start of the answer. The error is a
// *Failure. Cancelling c gives the exchange up.
func (e *Exchange) Run(ctx context.Context) (*http.Response, error) {
	conn, err := e.Pool.Get(e.Addr, e.Once, e.Fresh)
	if err != nil {
		return nil, &Failure{Outcome: dialOutcome(err), NotRun: true, Cause: err}
	}
	e.conn = conn
	_ = conn.SetDeadline(e.Deadline)
	e.writeDone = make(chan error, 1)
	e.start = time.Now()
	e.context = ctx
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
	// inlineBody is the size up to which a request fits the send buffer, so
	// that writing it does not wait for the target.
	inlineBody = 8 << 10
	// maxMismatched and maxForeignBody bound the answers that are skipped.
	maxMismatched     = 3
	maxMismatchedBody = 1 << 20
)

// run writes the request.
func (e *Exchange) run() {
	err := e.Request.Write(e.conn)
	e.sentAt.Store(int64(time.Since(e.start)))
	if err == nil && e.FirstByte > 0 {
		e.setReadDeadline(e.firstByteDeadline())
	}
	e.writeDone <- err
}

func (e *Exchange) firstByteDeadline() time.Time {
	t := time.Now().Add(e.FirstByte.Duration())
	if t.After(e.Deadline) {
		return e.Deadline
	}
	return t
}

// setReadDeadline sets the read deadline, unless the exchange is given up or the
// answer has come.
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

// interrupt wakes a read that waits.
func (e *Exchange) interrupt() { _ = e.conn.SetDeadline(time.Unix(1, 0)) }

func (e *Exchange) readResponse() (*http.Response, error) {
	skipped := 0
	for {
		r, err := http.ReadResponse(e.conn.reader, e.Request)
		if err != nil {
			return nil, err
		}
		if r.StatusCode < 200 && r.StatusCode != http.StatusSwitchingProtocols {
			continue
		}
		if e.Mismatched != nil && e.Mismatched(r) {
			if skipped++; skipped > maxMismatched {
				return nil, MismatchedResponse{}
			}
			if _, err := io.Copy(io.Discard, io.LimitReader(r.Body, maxMismatchedBody)); err != nil {
				return nil, err
			}
			continue
		}
		e.mu.Lock()
		e.responded = true
		e.mu.Unlock()
		e.setReadDeadline(e.Deadline)
		if e.Unframed {
			return r, nil
		}
		return r, checkLength(r)
	}
}

// MismatchedResponse is the cause of giving up a connection that carries answers to
// other requests.
type MismatchedResponse struct{}

// Error describes the cause.
func (MismatchedResponse) Error() string { return "the connection carries answers to other requests" }

func checkLength(r *http.Response) error {
	chunked := len(r.TransferEncoding) > 0 && r.TransferEncoding[0] == "chunked"
	if r.ContentLength < 0 && !chunked {
		return NoLength{}
	}
	return nil
}

// FirstByteAfter returns the time from the end of the request to the answer.
func (e *Exchange) FirstByteAfter() clock.Millis {
	return clock.FromDuration(e.firstByteAfter)
}

// classify classifies an exchange without answer.
func (e *Exchange) classify(ctx context.Context, err error) *Failure {
	f := &Failure{Cause: err, NotRun: e.conn.written.Load() == 0}
	switch {
	case ctx.Err() != nil:
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

// Finish ends an exchange whose answer was read to its end, and keeps the
// connection if nothing is left on it.
func (e *Exchange) Finish() {
	e.stopInterrupt()
	select {
	case err := <-e.writeDone:
		clean := err == nil && !e.response.Close && e.conn.reader.Buffered() == 0
		if clean {
			_ = e.conn.SetDeadline(time.Time{})
			e.conn.idleLimit = keepAlive(e.response)
			e.Pool.put(e.conn)
			return
		}
	default:
		// The target answered before it had the whole request.
	}
	_ = e.conn.Close()
}

// Abandon gives an exchange up and waits until the target has closed its side,
// which confirms the cancellation, or the deadline has passed.
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

// Close gives an exchange up at once.
func (e *Exchange) Close() {
	if e.conn == nil {
		return
	}
	e.stopInterrupt()
	_ = e.conn.Close()
}

// keepAliveMargin is the time by which a connection is dropped before its
// target drops it.
const keepAliveMargin = 1 * clock.Second

// keepAlive returns how long the target keeps the connection open, less a
// margin; zero if it does not say.
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
