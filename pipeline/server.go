// Package pipeline serves HTTP/1.1 requests that callers may send before
// earlier ones on the same connection are answered. Requests that are
// independent of each other run concurrently; responses leave in the order of
// the requests.
package pipeline

import (
	"context"
	"maps"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/carawayrack/carawayrack/clock"
	"github.com/carawayrack/carawayrack/connlimit"
	"github.com/carawayrack/carawayrack/shutdown"
)

// Limits bound what one connection may occupy, and for how long.
type Limits struct {
	// HeaderBytes bounds the request line and the headers together.
	HeaderBytes int
	// HeaderTimeout bounds the time from the first byte of a request to the end of
	// its headers.
	HeaderTimeout clock.Millis
	// IdleTimeout is how long a connection stays open without a request.
	IdleTimeout clock.Millis
}

const (
	// maxRunning is the number of requests of one connection that are started and
	// whose responses have not been sent yet.
	maxRunning = 8
	// maxRead is the number of requests of one connection that are read and whose
	// responses have not been sent yet. Further bytes stay in the kernel.
	maxRead = 32
	// maxHeld is the number of bytes of responses that wait for earlier ones at
	// which no more requests of the connection are started.
	maxHeld = 1 << 20
	// writeTimeout bounds the time in which a caller must accept writeChunk bytes.
	writeTimeout = 30 * clock.Second
	writeChunk   = 64 << 10
	// lingerTimeout and lingerBytes bound how long and how much a closing
	// connection still reads.
	lingerTimeout = 1 * clock.Second
	lingerBytes   = 1 << 20
	// acceptRetry is the pause after a failure to accept, such as a lack of
	// descriptors.
	acceptRetry = 20 * clock.Millis(1)
)

// Server serves callers on a listener.
type Server struct {
	// Handler responds to one request. It must read what it needs of the body
	// before it returns. The response is sent when it has returned, or as it is
	// written from its first flush on; see http.ResponseController and AwaitTurn.
	Handler http.Handler
	// Independent reports whether a request may run beside others of its
	// connection. Others run only once all earlier responses have been sent.
	Independent func(*http.Request) bool
	// Limits returns the limits in force.
	Limits func() Limits
	// Heads, if set, bounds the memory of the heads of requests beyond
	// connlimit.FreeHead for each connection. A request whose head finds none in time
	// gets 503.
	Heads *connlimit.Budget
	// NoMemory, if set, is called for each request that is refused since its head
	// found no memory.
	NoMemory func()
	// Busy, if set, reports whether requests may not run beside others, since
	// responses that wait for their callers occupy the memory.
	Busy func() bool
	// NotRead, if set, is called for each request that was read and is dropped
	// because the connection ends with an earlier response.
	NotRead func(*http.Request)
	Log     *zap.Logger

	mu       sync.Mutex
	conns    map[*conn]bool
	listener net.Listener
	draining bool
	stopping bool
	empty    chan struct{}
}

// Run serves connections of l until Stop. The error is nil after Stop.
func (s *Server) Run(l net.Listener) error {
	s.mu.Lock()
	s.listener = l
	s.mu.Unlock()
	for {
		n, err := l.Accept()
		if err != nil {
			if s.isStopping() {
				return nil
			}
			if errors.Is(err, net.ErrClosed) {
				return errors.Wrap(err, "pipeline.Run")
			}
			s.Log.Warn("cannot accept a connection", zap.Error(err))
			time.Sleep(acceptRetry.Duration())
			continue
		}
		s.ServeConn(n)
	}
}

// ServeConn serves one connection in the background.
func (s *Server) ServeConn(n net.Conn) {
	c := newConn(s, n)
	if !s.add(c) {
		_ = n.Close()
		return
	}
	if s.isDraining() {
		c.setSendBuffer(shutdown.SendBuffer)
	}
	go c.run()
}

// Drain makes each connection end with the response to the last request that was
// started on it. New connections are still accepted and answer one request, or
// the requests that arrive together with it. The send buffers become large, since the
// kernel goes on to send what they hold once the process has ended.
func (s *Server) Drain() {
	s.mu.Lock()
	s.draining = true
	l := slices.Collect(maps.Keys(s.conns))
	s.mu.Unlock()
	for _, c := range l {
		c.setSendBuffer(shutdown.SendBuffer)
	}
}

// Stop closes the listener and idle connections and waits for the requests in
// flight. It returns the error of the context if that ends first.
func (s *Server) Stop(ctx context.Context) error {
	s.mu.Lock()
	s.draining, s.stopping = true, true
	if s.empty == nil {
		s.empty = make(chan struct{})
		if len(s.conns) == 0 {
			close(s.empty)
		}
	}
	if s.listener != nil {
		_ = s.listener.Close()
	}
	var l []*conn
	for c := range s.conns {
		l = append(l, c)
	}
	s.mu.Unlock()
	for _, c := range l {
		c.endIfIdle()
	}
	select {
	case <-s.empty:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Close closes the listener and all connections at once.
func (s *Server) Close() {
	s.mu.Lock()
	s.draining, s.stopping = true, true
	defer s.mu.Unlock()
	if s.listener != nil {
		_ = s.listener.Close()
	}
	for c := range s.conns {
		_ = c.net.Close()
	}
}

// Connections returns the number of open connections.
func (s *Server) Connections() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

func (s *Server) isDraining() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.draining
}

func (s *Server) isStopping() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stopping
}

// add registers a connection. It returns false once the server stops.
func (s *Server) add(c *conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopping {
		return false
	}
	if s.conns == nil {
		s.conns = map[*conn]bool{}
	}
	s.conns[c] = true
	return true
}

func (s *Server) remove(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
	if s.empty != nil && len(s.conns) == 0 {
		select {
		case <-s.empty:
		default:
			close(s.empty)
		}
	}
}

// after returns the time d from now.
func after(d clock.Millis) time.Time { return time.Now().Add(d.Duration()) }
