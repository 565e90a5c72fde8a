package pipeline

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

// conn is one connection of a caller. Its loop reads requests and queues them as
// exchanges; each exchange runs in a goroutine of its own. Whichever of them
// finds the first exchange of the queue complete writes its response.
type conn struct {
	server *Server
	net    net.Conn
	head   *headReader
	// holder learns which requests are served and wait for bytes.
	holder holder
	reader *bufio.Reader
	// context is cancelled once the caller has disconnected.
	context context.Context
	cancel  context.CancelFunc

	mu sync.Mutex
	// queue holds the exchanges whose responses have not been sent, in the order
	// of the requests. The first started of them have been started.
	queue   []*exchange
	started int
	// held is the number of bytes of complete responses in the queue.
	held int
	// awaiting is true while the loop waits for the first byte of a request.
	awaiting bool
	// writing is true while an exchange writes responses.
	writing bool
	// noStart is set once no more requests may be started: the connection ends
	// with the response to the last one that was.
	noStart bool
	// ended is set once nothing more is read, started or written, announced once a
	// response has told the caller so.
	ended, announced bool
	// changed is signalled when the queue has shrunk or the connection has ended.
	changed chan struct{}
}

// headReader limits the bytes of a request's head.
type headReader struct {
	net.Conn
	// left is the number of bytes that may still be read, or -1 without a limit.
	left int64
	// err is the last error of Read.
	err error
	// memory is that of the head that is being read, nil at other times.
	memory *headMemory
}

// HeadTooLarge is the error of a request whose head exceeds the limit.
type HeadTooLarge struct{}

// Error describes the error.
func (HeadTooLarge) Error() string { return "the request line and headers exceed the limit" }

// HeadTimeout is the error of a request whose head did not arrive in time.
type HeadTimeout struct{}

// Error describes the error.
func (HeadTimeout) Error() string { return "the request line and headers did not arrive in time" }

// Read reads into b. The error is HeadTooLarge once the limit is reached.
func (h *headReader) Read(b []byte) (int, error) {
	if h.left == 0 {
		h.err = HeadTooLarge{}
		return 0, h.err
	}
	if h.left > 0 && int64(len(b)) > h.left {
		b = b[:h.left]
	}
	n, err := h.Conn.Read(b)
	if h.left > 0 {
		h.left -= int64(n)
	}
	if h.memory != nil && !h.memory.take(b[:n]) {
		n, err = 0, HeadNoMemory{}
	}
	h.err = err
	return n, err
}

const readBuffer = 4 << 10

func newConn(s *Server, n net.Conn) *conn {
	c := &conn{server: s, net: n, head: &headReader{Conn: n, left: -1}, changed: make(chan struct{}, 1)}
	c.reader = bufio.NewReaderSize(c.head, readBuffer)
	c.holder = holderOf(n)
	c.context, c.cancel = context.WithCancel(context.WithValue(context.Background(), aheadKey{}, new(atomic.Int64)))
	return c
}

// run reads requests until the connection ends.
func (c *conn) run() {
	defer c.server.remove(c)
	defer c.cancel()
	for {
		e, err := c.next()
		if err != nil {
			c.endReading(err)
			break
		}
		if !c.enqueue(e) || !c.waitForBody(e) || e.lastOfCaller {
			break
		}
	}
	c.watch()
	if c.awaitEnd() {
		c.linger()
	}
	_ = c.net.Close()
}

// next waits for a request and reads its head.
func (c *conn) next() (*exchange, error) {
	if !c.awaitRoom() {
		return nil, errEnded{}
	}
	l := c.server.Limits()
	if err := c.awaitFirstByte(l); err != nil {
		return nil, err
	}
	m, err := c.beginHead(l)
	if err != nil {
		return nil, err
	}
	r, err := c.readHead(l)
	c.head.memory = nil
	if err != nil {
		m.give()
		return nil, err
	}
	_ = c.net.SetReadDeadline(time.Time{})
	e := newExchange(c, r)
	e.memory = m
	return e, nil
}

// readHead reads the head of a request whose first byte has arrived.
func (c *conn) readHead(l Limits) (*http.Request, error) {
	c.head.left, c.head.err = max(int64(l.HeaderBytes)-int64(c.reader.Buffered()), 0), nil
	r, err := http.ReadRequest(c.reader)
	c.head.left = -1
	if err == nil {
		return r, checkRequest(r)
	}
	// http.ReadRequest reports a part of a line as malformed, and hides that the
	// rest could not be read.
	if c.head.err != nil {
		err = c.head.err
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		err = HeadTimeout{}
	}
	return nil, err
}

// errEnded is the internal reason to stop reading after the connection has
// ended.
type errEnded struct{}

func (errEnded) Error() string { return "the connection has ended" }

// BadRequest is the error of a request that is not valid HTTP/1.1.
type BadRequest struct{ Problem string }

// Error describes the problem.
func (e BadRequest) Error() string { return "bad request: " + e.Problem }

// checkRequest checks what http.ReadRequest leaves to its caller.
func checkRequest(r *http.Request) error {
	if r.ProtoMajor != 1 {
		return BadRequest{"protocol " + r.Proto}
	}
	if r.Host == "" && r.ProtoAtLeast(1, 1) {
		return BadRequest{"no Host"}
	}
	for _, l := range r.Header {
		for _, v := range l {
			if strings.ContainsFunc(v, isControl) {
				return BadRequest{"control character in a header"}
			}
		}
	}
	return nil
}

func isControl(r rune) bool { return r != '\t' && (r < ' ' || r == 0x7f) }

// awaitFirstByte waits for the first byte of the next request. The idle timeout
// begins once all responses have been sent.
func (c *conn) awaitFirstByte(l Limits) error {
	c.mu.Lock()
	c.awaiting = true
	if len(c.queue) == 0 {
		c.setIdleDeadline(l)
	} else {
		_ = c.net.SetReadDeadline(time.Time{})
	}
	c.mu.Unlock()
	_, err := c.reader.Peek(1)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.awaiting = false
	if err != nil {
		return err
	}
	_ = c.net.SetReadDeadline(after(l.HeaderTimeout))
	return nil
}

// setIdleDeadline bounds the wait for the next request; c.mu is held.
func (c *conn) setIdleDeadline(l Limits) {
	if c.server.isStopping() || c.ended {
		_ = c.net.SetReadDeadline(time.Unix(1, 0))
		return
	}
	_ = c.net.SetReadDeadline(after(l.IdleTimeout))
}

// endIfIdle ends the connection if it waits for a request. A request whose first
// byte has arrived is still served.
func (c *conn) endIfIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.awaiting && len(c.queue) == 0 {
		_ = c.net.SetReadDeadline(time.Unix(1, 0))
	}
}

// awaitRoom waits until another request may be read. It returns false if the
// connection has ended.
func (c *conn) awaitRoom() bool {
	for {
		c.mu.Lock()
		room, over := len(c.queue) < maxRead, c.ended || c.noStart
		c.mu.Unlock()
		if over {
			return false
		}
		if room {
			return true
		}
		<-c.changed
	}
}

// enqueue appends an exchange and starts what may be started. It returns false
// if the connection has ended.
func (c *conn) enqueue(e *exchange) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ended || c.noStart {
		c.drop([]*exchange{e})
		return false
	}
	c.queue = append(c.queue, e)
	c.giveTurn()
	c.startReady()
	return true
}

// startReady starts the requests that may run; c.mu is held.
func (c *conn) startReady() {
	for !c.noStart && !c.ended && c.started < min(len(c.queue), maxRunning) && c.held < maxHeld {
		e := c.queue[c.started]
		if c.started > 0 && (!e.independent || c.server.isBusy()) {
			return
		}
		c.started++
		if e.lastOfCaller {
			c.noStart = true
		}
		go e.run()
	}
}

// complete records that the response of an exchange is ready, and writes the
// responses that are due.
func (c *conn) complete(e *exchange) {
	c.mu.Lock()
	defer c.mu.Unlock()
	e.done = true
	if e.stream != nil {
		// The exchange has been writing since it was flushed.
		c.mu.Unlock()
		err := e.endStream()
		c.mu.Lock()
		c.sent(e, e.stream.last, err)
	} else {
		c.held += e.size()
		if c.writing {
			return
		}
	}
	c.writing = true
	for len(c.queue) > 0 && c.queue[0].done && !c.ended {
		x := c.queue[0]
		last := c.isLast(x)
		c.mu.Unlock()
		err := x.write(last)
		c.mu.Lock()
		c.sent(x, last, err)
	}
	c.writing = false
	c.giveTurn()
	if len(c.queue) == 0 && c.awaiting {
		c.setIdleDeadline(c.server.Limits())
	}
}

// sent removes the first exchange after an attempt to send its response, and ends the
// connection if it was the last one or could not be sent; c.mu is held.
func (c *conn) sent(x *exchange, last bool, err error) {
	c.pop(x)
	if err != nil {
		c.cancel()
	}
	if err != nil || last {
		c.announced = err == nil
		c.end()
	}
}

// isLast reports whether the connection ends with the response of x, the first
// exchange of the queue; c.mu is held. While the server drains, that is the last
// one that was started: those behind it have not been passed on.
func (c *conn) isLast(x *exchange) bool {
	if x.mustClose() || c.server.isDraining() {
		c.noStart = true
	}
	return c.noStart && c.started == 1
}

// pop removes the first exchange, whose response has been sent; c.mu is held.
func (c *conn) pop(x *exchange) {
	c.queue = c.queue[1:]
	c.started--
	c.held -= x.size()
	c.startReady()
	c.signal()
}

// end ends the connection: nothing more is read, started or written; c.mu is
// held.
func (c *conn) end() {
	c.ended = true
	c.drop(c.queue[min(c.started, len(c.queue)):])
	c.queue, c.started = nil, 0
	c.signal()
	// The loop may wait for a request, for a body or for the caller to disconnect.
	_ = c.net.SetReadDeadline(time.Unix(1, 0))
}

// drop ends exchanges that were not started.
func (c *conn) drop(l []*exchange) {
	for _, e := range l {
		e.memory.give()
		if e.body != nil {
			e.body.end()
		}
		if c.server.NotRead != nil && e.request != nil {
			c.server.NotRead(e.request)
		}
	}
}

func (c *conn) signal() {
	select {
	case c.changed <- struct{}{}:
	default:
	}
}

// waitForBody waits until the body of an exchange is read, since the next
// request follows it. It returns false if the body was not read to its end.
func (c *conn) waitForBody(e *exchange) bool {
	if e.body == nil {
		return true
	}
	<-e.body.over
	return e.body.complete()
}

// endReading handles an error of next. A request that cannot be parsed is
// answered after the earlier ones; other errors mean that the caller has
// disconnected or that the connection was idle.
func (c *conn) endReading(err error) {
	if errors.As(err, &HeadNoMemory{}) && c.server.NoMemory != nil {
		c.server.NoMemory()
	}
	if s := errorStatus(err); s != 0 {
		e := newExchange(c, nil)
		e.respondError(s, err)
		if c.enqueue(e) {
			return
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.queue) == 0 && !c.ended {
		c.ended = true
	}
	if !c.ended && !errors.As(err, &errEnded{}) && !errors.Is(err, os.ErrDeadlineExceeded) {
		c.cancel()
	}
}

// errorStatus returns the status for a request that could not be read, 0 if
// there is nobody to answer.
func errorStatus(err error) int {
	var n net.Error
	switch {
	case errors.As(err, &HeadTooLarge{}):
		return http.StatusRequestHeaderFieldsTooLarge
	case errors.As(err, &HeadTimeout{}):
		return http.StatusRequestTimeout
	case errors.As(err, &HeadNoMemory{}):
		return http.StatusServiceUnavailable
	case errors.As(err, &errEnded{}), errors.Is(err, io.EOF), errors.Is(err, io.ErrClosedPipe), errors.As(err, &n):
		return 0
	}
	return http.StatusBadRequest
}

// watch detects, after the last request, that the caller disconnects while
// responses are due. Bytes that follow the last request are not read.
func (c *conn) watch() {
	c.mu.Lock()
	over := c.ended || len(c.queue) == 0
	if !over {
		_ = c.net.SetReadDeadline(time.Time{})
	}
	c.mu.Unlock()
	if over || c.context.Err() != nil {
		return
	}
	if _, err := c.reader.Peek(1); err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		c.cancel()
	}
}

// awaitEnd waits until all started exchanges have ended. It reports whether the
// caller was told in a response that the connection ends.
func (c *conn) awaitEnd() bool {
	for {
		c.mu.Lock()
		over, announced := c.ended || len(c.queue) == 0, c.announced
		c.mu.Unlock()
		if over {
			return announced
		}
		<-c.changed
	}
}

// linger closes the sending side and reads what the caller still sends, within
// bounds: a close with unread bytes would reset the connection, and the caller
// might lose the last response.
func (c *conn) linger() {
	if c.context.Err() != nil {
		return
	}
	t, ok := c.net.(interface{ CloseWrite() error })
	if !ok {
		return
	}
	if err := t.CloseWrite(); err != nil {
		return
	}
	_ = c.net.SetReadDeadline(after(lingerTimeout))
	// The error tells how the caller ended the connection, which no longer
	// matters.
	_, _ = io.Copy(io.Discard, io.LimitReader(c.net, lingerBytes))
}

// writeAll writes b in chunks, each of which the caller must accept in time.
func (c *conn) writeAll(b []byte) error {
	for len(b) > 0 {
		k := min(len(b), writeChunk)
		_ = c.net.SetWriteDeadline(after(writeTimeout))
		if _, err := c.net.Write(b[:k]); err != nil {
			return errors.Wrap(err, "pipeline.writeAll")
		}
		b = b[k:]
	}
	return nil
}
