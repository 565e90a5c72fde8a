package forward

import (
	"sync"
	"time"

	"github.com/carawayrack/carawayrack/clock"
)

// Pool holds idle connections by address.
type Pool struct {
	Clock clock.Clock
	// DialTimeout bounds the opening of a connection. UnackedTimeout is how long
	// sent data may stay unacknowledged before the kernel closes the connection.
	DialTimeout, UnackedTimeout clock.Millis
	// IdleTimeout is how long an idle connection is kept. FreshIdle is how long
	// a connection may have been idle to carry a request that must not be sent
	// twice.
	IdleTimeout, FreshIdle clock.Millis

	// MaxIdle is the number of idle connections to all targets, 0 for no limit.
	MaxIdle int

	mu      sync.Mutex
	idle    map[string][]*Conn
	stopped chan struct{}
}

// The defaults are used where a field of a pool is zero.
const (
	DefaultDialTimeout    = 1 * clock.Second
	DefaultUnackedTimeout = 5 * clock.Second
	DefaultIdleTimeout    = 20 * clock.Second
	DefaultFreshIdle      = 500 * clock.Millis(1)

	// idlePerTarget is the number of idle connections kept for each address.
	idlePerTarget = 4
	// sweepInterval is the time between searches for connections that were idle
	// for longer than IdleTimeout.
	sweepInterval = 1 * clock.Second
)

func (p *Pool) dialTimeout() clock.Millis { return orDefault(p.DialTimeout, DefaultDialTimeout) }
func (p *Pool) unackedTimeout() clock.Millis {
	return orDefault(p.UnackedTimeout, DefaultUnackedTimeout)
}
func (p *Pool) idleTimeout() clock.Millis { return orDefault(p.IdleTimeout, DefaultIdleTimeout) }
func (p *Pool) freshIdle() clock.Millis   { return orDefault(p.FreshIdle, DefaultFreshIdle) }

func orDefault(v, d clock.Millis) clock.Millis {
	if v > 0 {
		return v
	}
	return d
}

// Run starts closing connections that were idle for too long, in the background.
func (p *Pool) Run() {
	p.idle = map[string][]*Conn{}
	p.stopped = make(chan struct{})
	go p.loop()
}

// Close stops the background work of Run and closes all idle connections.
func (p *Pool) Close() {
	close(p.stopped)
	p.mu.Lock()
	defer p.mu.Unlock()
	for a := range p.idle {
		p.closeAll(a)
	}
}

// Get returns an idle connection to addr, or a new one if there is none that can
// be used. If once is true, an idle connection must have been used within
// FreshIdle. If fresh is true, the connection is always new.
func (p *Pool) Get(addr string, once, fresh bool) (*Conn, error) {
	for !fresh {
		c := p.popIdle(addr)
		if c == nil {
			break
		}
		if p.stale(c, once) || !c.alive() {
			_ = c.Close()
			continue
		}
		c.reused = true
		c.written.Store(0)
		return c, nil
	}
	return p.dial(addr)
}

// stale reports whether c was idle for too long to carry another request.
func (p *Pool) stale(c *Conn, once bool) bool {
	idle := p.Clock.Now() - c.idleSince
	return (once && idle > p.freshIdle()) || (c.idleLimit > 0 && idle >= c.idleLimit)
}

// popIdle removes and returns the connection to addr that was used last, nil if
// there is none.
func (p *Pool) popIdle(addr string) *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	l := p.idle[addr]
	if len(l) == 0 {
		return nil
	}
	c := l[len(l)-1]
	p.idle[addr] = l[:len(l)-1]
	return c
}

// put returns a reusable connection to the pool, or closes it if there are
// enough for its target.
func (p *Pool) put(c *Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle[c.addr]) >= idlePerTarget || (p.MaxIdle > 0 && p.idleCount() >= p.MaxIdle) {
		_ = c.Close()
		return
	}
	c.idleSince = p.Clock.Now()
	p.idle[c.addr] = append(p.idle[c.addr], c)
}

// idleCount returns the number of idle connections; p.mu is held.
func (p *Pool) idleCount() int {
	n := 0
	for _, l := range p.idle {
		n += len(l)
	}
	return n
}

// Drop closes the idle connections to addr. It is called when a reused connection
// to addr did not respond, as the idle ones are then likely to be broken as well.
func (p *Pool) Drop(addr string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closeAll(addr)
}

func (p *Pool) closeAll(addr string) {
	for _, c := range p.idle[addr] {
		_ = c.Close()
	}
	delete(p.idle, addr)
}

func (p *Pool) loop() {
	for {
		select {
		case <-p.stopped:
			return
		case <-time.After(sweepInterval.Duration()):
			p.sweep()
		}
	}
}

func (p *Pool) sweep() {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.Clock.Now()
	for a, l := range p.idle {
		k := 0
		for k < len(l) && now-l[k].idleSince > p.idleTimeout() {
			_ = l[k].Close()
			k++
		}
		p.idle[a] = l[k:]
		if len(p.idle[a]) == 0 {
			delete(p.idle, a)
		}
	}
}
