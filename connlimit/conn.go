package connlimit

import (
	"io"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// Conn is a connection of a Listener. It may be evicted unless a request holds it
// that neither reads from nor writes to the client.
type Conn struct {
	net.Conn
	listener *Listener

	mu sync.Mutex
	// holds is the number of requests that are served, reading the number of those
	// that wait for bytes of their bodies.
	holds, reading int
	// progress is the time up to which the client has kept up with minRate. It begins
	// when the connection is accepted and whenever a request has been served.
	progress time.Time
	// writing is the time at which the present write began, zero if there is none.
	writing time.Time
	// charged and read are the bytes of memory that heads have taken from the budget
	// and that they need, since the last request.
	charged, read int64
	ended         bool
}

// NoMemory is the error of reading a head for which there is no memory.
type NoMemory struct{}

// Error describes the error.
func (NoMemory) Error() string { return "there is no memory for the head of the request" }

// Hold tells that a request is being served. Release must follow.
func (c *Conn) Hold() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.holds++
}

// Release tells that a request has been served.
func (c *Conn) Release() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.holds--
	if c.holds == 0 {
		c.progress = time.Now()
		c.giveHead()
	}
}

// Reading tells that a request begins or ends to wait for bytes of its body.
func (c *Conn) Reading(on bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if on {
		c.reading++
	} else {
		c.reading--
	}
}

// waitingSince returns the time since which the client has made no progress, and
// whether the process waits for the client.
func (c *Conn) waitingSince(blocked bool) (time.Time, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.writing.IsZero() && time.Since(c.writing) >= writeStall {
		return c.writing, true
	}
	if blocked || !c.writing.IsZero() || c.holds > c.reading {
		return time.Time{}, false
	}
	return c.progress, true
}

// Read reads into b and records the progress. The error is NoMemory if there is no
// memory for the head of a request.
func (c *Conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.mu.Lock()
	defer c.mu.Unlock()
	if now := time.Now(); n > 0 {
		c.progress = c.progress.Add(time.Duration(n) * time.Second / minRate)
		if c.progress.After(now) {
			c.progress = now
		}
	}
	if c.listener.Heads != nil && c.holds == 0 && !c.takeHead(b[:n]) {
		c.listener.count(HeadMemory)
		return 0, errors.WithStack(NoMemory{})
	}
	return n, err
}

// takeHead takes memory for a part of a head; c.mu is held.
func (c *Conn) takeHead(b []byte) bool {
	c.read += HeadBytes(b)
	more := c.read - FreeHead - c.charged
	if more <= 0 {
		return true
	}
	if c.ended || !c.listener.Heads.Take(more) {
		return false
	}
	c.charged += more
	return true
}

// giveHead returns the memory of heads; c.mu is held.
func (c *Conn) giveHead() {
	if c.charged > 0 {
		c.listener.Heads.Give(c.charged)
	}
	c.charged, c.read = 0, 0
}

// Write writes b and records for how long the client does not accept it.
func (c *Conn) Write(b []byte) (int, error) {
	c.setWriting(time.Now())
	defer c.setWriting(time.Time{})
	return c.Conn.Write(b)
}

func (c *Conn) setWriting(t time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writing = t
}

// CloseWrite closes the sending side of a TCP connection.
func (c *Conn) CloseWrite() error {
	t, ok := c.Conn.(interface{ CloseWrite() error })
	if !ok {
		return errors.WithStack(net.ErrClosed)
	}
	return t.CloseWrite()
}

// SetWriteBuffer sets the size of the send buffer of a TCP connection.
func (c *Conn) SetWriteBuffer(bytes int) error {
	t, ok := c.Conn.(interface{ SetWriteBuffer(int) error })
	if !ok {
		return errors.WithStack(net.ErrClosed)
	}
	return t.SetWriteBuffer(bytes)
}

// SetLinger sets how a TCP connection with unsent bytes is closed; see
// net.TCPConn.SetLinger.
func (c *Conn) SetLinger(sec int) error {
	t, ok := c.Conn.(interface{ SetLinger(int) error })
	if !ok {
		return errors.WithStack(net.ErrClosed)
	}
	return t.SetLinger(sec)
}

// Close closes the connection.
func (c *Conn) Close() error {
	c.mu.Lock()
	c.ended = true
	c.giveHead()
	c.mu.Unlock()
	c.listener.remove(c)
	return c.Conn.Close()
}

// body tells the connection of a request when its handler waits for the body.
type body struct {
	io.ReadCloser
	conn *Conn
}

// Read reads from the body.
func (b *body) Read(p []byte) (int, error) {
	b.conn.Reading(true)
	defer b.conn.Reading(false)
	return b.ReadCloser.Read(p)
}
