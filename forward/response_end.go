package forward

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/carawayrack/carawayrack/clock"
)

// InvalidStatus is the cause of rejecting a response whose status no final response
// can have: below 200 and not interim, or above 599. A 101 would answer an Upgrade
// header, which is not forwarded.
type InvalidStatus struct{ Status string }

// Error describes the cause.
func (e InvalidStatus) Error() string { return "invalid status " + e.Status }

// interim reports whether another response follows one with this status.
func interim(status int) bool {
	return status >= 100 && status < 200 && status != http.StatusSwitchingProtocols
}

// checkStatus returns InvalidStatus for a status that a final response cannot have.
func checkStatus(r *http.Response) error {
	if r.StatusCode < 200 || r.StatusCode > 599 {
		return InvalidStatus{r.Status}
	}
	return nil
}

// Reset is the error of reading a response without length whose connection was
// reset, so that its end is unknown.
type Reset struct{ Cause error }

// Error describes the error.
func (e Reset) Error() string {
	return "the connection was reset in a response without length: " + e.Cause.Error()
}

// Unwrap returns the error of sending the request.
func (e Reset) Unwrap() error { return e.Cause }

// closeDelimited is the body of a response that ends with its connection. The
// kernel reports a reset only once: if the writer of the request gets the error, the
// reader gets a regular end.
type closeDelimited struct {
	io.ReadCloser
	exchange *Exchange
}

// Read reads from the body. The error is io.EOF at the end of a whole body.
func (b *closeDelimited) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if !errors.Is(err, io.EOF) {
		return n, err
	}
	if _, failed := b.exchange.awaitSent(b.exchange.context); failed != nil {
		return n, Reset{failed}
	}
	return n, err
}

// responseBody ends the effect of the context on the exchange once the response has
// been read to its end. A caller that has the whole response may leave while the last
// part of its request is still on the way to a target that responded early.
type responseBody struct {
	io.ReadCloser
	exchange *Exchange
}

// Read reads from the body.
func (b *responseBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) {
		b.exchange.stopInterrupt()
	}
	return n, err
}

// stalledAfter is how long a complete response waits for a target that reads nothing
// of the rest of the request. It is longer than the pauses of a target that is busy,
// and shorter than most objectives, since the response is ready.
const stalledAfter = 1 * clock.Second

// awaitSent waits until the whole request has been sent, for as long as the target
// reads it. Sent is false if it has stopped reading, or ctx was cancelled; err is the
// error of sending.
func (e *Exchange) awaitSent(ctx context.Context) (sent bool, err error) {
	for before := e.conn.written.Load(); ; {
		t := time.NewTimer(stalledAfter.Duration())
		select {
		case <-e.sent:
			t.Stop()
			return true, e.sendError
		case <-ctx.Done():
			t.Stop()
			return false, ctx.Err()
		case <-t.C:
		}
		n := e.conn.written.Load()
		if n == before {
			return false, nil
		}
		before = n
	}
}
