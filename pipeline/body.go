package pipeline

import (
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// body is the body of a request. It tells the loop of its connection when the
// next request may be read.
type body struct {
	exchange *exchange
	source   io.ReadCloser
	// expected is the Content-Length, -1 if it is unknown.
	expected int64
	// awaitsContinue is true while the caller waits for the interim response 100
	// before it sends the body.
	awaitsContinue bool
	// over is closed once the body was read to its end, could not be read, or is no
	// longer needed.
	over chan struct{}

	mu       sync.Mutex
	count    int64
	finished bool
	whole    bool
	overOnce sync.Once
}

// BodyNotNeeded is the error of reading the body of a request that is answered.
type BodyNotNeeded struct{}

// Error describes the error.
func (BodyNotNeeded) Error() string { return "the request has been answered" }

func newBody(e *exchange, r *http.Request) *body {
	return &body{
		exchange: e, source: r.Body, expected: r.ContentLength, over: make(chan struct{}),
		awaitsContinue: r.ProtoAtLeast(1, 1) && strings.EqualFold(r.Header.Get("Expect"), "100-continue"),
	}
}

// Read reads from the body. The error is io.EOF at the end of a whole body.
func (b *body) Read(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.finished {
		return 0, BodyNotNeeded{}
	}
	if b.awaitsContinue {
		b.awaitsContinue = false
		if err := b.exchange.conn.writeAll([]byte("HTTP/1.1 100 Continue\r\n\r\n")); err != nil {
			return 0, err
		}
	}
	b.exchange.conn.holder.Reading(true)
	n, err := b.source.Read(p)
	b.exchange.conn.holder.Reading(false)
	b.count += int64(n)
	if err != nil {
		b.whole = errors.Is(err, io.EOF)
		b.end()
	}
	return n, err
}

// Close does nothing: the rest of the body belongs to the connection.
func (b *body) Close() error { return nil }

func (b *body) end() { b.overOnce.Do(b.closeOver) }

func (b *body) closeOver() { close(b.over) }

// finish ends the body after the handler has returned. A rest that has already
// arrived is skipped, so that the connection can be used on.
func (b *body) finish() {
	select {
	case <-b.over:
		return
	default:
	}
	c := b.exchange.conn
	// A goroutine of the handler may still wait for bytes.
	_ = c.net.SetReadDeadline(time.Unix(1, 0))
	b.mu.Lock()
	defer b.mu.Unlock()
	b.finished = true
	if !b.whole && !b.awaitsContinue && b.expected > 0 && b.expected-b.count <= int64(c.reader.Buffered()) {
		_, err := io.Copy(io.Discard, b.source)
		b.whole = err == nil
	}
	b.end()
}

// complete reports whether the body was read to its end. It does not wait for a read in
// progress.
func (b *body) complete() bool {
	select {
	case <-b.over:
	default:
		return false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.whole
}
