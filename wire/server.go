package wire

import (
	"crypto/subtle"
	"io"
	"net"
	"net/rpc"
	"sync"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/carawayrack/carawayrack/clock"
)

const (
	secretSize    = 64
	secretTimeout = 2 * clock.Second
	pingMethod    = "Wire.Ping"
)

// Nothing is an empty argument or reply.
type Nothing struct{}

// Wire is the service that responds to heartbeats.
type Wire struct{}

// Ping responds to a heartbeat.
func (Wire) Ping(Nothing, *Nothing) error { return nil }

// Server serves net/rpc to peers that send the fleet's secret first.
type Server struct {
	Addr   string
	Secret string
	Log    *zap.Logger

	rpc    *rpc.Server
	ln     net.Listener
	mu     sync.Mutex
	conns  map[net.Conn]bool
	closed bool
}

// Register makes the methods of v callable under name. It must be called before
// Run.
func (s *Server) Register(name string, v any) error {
	if s.rpc == nil {
		s.rpc = rpc.NewServer()
		if err := s.rpc.RegisterName("Wire", Wire{}); err != nil {
			return errors.Wrap(err, "wire.Register")
		}
	}
	return errors.Wrap(s.rpc.RegisterName(name, v), "wire.Register")
}

// Run listens on Addr and serves in the background. The error is one of
// listening.
func (s *Server) Run() error {
	l, err := net.Listen("tcp", s.Addr)
	if err != nil {
		return errors.Wrap(err, "wire.Run")
	}
	s.ln = l
	s.conns = map[net.Conn]bool{}
	go s.loop()
	return nil
}

func (s *Server) loop() {
	for {
		c, err := s.ln.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(heartbeatInterval.Duration())
			continue
		}
		x := &session{server: s, conn: c}
		go x.run()
	}
}

// Close stops listening and closes every connection.
func (s *Server) Close() {
	_ = s.ln.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	for c := range s.conns {
		_ = c.Close()
	}
}

// add adds a connection to those that Close closes. It returns false after Close.
func (s *Server) add(c net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.closed {
		s.conns[c] = true
	}
	return !s.closed
}

// session is one accepted connection.
type session struct {
	server *Server
	conn   net.Conn
}

func (x *session) run() {
	server := x.server
	defer x.close()
	if !server.add(x.conn) {
		return
	}
	got := make([]byte, secretSize)
	_ = x.conn.SetReadDeadline(time.Now().Add(secretTimeout.Duration()))
	if _, err := io.ReadFull(x.conn, got); err != nil {
		return
	}
	want := make([]byte, secretSize)
	copy(want, server.Secret)
	if subtle.ConstantTimeCompare(got, want) != 1 {
		server.Log.Warn("peer presented a wrong secret", zap.String("peer", x.conn.RemoteAddr().String()))
		return
	}
	_ = x.conn.SetReadDeadline(time.Time{})
	server.rpc.ServeConn(countedConn{x.conn})
}

// close closes the connection and removes it from the server's list.
func (x *session) close() {
	_ = x.conn.Close()
	x.server.mu.Lock()
	delete(x.server.conns, x.conn)
	x.server.mu.Unlock()
}
