package pipeline

import (
	"bytes"
	"context"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"

	"github.com/pkg/errors"
)

const (
	// streamWindow is the size of the send buffer of a connection with a streamed
	// response, in bytes. What it holds waits on the host's link before the responses on
	// other connections; on a link of 6 Mbit/s that is about 0.04 s for each streamed
	// response. Without a limit the kernel takes some megabytes, which are seconds.
	streamWindow = 32 << 10
	// maxChunkHead is the size of the line before a chunk of a body, in bytes.
	maxChunkHead = 20
)

// stream is a response of which the caller gets what the handler writes at once.
type stream struct {
	// last is true if the connection ends with the response, chunked if it is sent in
	// chunks. left is the number of bytes of the body that are due, -1 if unknown.
	last, chunked bool
	left          int64
	// err is the first error of sending, or the reason why the response is incomplete.
	err error
}

// Truncated is the error of a response whose handler did not write all of the body.
type Truncated struct{}

// Error describes the error.
func (Truncated) Error() string { return "the response ends before its body is complete" }

// turn tells an exchange once all earlier responses have been sent.
type turn struct {
	once sync.Once
	come chan struct{}
}

func (t *turn) give() { t.once.Do(t.close) }

func (t *turn) close() { close(t.come) }

// giveTurn tells the first exchange of the queue that it is the first, unless another one
// is being written; c.mu is held.
func (c *conn) giveTurn() {
	if len(c.queue) > 0 && !c.writing && !c.ended {
		c.queue[0].turn.give()
	}
}

// AwaitTurn waits until all earlier responses of the connection of w have been sent, if a
// Server serves it. The error is that of ctx, or of a caller who has disconnected.
func AwaitTurn(ctx context.Context, w http.ResponseWriter) error {
	e, ok := w.(*exchange)
	if !ok {
		return nil
	}
	select {
	case <-e.turn.come:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	case <-e.conn.context.Done():
		return e.conn.context.Err()
	}
}

// aheadKey is the context key of the counter of ReadAhead.
type aheadKey struct{}

// ReadAhead returns the number of bytes that handlers hold for the connection of a request
// beyond what they have written. Handlers keep it; the requests of a connection share it.
func ReadAhead(ctx context.Context) *atomic.Int64 {
	if n, ok := ctx.Value(aheadKey{}).(*atomic.Int64); ok {
		return n
	}
	return new(atomic.Int64)
}

// FlushError makes the response a streamed one; see http.ResponseController. It waits
// until all earlier responses have been sent, sends the head and what was written so far.
// Later writes wait until the caller's side has accepted the bytes. If the handler panics
// with http.ErrAbortHandler or writes less than the header Content-Length says, the
// connection is closed without the rest or the last chunk.
func (e *exchange) FlushError() error {
	if e.stream != nil {
		return e.stream.err
	}
	if !e.bodyAllowed() {
		return nil
	}
	if err := AwaitTurn(e.conn.context, e); err != nil {
		return err
	}
	c := e.conn
	c.mu.Lock()
	if c.ended {
		c.mu.Unlock()
		return errEnded{}
	}
	c.writing = true
	e.stream = &stream{last: c.isLast(e)}
	c.mu.Unlock()
	return e.beginStream()
}

// beginStream sends the head and the part of the body that has been written.
func (e *exchange) beginStream() error {
	s := e.stream
	e.WriteHeader(http.StatusOK)
	s.left = -1
	if n, err := strconv.ParseInt(e.header.Get("Content-Length"), 10, 64); err == nil && n >= 0 {
		s.left = n
	} else {
		e.header.Del("Content-Length")
		// HTTP/1.0 has no chunks; the end of the connection ends the body.
		s.chunked = e.request.ProtoAtLeast(1, 1)
	}
	if !e.conn.server.isDraining() {
		e.conn.setSendBuffer(streamWindow)
	}
	var b bytes.Buffer
	e.writeHead(&b, s.last)
	first := e.content.Bytes()
	e.content = bytes.Buffer{}
	if s.err = e.conn.writeAll(b.Bytes()); s.err != nil {
		return s.err
	}
	_, err := e.send(first)
	return err
}

// setSendBuffer sets the size of the send buffer of the connection.
func (c *conn) setSendBuffer(bytes int) {
	if t, ok := c.net.(interface{ SetWriteBuffer(int) error }); ok {
		// Without the limit, large responses only delay others more.
		_ = t.SetWriteBuffer(bytes)
	}
}

// send sends a part of the body of a streamed response.
func (e *exchange) send(b []byte) (int, error) {
	s := e.stream
	if s.err == nil && s.left >= 0 && int64(len(b)) > s.left {
		s.err = http.ErrContentLength
	}
	if s.err != nil || len(b) == 0 {
		return 0, s.err
	}
	if s.left >= 0 {
		s.left -= int64(len(b))
	}
	if s.chunked {
		x := strconv.AppendInt(make([]byte, 0, len(b)+maxChunkHead), int64(len(b)), 16)
		x = append(append(append(x, "\r\n"...), b...), "\r\n"...)
		s.err = e.conn.writeAll(x)
	} else {
		s.err = e.conn.writeAll(b)
	}
	if s.err != nil {
		// The handler may wait for something else.
		e.conn.cancel()
		return 0, s.err
	}
	return len(b), nil
}

// endStream ends a streamed response after the handler has returned. After an error the
// connection must be closed.
func (e *exchange) endStream() error {
	s := e.stream
	switch {
	case s.err != nil:
	case s.left > 0:
		s.err = Truncated{}
	case s.chunked:
		s.err = e.conn.writeAll([]byte("0\r\n\r\n"))
	}
	if s.err != nil && s.left < 0 && !s.chunked {
		// Only a reset tells the caller that the end is not regular.
		if t, ok := e.conn.net.(interface{ SetLinger(int) error }); ok {
			_ = t.SetLinger(0)
		}
	}
	return s.err
}

// abort marks a response as incomplete after a panic of its handler.
func (e *exchange) abort() {
	if e.stream != nil && e.stream.err == nil {
		e.stream.err = errors.WithStack(Truncated{})
	}
}
