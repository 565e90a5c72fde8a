// Package forward sends requests to targets over pooled connections that carry
// one request at a time. For a failed attempt it reports whether anything was
// sent.
package forward

import (
	"bufio"
	"net"
	"sync/atomic"
	"syscall"

	"github.com/carawayrack/carawayrack/clock"
)

const (
	// tcpUserTimeout is the number of the socket option TCP_USER_TIMEOUT.
	tcpUserTimeout = 18
	bufferSize     = 16 << 10
)

// Conn is a connection to a target.
type Conn struct {
	net.Conn
	addr      string
	reader    *bufio.Reader
	written   atomic.Int64
	reused    bool
	idleSince clock.Millis
	// idleLimit is how long the target keeps the idle connection open, less a
	// margin; zero if it has not announced a time.
	idleLimit clock.Millis
}

// Write writes b and counts the bytes that the kernel accepted.
func (c *Conn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.written.Add(int64(n))
	return n, err
}

// dial opens a connection to addr.
func (p *Pool) dial(addr string) (*Conn, error) {
	millis := int(p.unackedTimeout())
	d := net.Dialer{Timeout: p.dialTimeout().Duration(), Control: func(_, _ string, c syscall.RawConn) error {
		return setUserTimeout(c, millis)
	}}
	conn, err := d.Dial("tcp", addr)
	if err != nil {
		return nil, err
	}
	return &Conn{Conn: conn, addr: addr, reader: bufio.NewReaderSize(conn, bufferSize)}, nil
}

func setUserTimeout(c syscall.RawConn, millis int) error {
	var err error
	f := func(fd uintptr) {
		err = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, millis)
	}
	if e := c.Control(f); e != nil {
		return e
	}
	return err
}

// alive reports whether an idle connection is still open and has no unread
// data, as far as the kernel knows.
func (c *Conn) alive() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	t, ok := c.Conn.(*net.TCPConn)
	if !ok {
		return false
	}
	r, err := t.SyscallConn()
	if err != nil {
		return false
	}
	usable := false
	peek := func(fd uintptr) bool {
		b := make([]byte, 1)
		_, _, e := syscall.Recvfrom(int(fd), b, syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		usable = e == syscall.EAGAIN
		return true
	}
	return r.Read(peek) == nil && usable
}
