package forward

import (
	"sync"
	"time"

	"github.com/carawayrack/carawayrack/clock"
)

// Pool holds idle connections by address.
type Pool struct {
	Clock clock.Clock
	// DialTimeout bounds the opening of a connection; UnackedTimeout ends a
	// connection whose peer acknowledges nothing.
	DialTimeout, UnackedTimeout clock.Millis
	// IdleTimeout is how long an idle connection is kept, FreshIdle how long
	// it may carry a request that must not be sent twice.
	IdleTimeout, FreshIdle clock.Millis

	mu      sync.Mutex
	idle    map[string][]*Conn
	stopped chan struct{}
}

// Defaults of a pool.
const (
	DefaultDialTimeout    = 1 * clock.Second
	DefaultUnackedTimeout = 5 * clock.Second
	DefaultIdleTimeout    = 20 * clock.Second
	DefaultFreshIdle      = 500 * clock.Millis(1)

	idlePerTarget = 4
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

// Run starts to close connections that were idle too long.
func (p *Pool) Run() {
	p.idle = map[string][]*Conn{}
	p.stopped = make(chan struct{})
	go p.loop()
}

// Close closes all idle connections.
func (p *Pool) Close() {
	close(p.stopped)
	p.mu.Lock()
	defer p.mu.Unlock()
	for a := range p.idle {
		p.closeAll(a)
	}
}

// Get returns an idle connection to addr, or a new one. With once set the
// connection is one that was used a moment ago, or new. With fresh set it is
// new.
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

// stale reports whether c was idle for too long for the next request.
func (p *Pool) stale(c *Conn, once bool) bool {
	idle := p.Clock.Now() - c.idleSince
	return (once && idle > p.freshIdle()) || (c.idleLimit > 0 && idle >= c.idleLimit)
}

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

// put keeps a connection whose exchange ended cleanly.
func (p *Pool) put(c *Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle[c.addr]) >= idlePerTarget {
		_ = c.Close()
		return
	}
	c.idleSince = p.Clock.Now()
	p.idle[c.addr] = append(p.idle[c.addr], c)
}

// Drop closes the idle connections to addr: one of them went silent, and the
// others are likely to have gone with it.
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
