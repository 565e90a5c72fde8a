// Package forward sends requests to targets over pooled connections that carry
// one request at a time. For a failed attempt it reports whether anything was
// sent.
package forward

import (
	"bufio"
	"net"
	"net/http"
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
	// headLeft is the number of bytes that may still be read of the heads of
	// responses; it counts only while inHead is true. tooLarge is set once it is
	// used up.
	headLeft         int
	inHead, tooLarge bool
	// idleLimit is how long the target keeps the idle connection open, less a
	// margin; zero if it has not announced a time.
	idleLimit clock.Millis
}

// Write writes b and counts the bytes that the kernel accepted. All of b counts until
// then: the response may arrive before the system call has returned, and a request
// that has reached its target must not count as not run.
func (c *Conn) Write(b []byte) (int, error) {
	c.written.Add(int64(len(b)))
	n, err := c.Conn.Write(b)
	c.written.Add(int64(n - len(b)))
	return n, err
}

// maxHead bounds the status line and headers of a response together with the
// interim responses before it, in bytes.
const maxHead = 64 << 10

// HeadTooLarge is the cause of rejecting a response whose head exceeds the limit.
type HeadTooLarge struct{}

// Error describes the cause.
func (HeadTooLarge) Error() string { return "the head of the response exceeds the limit" }

// Read reads into b. The error is HeadTooLarge once the limit of a head is used
// up.
func (c *Conn) Read(b []byte) (int, error) {
	if !c.inHead {
		return c.Conn.Read(b)
	}
	if c.headLeft <= 0 {
		c.tooLarge = true
		return 0, HeadTooLarge{}
	}
	n, err := c.Conn.Read(b[:min(len(b), c.headLeft)])
	c.headLeft -= n
	return n, err
}

// readResponse reads the head of a response.
func (c *Conn) readResponse(r *http.Request) (*http.Response, error) {
	c.inHead = true
	a, err := http.ReadResponse(c.reader, r)
	c.inHead = false
	if err != nil && c.tooLarge {
		// http.ReadResponse reports a part of a line as malformed.
		return nil, HeadTooLarge{}
	}
	return a, err
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
	c := &Conn{Conn: conn, addr: addr}
	c.reader = bufio.NewReaderSize(c, bufferSize)
	return c, nil
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
