package pipeline

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"time"

	"github.com/carawayrack/carawayrack/clock"
	"github.com/carawayrack/carawayrack/connlimit"
)

// memoryPoll is the time between two looks for free memory.
const memoryPoll = 10 * clock.Millis(1)

// holder learns whether a connection is in use; see connlimit.Conn.
type holder interface {
	Hold()
	Release()
	Reading(on bool)
}

// noHolder is the holder of a connection without limits.
type noHolder struct{}

// Hold does nothing.
func (noHolder) Hold() {}

// Release does nothing.
func (noHolder) Release() {}

// Reading does nothing.
func (noHolder) Reading(bool) {}

func holderOf(n net.Conn) holder {
	if h, ok := n.(holder); ok {
		return h
	}
	return noHolder{}
}

// HeadNoMemory is the error of a request whose head found no memory in time.
type HeadNoMemory struct{}

// Error describes the error.
func (HeadNoMemory) Error() string { return "there is no memory for the headers at present" }

// headMemory is the memory that the head of one request takes from the budget.
type headMemory struct {
	budget *connlimit.Budget
	// free is the part that takes nothing from the budget.
	free          int64
	need, charged int64
	until         time.Time
}

// take takes memory for a part of the head, and waits for it. It returns false if
// there is none in time.
func (m *headMemory) take(b []byte) bool {
	m.need += connlimit.HeadBytes(b)
	more := m.need - m.free - m.charged
	if more <= 0 {
		return true
	}
	// The largest head must be served by a process that has little memory.
	more = min(more, m.budget.Limit-m.charged)
	for !m.budget.Take(more) {
		if time.Now().After(m.until) {
			return false
		}
		time.Sleep(memoryPoll.Duration())
	}
	m.charged += more
	return true
}

// give returns the memory to the budget.
func (m *headMemory) give() {
	if m == nil || m.charged == 0 {
		return
	}
	m.budget.Give(m.charged)
	m.charged = 0
}

// beginHead takes the memory for the part of a head that has been read. While much
// memory is in use, it waits until all earlier requests of the connection have been
// answered: a caller that reads no responses must not keep heads in memory.
func (c *conn) beginHead(l Limits) (*headMemory, error) {
	if c.server.Heads == nil {
		return nil, nil
	}
	for c.pending() && c.server.Heads.Scarce() {
		time.Sleep(memoryPoll.Duration())
	}
	m := &headMemory{budget: c.server.Heads, until: after(l.HeaderTimeout)}
	if !c.pending() {
		m.free = connlimit.FreeHead
	}
	// Peek does not fail for bytes that are buffered.
	b, _ := c.reader.Peek(c.reader.Buffered())
	if k := bytes.Index(b, []byte("\r\n\r\n")); k >= 0 {
		b = b[:k]
	}
	if !m.take(b) {
		return nil, HeadNoMemory{}
	}
	_ = c.net.SetReadDeadline(after(l.HeaderTimeout))
	c.head.memory = m
	return m, nil
}

// pending reports whether responses of the connection have not been sent.
func (c *conn) pending() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.queue) > 0 && !c.ended
}

// releaseHead frees the head of a request that has been handled: only its method is
// needed to write the response.
func (e *exchange) releaseHead() {
	if e.request != nil {
		e.request = (&http.Request{Method: e.request.Method, Header: http.Header{}}).WithContext(context.Background())
	}
	e.memory.give()
}

func (s *Server) isBusy() bool { return s.Busy != nil && s.Busy() }
