// Package standin runs stand-in targets for tests and experiments. A target
// announces itself and the number of concurrent requests that it can handle
// (fewer in a cold start), counts what it receives, also beyond that number, and
// shows faults on demand.
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
	// Admin holds the administration addresses of the hosts to announce to.
	Admin []string
	// Secret authenticates the announcements.
	Secret string
	Slots  int
	// ColdSlots is the number of concurrent requests that the target can handle
	// in a cold start. A cold start lasts for ColdFor and makes each request
	// coldFactor times slower.
	ColdSlots int
	ColdFor   clock.Millis
	// Work is the duration of a request without the query parameter "work".
	Work clock.Millis
	// AnnouncedAddr maps the address of the target to the one it announces; nil
	// leaves it as it is.
	AnnouncedAddr func(addr string) string

	mu              sync.Mutex
	fault           Fault
	stats           Stats
	running         int
	coldUntil       clock.Millis
	coldSince       clock.Millis
	coldUnannounced bool
	leaving         bool
	leftAt          clock.Millis
	incarnation     int
	addr            string
	server          *http.Server
	listener        net.Listener
	conns           map[net.Conn]bool
	stopped         chan struct{}
	down            atomic.Bool
	clock           clock.Clock
}

const (
	coldFactor       = 4
	announceInterval = 500 * time.Millisecond
	restartAfter     = 300 * time.Millisecond
	// leaveGracePeriod is the time from the announcement that the target leaves
	// until new requests count in AfterLeave.
	leaveGracePeriod = 3 * clock.Second
	// unannouncedColdGrace is the time from the beginning of an unannounced cold
	// start until excess requests count.
	unannouncedColdGrace = 1 * clock.Second
)

// Run starts the target with a cold start. It returns an error if no port can be
// listened on.
func (t *Target) Run() error {
	t.stopped = make(chan struct{})
	t.conns = map[net.Conn]bool{}
	t.stats.Executions = map[string]int{}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return errors.Wrap(err, "standin.Run")
	}
	t.addr = l.Addr().String()
	t.startServer(l)
	go t.loop()
	return nil
}

// Addr returns the address that the target serves.
func (t *Target) Addr() string { return t.addr }

func (t *Target) startServer(l net.Listener) {
	t.mu.Lock()
	t.incarnation++
	t.running = 0
	t.startCold(false)
	t.listener = l
	t.server = &http.Server{Handler: http.HandlerFunc(t.serve), ConnState: t.trackConnection}
	s := t.server
	t.mu.Unlock()
	t.down.Store(false)
	r := &runner{s, l}
	go r.run()
}

// runner runs an HTTP server in the background.
type runner struct {
	server   *http.Server
	listener net.Listener
}

func (r *runner) run() {
	// Serve returns an error when Crash or Close closes the listener.
	_ = r.server.Serve(r.listener)
}

// startCold begins a cold start. The caller holds mu.
func (t *Target) startCold(unannounced bool) {
	t.coldSince = t.clock.Now()
	t.coldUntil = t.coldSince + t.ColdFor
	t.coldUnannounced = unannounced
}

func (t *Target) trackConnection(c net.Conn, s http.ConnState) {
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

// Crash simulates the crash of the target's process: it resets the connections,
// and the target restarts after restartAfter with a cold start.
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

// run restarts a crashed target on its address.
func (t *Target) run() {
	for {
		select {
		case <-t.stopped:
			return
		case <-time.After(restartAfter):
		}
		if l, err := net.Listen("tcp", t.addr); err == nil {
			t.startServer(l)
			return
		}
	}
}

// BeginUnannouncedColdStart begins a cold start that the target does not
// announce. Connections and requests in flight continue.
func (t *Target) BeginUnannouncedColdStart() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.startCold(true)
}

// Leave announces that the target leaves.
func (t *Target) Leave() {
	t.mu.Lock()
	t.leaving = true
	t.leftAt = t.clock.Now()
	t.mu.Unlock()
	t.announce()
}

// SetFault replaces the faults of the target.
func (t *Target) SetFault(f Fault) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.fault = f
}

// Stats returns a copy of the target's counts.
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

// Close stops the target permanently.
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

// announcement returns the current announcement of the target.
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
	if t.isCold() && !t.coldUnannounced && !t.fault.LagHealth {
		a.State = slots.Cold
	}
	if t.leaving {
		a.State = slots.Leaving
	}
	return a
}
