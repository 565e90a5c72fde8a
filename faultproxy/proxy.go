// Package faultproxy is a TCP proxy that loses, delays and forgets: it cuts a
// link in one direction, and makes open connections go silent while new ones
// work.
package faultproxy

import (
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/carawayrack/carawayrack/clock"
)

// Proxy passes connections on to one address.
type Proxy struct {
	// Target is the address to pass connections on to.
	Target string

	ln    net.Listener
	mu    sync.Mutex
	links map[*link]bool
	// cutTo and cutFrom drop what goes to the target and what comes from it.
	cutTo, cutFrom bool
	delay          clock.Millis
}

// link is one connection through the proxy.
type link struct {
	proxy    *Proxy
	near     net.Conn
	far      net.Conn
	silenced bool
}

const (
	bufferSize  = 32 << 10
	dialTimeout = time.Second
	// cutPause is how often a cut link looks whether it has healed.
	cutPause = 10 * time.Millisecond
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

// Cut drops what goes to the target, and what comes from it, until the next
// call. Connections stay open and can be opened, but nothing passes.
func (p *Proxy) Cut(to, from bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cutTo, p.cutFrom = to, from
}

// Delay holds everything back for a time.
func (p *Proxy) Delay(d clock.Millis) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.delay = d
}

// SilenceOpen makes the connections that are open now silent for good.
func (p *Proxy) SilenceOpen() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for l := range p.links {
		l.silenced = true
	}
}

// Close ends the proxy and its connections.
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
		l := &link{proxy: p, near: c}
		go l.run()
	}
}

func (l *link) run() {
	f, err := net.DialTimeout("tcp", l.proxy.Target, dialTimeout)
	if err != nil {
		l.reset()
		return
	}
	l.far = f
	p := l.proxy
	p.mu.Lock()
	p.links[l] = true
	p.mu.Unlock()
	to := &pump{l, l.near, l.far, true}
	from := &pump{l, l.far, l.near, false}
	go to.run()
	from.run()
}

// reset refuses the connection the way a closed port does, as far as an
// accepted connection can.
func (l *link) reset() {
	if t, ok := l.near.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = l.near.Close()
}

func (l *link) close() {
	_ = l.near.Close()
	if l.far != nil {
		_ = l.far.Close()
	}
}

// pump passes bytes on in one direction.
type pump struct {
	link     *link
	from, to net.Conn
	toTarget bool
}

func (u *pump) run() {
	b := make([]byte, bufferSize)
	for {
		n, err := u.from.Read(b)
		if n > 0 && u.pass() {
			if _, werr := u.to.Write(b[:n]); werr != nil {
				break
			}
		}
		if err != nil {
			break
		}
	}
	u.end()
}

// pass reports whether bytes may go on, after the delay. Bytes on a silenced
// or cut link are lost.
func (u *pump) pass() bool {
	p := u.link.proxy
	p.mu.Lock()
	d := p.delay
	lost := u.lost()
	p.mu.Unlock()
	time.Sleep(d.Duration())
	return !lost
}

// lost reports whether bytes are lost; the caller holds mu.
func (u *pump) lost() bool {
	p := u.link.proxy
	if u.link.silenced {
		return true
	}
	if u.toTarget {
		return p.cutTo
	}
	return p.cutFrom
}

// end passes the end of the stream on, unless the link is cut: then the other
// side hears nothing of it until the cut ends.
func (u *pump) end() {
	p := u.link.proxy
	for {
		p.mu.Lock()
		lost := u.lost()
		silenced := u.link.silenced
		p.mu.Unlock()
		if !lost {
			break
		}
		if silenced {
			return
		}
		time.Sleep(cutPause)
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
