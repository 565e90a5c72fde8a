// Package connlimit bounds the connections of a listener. A listener at its limit
// closes the connection that has made the least progress, so that clients that are
// idle or slow do not keep out others.
package connlimit

import (
	"expvar"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

const (
	// minRate is the rate in bytes a second at which a client makes progress. Links
	// of callers carry several hundred times as much.
	minRate = 16 << 10
	// writeStall is the time after which a write counts as blocked: even narrow links
	// carry the 64 KiB of one write in less than 0.1 s.
	writeStall = 1 * time.Second
	// acceptRetry is the pause after a failure to accept for lack of descriptors, in
	// which the descriptor of the connection closed instead becomes free.
	acceptRetry = 5 * time.Millisecond
)

// Listener accepts at most Max connections at the same time. Its fields must be set
// before it is used.
type Listener struct {
	net.Listener
	// Max is the number of connections, 0 for no limit.
	Max int
	// Heads, if set, bounds the memory of the heads that are read on connections
	// which no request holds. A connection that finds none left is closed.
	Heads *Budget
	// Name is the name of the listener in the counters connectionsClosed.
	Name string

	mu    sync.Mutex
	conns map[*Conn]bool
}

// closed counts the connections that were closed, by listener and cause.
var closed = expvar.NewMap("connectionsClosed")

// The causes in the counters connectionsClosed.
const (
	// Evicted counts connections that were closed in favour of new ones, or of the
	// memory for responses.
	Evicted = "evicted"
	// Refused counts new connections that were closed since all others are served.
	Refused = "refused"
	// HeadMemory counts connections whose head found no memory.
	HeadMemory = "headMemory"
)

// Accept waits for the next connection. At the limit another one is closed for it;
// if requests hold all of them, the new one is closed.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		n, err := l.Listener.Accept()
		if isExhausted(err) && l.evict(0, false) {
			time.Sleep(acceptRetry)
			continue
		}
		if err != nil {
			return nil, err
		}
		if l.full() && !l.evict(0, false) {
			l.count(Refused)
			_ = n.Close()
			continue
		}
		return l.add(n), nil
	}
}

// isExhausted reports whether an error of Accept is a lack of descriptors.
func isExhausted(err error) bool {
	return errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE)
}

func (l *Listener) full() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.Max > 0 && len(l.conns) >= l.Max
}

func (l *Listener) add(n net.Conn) *Conn {
	c := &Conn{Conn: n, listener: l, progress: time.Now()}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conns == nil {
		l.conns = map[*Conn]bool{}
	}
	l.conns[c] = true
	return c
}

func (l *Listener) remove(c *Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns, c)
}

// EvictBlocked closes the connection whose client has not read for the longest time.
// It returns false if no write is blocked.
func (l *Listener) EvictBlocked() bool { return l.evict(writeStall, true) }

// EvictStalled closes the connection that has made no progress for the longest time,
// and at least for the given one. It returns false if there is none.
func (l *Listener) EvictStalled(least time.Duration) bool { return l.evict(least, false) }

// evict closes the connection that has made no progress for the longest time, and at
// least for the given one. If blocked is true, only blocked writes count. It returns
// false if there is none.
func (l *Listener) evict(least time.Duration, blocked bool) bool {
	l.mu.Lock()
	var victim *Conn
	oldest := time.Now().Add(-least)
	for c := range l.conns {
		if t, ok := c.waitingSince(blocked); ok && !t.After(oldest) {
			victim, oldest = c, t
		}
	}
	l.mu.Unlock()
	if victim == nil {
		return false
	}
	l.count(Evicted)
	_ = victim.Close()
	return true
}

func (l *Listener) count(cause string) {
	closed.Add(l.Name+"."+cause, 1)
}

// Connections returns the number of open connections.
func (l *Listener) Connections() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.conns)
}
