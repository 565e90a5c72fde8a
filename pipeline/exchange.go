package pipeline

import (
	"bytes"
	"context"
	"net/http"
	"runtime/debug"
	"strconv"
	"time"

	"go.uber.org/zap"
)

// exchange is one request and its response. It is the http.ResponseWriter of the
// handler and keeps the response until all earlier ones have been sent, unless the
// handler flushes it; see FlushError.
type exchange struct {
	conn *conn
	// request is nil if the request could not be parsed.
	request *http.Request
	body    *body
	// independent is true if the request may run beside others.
	independent bool
	// lastOfCaller is true if the caller sends no more requests.
	lastOfCaller bool

	header  http.Header
	status  int
	content bytes.Buffer
	// memory is that of the head of the request.
	memory *headMemory
	// done is set once the response is complete; conn.mu guards it.
	done bool
	// turn comes once the exchange is the first of its connection. stream is nil if the
	// response is sent as a whole.
	turn   turn
	stream *stream
}

// receivedKey is the context key of the time at which a request was read.
type receivedKey struct{}

// Received returns the time at which the head of a request was read, and whether
// a Server has served it. A request may start later, since it waits for earlier
// ones of its connection.
func Received(ctx context.Context) (time.Time, bool) {
	t, ok := ctx.Value(receivedKey{}).(time.Time)
	return t, ok
}

// newExchange returns the exchange of a request, which is nil if it could not be
// parsed.
func newExchange(c *conn, r *http.Request) *exchange {
	e := &exchange{conn: c, header: http.Header{}, lastOfCaller: true, turn: turn{come: make(chan struct{})}}
	if r == nil {
		return e
	}
	r.RemoteAddr = c.net.RemoteAddr().String()
	if r.Body != http.NoBody {
		e.body = newBody(e, r)
		r.Body = e.body
	}
	e.lastOfCaller = r.Close || !r.ProtoAtLeast(1, 1)
	e.independent = e.body == nil && c.server.Independent(r)
	e.request = r.WithContext(context.WithValue(c.context, receivedKey{}, time.Now()))
	return e
}

// run calls the handler and completes the response.
func (e *exchange) run() {
	e.conn.holder.Hold()
	if e.request != nil {
		e.handle()
	}
	if e.body != nil {
		e.body.finish()
	}
	e.releaseHead()
	e.conn.holder.Release()
	e.conn.complete(e)
}

// handle calls the handler. After a panic the connection ends, as the response
// may be incomplete.
func (e *exchange) handle() {
	ctx, stop := context.WithCancel(e.request.Context())
	defer stop()
	defer e.recover()
	e.conn.server.Handler.ServeHTTP(e, e.request.WithContext(ctx))
}

func (e *exchange) recover() {
	x := recover()
	if x == nil {
		return
	}
	if x != http.ErrAbortHandler {
		e.conn.server.Log.Error("a request handler panicked", zap.Any("panic", x), zap.ByteString("stack", debug.Stack()))
	}
	e.abort()
	e.conn.cancel()
	if e.stream != nil {
		// The connection is closed by its loop, as it is for a response that is too
		// short.
		return
	}
	_ = e.conn.net.Close()
}

// Header returns the headers of the response.
func (e *exchange) Header() http.Header { return e.header }

// WriteHeader sets the status of the response. Only the first call counts.
func (e *exchange) WriteHeader(status int) {
	if e.status == 0 {
		e.status = status
	}
}

// Write adds to the body of the response. It fails only after FlushError.
func (e *exchange) Write(b []byte) (int, error) {
	if e.stream != nil {
		return e.send(b)
	}
	e.WriteHeader(http.StatusOK)
	return e.content.Write(b)
}

// SetReadDeadline bounds the time in which the body of the request must arrive;
// see http.ResponseController.
func (e *exchange) SetReadDeadline(t time.Time) error {
	if e.body == nil {
		return nil
	}
	return e.conn.net.SetReadDeadline(t)
}

// respondError makes the response tell the caller why its request could not be
// read.
func (e *exchange) respondError(status int, err error) {
	e.header.Set("Content-Type", "text/plain; charset=utf-8")
	e.WriteHeader(status)
	_, _ = e.content.WriteString(err.Error() + "\n")
}

// size returns the number of bytes that the response occupies.
func (e *exchange) size() int { return e.content.Len() }

// mustClose reports whether the connection cannot be used after the response.
func (e *exchange) mustClose() bool {
	return e.lastOfCaller || (e.body != nil && !e.body.complete())
}

// bodyAllowed reports whether the response has a body.
func (e *exchange) bodyAllowed() bool {
	isHead := e.request != nil && e.request.Method == http.MethodHead
	return e.status != http.StatusNoContent && e.status != http.StatusNotModified && !isHead
}

// write sends the response. It announces the end of the connection if last is
// true.
func (e *exchange) write(last bool) error {
	e.WriteHeader(http.StatusOK)
	h := e.header
	switch {
	case e.bodyAllowed():
		h.Set("Content-Length", strconv.Itoa(e.content.Len()))
	case e.status == http.StatusNoContent || e.status == http.StatusNotModified:
		h.Del("Content-Length")
	case h.Get("Content-Length") == "":
		h.Set("Content-Length", strconv.Itoa(e.content.Len()))
	}
	var b bytes.Buffer
	b.Grow(headEstimate + min(e.content.Len(), joinedBody))
	e.writeHead(&b, last)
	if !e.bodyAllowed() {
		return e.conn.writeAll(b.Bytes())
	}
	if e.content.Len() <= joinedBody {
		b.Write(e.content.Bytes())
		return e.conn.writeAll(b.Bytes())
	}
	if err := e.conn.writeAll(b.Bytes()); err != nil {
		return err
	}
	return e.conn.writeAll(e.content.Bytes())
}

// writeHead writes the status line and the headers to b.
func (e *exchange) writeHead(b *bytes.Buffer, last bool) {
	h := e.header
	h.Del("Connection")
	h.Del("Transfer-Encoding")
	if last {
		h.Set("Connection", "close")
	}
	if e.stream != nil && e.stream.chunked {
		h.Set("Transfer-Encoding", "chunked")
	}
	if _, ok := h["Date"]; !ok {
		h.Set("Date", time.Now().UTC().Format(http.TimeFormat))
	}
	b.WriteString("HTTP/1.1 " + strconv.Itoa(e.status) + " " + http.StatusText(e.status) + "\r\n")
	// Writes to a bytes.Buffer do not fail.
	_ = h.Write(b)
	b.WriteString("\r\n")
}

// joinedBody is the size in bytes up to which a body is copied behind its head, so
// that both are sent with one write. Copies of larger bodies would double the memory
// of responses that are not read.
const joinedBody = 16 << 10

// headEstimate is the usual size of a response without its body, in bytes.
const headEstimate = 512
