// Package standin is a stand-in for the users' targets. It announces itself,
// bears a number of concurrent requests that is smaller in a cold start,
// counts what it gets, and misbehaves on demand.
package standin

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/carawayrack/carawayrack/clock"
	"github.com/carawayrack/carawayrack/slots"
)

// Target is one stand-in target.
type Target struct {
	Name    string
	Service string
	Zone    string
	// Admin are the administration addresses of hosts to announce to.
	Admin  []string
	Secret string
	Slots  int
	// ColdSlots is what the target bears in a cold start, which lasts for
	// ColdFor and makes each request ColdFactor times slower.
	ColdSlots int
	ColdFor   clock.Millis
	// Work is the time that a request takes.
	Work clock.Millis
	// AnnouncedAddr replaces the address that the target announces.
	AnnouncedAddr func(addr string) string

	mu          sync.Mutex
	fault       Fault
	stats       Stats
	running     int
	coldUntil   clock.Millis
	coldSince   clock.Millis
	silentCold  bool
	leaving     bool
	leftAt      clock.Millis
	incarnation int
	addr        string
	server      *http.Server
	listener    net.Listener
	conns       map[net.Conn]bool
	stopped     chan struct{}
	down        atomic.Bool
	clock       clock.Clock
}

const (
	coldFactor       = 4
	announceInterval = 500 * time.Millisecond
	restartAfter     = 300 * time.Millisecond
	// leaveGrace is the time after which a leaving target counts new work.
	leaveGrace = 3 * clock.Second
	// silentGrace is the time after a fall back into a cold start, of which
	// nobody is told, before excess requests count.
	silentGrace = 1 * clock.Second
)

// Run starts the target with a cold start.
func (t *Target) Run() error {
	t.stopped = make(chan struct{})
	t.conns = map[net.Conn]bool{}
	t.stats.Executions = map[string]int{}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return errors.Wrap(err, "standin.Run")
	}
	t.addr = l.Addr().String()
	t.boot(l)
	go t.loop()
	return nil
}

// Addr returns the address that the target serves.
func (t *Target) Addr() string { return t.addr }

func (t *Target) boot(l net.Listener) {
	t.mu.Lock()
	t.incarnation++
	t.running = 0
	t.goCold(false)
	t.listener = l
	t.server = &http.Server{Handler: http.HandlerFunc(t.serve), ConnState: t.track}
	s := t.server
	t.mu.Unlock()
	t.down.Store(false)
	r := &runner{s, l}
	go r.run()
}

type runner struct {
	server   *http.Server
	listener net.Listener
}

func (r *runner) run() {
	// Serve ends with the listener; the target is told by other means.
	_ = r.server.Serve(r.listener)
}

// goCold starts a cold start; the caller holds mu.
func (t *Target) goCold(silent bool) {
	t.coldSince = t.clock.Now()
	t.coldUntil = t.coldSince + t.ColdFor
	t.silentCold = silent
}

func (t *Target) track(c net.Conn, s http.ConnState) {
	t.mu.Lock()
	defer t.mu.Unlock()
	switch s {
	case http.StateNew:
		t.conns[c] = true
		t.stats.MaxConnections = max(t.stats.MaxConnections, len(t.conns))
	case http.StateClosed, http.StateHijacked:
		delete(t.conns, c)
	}
}

// Crash ends the target's process: its connections are reset. It comes back
// after a moment with a cold start.
func (t *Target) Crash() {
	if t.down.Swap(true) {
		return
	}
	t.mu.Lock()
	t.stats.Crashes++
	s, l := t.server, t.listener
	for c := range t.conns {
		if x, ok := c.(*net.TCPConn); ok {
			_ = x.SetLinger(0)
		}
	}
	t.mu.Unlock()
	_ = l.Close()
	_ = s.Close()
	go t.run()
}

// run brings a crashed target back on its address.
func (t *Target) run() {
	for {
		select {
		case <-t.stopped:
			return
		case <-time.After(restartAfter):
		}
		if l, err := net.Listen("tcp", t.addr); err == nil {
			t.boot(l)
			return
		}
	}
}

// RestartColdSilently puts the target back into a cold start without a word.
func (t *Target) RestartColdSilently() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.goCold(true)
}

// Leave announces that the target leaves.
func (t *Target) Leave() {
	t.mu.Lock()
	t.leaving = true
	t.leftAt = t.clock.Now()
	t.mu.Unlock()
	t.announce()
}

// SetFault switches faults on and off.
func (t *Target) SetFault(f Fault) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.fault = f
}

// Stats returns what the target has counted.
func (t *Target) Stats() Stats {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.stats
	s.Executions = map[string]int{}
	for k, v := range t.stats.Executions {
		s.Executions[k] = v
	}
	s.Arrivals = append([]Arrival(nil), t.stats.Arrivals...)
	s.Cold = t.isCold()
	return s
}

// Close ends the target for good.
func (t *Target) Close() {
	t.down.Store(true)
	close(t.stopped)
	t.mu.Lock()
	s := t.server
	t.mu.Unlock()
	c, cancel := context.WithCancel(context.Background())
	cancel()
	_ = s.Shutdown(c)
	_ = s.Close()
}

func (t *Target) isCold() bool { return t.clock.Now() < t.coldUntil }

// announcement is what the target says of itself.
func (t *Target) announcement() slots.Announcement {
	t.mu.Lock()
	defer t.mu.Unlock()
	a := slots.Announcement{
		Service: t.Service, Target: t.Name, Addr: t.addr, Zone: t.Zone,
		Incarnation: fmt.Sprint(t.Name, "-", t.incarnation), Slots: t.Slots, ColdSlots: t.ColdSlots,
		Connections: 400, State: slots.Ready,
	}
	if t.AnnouncedAddr != nil {
		a.Addr = t.AnnouncedAddr(t.addr)
	}
	if t.isCold() && !t.silentCold && !t.fault.LagHealth {
		a.State = slots.Cold
	}
	if t.leaving {
		a.State = slots.Leaving
	}
	return a
}
