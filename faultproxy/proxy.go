// Package faultproxy is a TCP proxy that injects network faults: it drops data
// in one or both directions, delays it, and silences open connections while new
// ones work.
package faultproxy

import (
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/carawayrack/carawayrack/clock"
)

// Proxy forwards connections to one address.
type Proxy struct {
	// Target is the address to forward connections to.
	Target string

	ln    net.Listener
	mu    sync.Mutex
	links map[*link]bool
	// cutTo drops the data sent to the target, cutFrom the data received from
	// it.
	cutTo, cutFrom bool
	delay          clock.Millis
}

// link is one connection through the proxy.
type link struct {
	proxy  *Proxy
	client net.Conn
	target net.Conn
	silent bool
}

const (
	bufferSize  = 32 << 10
	dialTimeout = time.Second
	// cutPollInterval is the interval at which a cut link checks whether the
	// cut has ended.
	cutPollInterval = 10 * time.Millisecond
)

// Run starts to listen on a free port of the loopback interface.
func (p *Proxy) Run() error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return errors.Wrap(err, "faultproxy.Run")
	}
	p.ln = l
	p.links = map[*link]bool{}
	go p.loop()
	return nil
}

// Addr returns the address to dial.
func (p *Proxy) Addr() string { return p.ln.Addr().String() }

// Cut drops the data sent to the target, the data received from it, or both,
// until the next call. Connections stay open and new ones can be opened.
func (p *Proxy) Cut(to, from bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cutTo, p.cutFrom = to, from
}

// Delay delays all data by a time, until the next call.
func (p *Proxy) Delay(d clock.Millis) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.delay = d
}

// SilenceOpen permanently drops all data on the connections that are open now.
func (p *Proxy) SilenceOpen() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for l := range p.links {
		l.silent = true
	}
}

// Close closes the listener and all connections.
func (p *Proxy) Close() {
	_ = p.ln.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	for l := range p.links {
		l.close()
	}
}

func (p *Proxy) loop() {
	for {
		c, err := p.ln.Accept()
		if err != nil {
			return
		}
		l := &link{proxy: p, client: c}
		go l.run()
	}
}

func (l *link) run() {
	f, err := net.DialTimeout("tcp", l.proxy.Target, dialTimeout)
	if err != nil {
		l.reset()
		return
	}
	l.target = f
	p := l.proxy
	p.mu.Lock()
	p.links[l] = true
	p.mu.Unlock()
	to := &pump{l, l.client, l.target, true}
	from := &pump{l, l.target, l.client, false}
	go to.run()
	from.run()
}

// reset closes the client's connection with a TCP reset, which is as close to a
// refused connection as an accepted one can get.
func (l *link) reset() {
	if t, ok := l.client.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = l.client.Close()
}

func (l *link) close() {
	_ = l.client.Close()
	if l.target != nil {
		_ = l.target.Close()
	}
}

// pump copies data in one direction of a link.
type pump struct {
	link     *link
	from, to net.Conn
	toTarget bool
}

func (u *pump) run() {
	b := make([]byte, bufferSize)
	for {
		n, err := u.from.Read(b)
		if n > 0 && u.delayOrDrop() {
			if _, werr := u.to.Write(b[:n]); werr != nil {
				break
			}
		}
		if err != nil {
			break
		}
	}
	u.forwardClose()
}

// delayOrDrop waits for the delay and reports whether to forward the data that
// was read. Data on a silent or cut link is dropped.
func (u *pump) delayOrDrop() bool {
	p := u.link.proxy
	p.mu.Lock()
	d := p.delay
	drop := u.drops()
	p.mu.Unlock()
	time.Sleep(d.Duration())
	return !drop
}

// drops reports whether the link drops data in this direction. The caller holds
// mu.
func (u *pump) drops() bool {
	p := u.link.proxy
	if u.link.silent {
		return true
	}
	if u.toTarget {
		return p.cutTo
	}
	return p.cutFrom
}

// forwardClose forwards the end of the stream: on a cut link once the cut ends,
// on a silent link never.
func (u *pump) forwardClose() {
	p := u.link.proxy
	for {
		p.mu.Lock()
		drop := u.drops()
		silent := u.link.silent
		p.mu.Unlock()
		if !drop {
			break
		}
		if silent {
			return
		}
		time.Sleep(cutPollInterval)
	}
	if t, ok := u.to.(*net.TCPConn); ok {
		_ = t.CloseWrite()
	}
	if !u.toTarget {
		u.link.close()
		p.mu.Lock()
		delete(p.links, u.link)
		p.mu.Unlock()
	}
}
