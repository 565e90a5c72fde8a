package soak

import (
	"fmt"
	"math/rand"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/carawayrack/carawayrack/catalog"
	"github.com/carawayrack/carawayrack/clock"
	"github.com/carawayrack/carawayrack/faultproxy"
	"github.com/carawayrack/carawayrack/platform"
)

const (
	service        = "orders"
	targetSlots    = 4
	workTime       = 20 * time.Millisecond
	announceEvery  = 300 * time.Millisecond
	announceWithin = time.Second
	// serveAfter is how long a target serves after a control process has
	// acknowledged its departure. It is longer than drainWithin, so that late
	// requests are recorded.
	serveAfter = 3 * time.Second
	// targetHeader holds the ID of the target in its responses.
	targetHeader = "Soak-Target"
	// A target begins with one of busyEvery requests a time in which it turns all
	// away and asks for a pause until its end: minBusy to maxBusy.
	busyEvery = 150
	minBusy   = 1 * clock.Second
	maxBusy   = 3 * clock.Second
)

// target is a stand-in target behind a fault proxy.
type target struct {
	spec   catalog.Target
	ledger *Ledger
	cores  []string
	proxy  *faultproxy.Proxy
	server *http.Server
	seed   int64

	running atomic.Int32
	// gray makes the target cut the connections of some requests before and of
	// some after their execution.
	gray    atomic.Bool
	leaving atomic.Bool
	// busyUntil is the end of the time in which the target turns all requests away,
	// by the clock of the ledger.
	busyUntil atomic.Int64
	stopped   chan struct{}
}

func (t *target) start() error {
	n, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return errors.Wrap(err, "soak.target")
	}
	t.proxy = &faultproxy.Proxy{Target: n.Addr().String()}
	if err := t.proxy.Run(); err != nil {
		return err
	}
	t.spec.Addr = t.proxy.Addr()
	t.spec.Born = time.Now().UnixMilli()
	t.spec.Service, t.spec.Slots, t.spec.Phase = service, targetSlots, catalog.Serving
	t.stopped = make(chan struct{})
	t.server = &http.Server{Handler: t}
	go t.run(n)
	go t.loop()
	return nil
}

func (t *target) run(n net.Listener) {
	// Serve always returns an error after the server is closed.
	_ = t.server.Serve(n)
}

// loop announces the target until it has left or is stopped.
func (t *target) loop() {
	r := rand.New(rand.NewSource(t.seed))
	c := platform.Client{HTTP: &http.Client{Timeout: announceWithin}}
	for {
		t.spec.Number++
		a := t.spec
		if t.leaving.Load() {
			a.Phase = catalog.Leaving
		}
		// Each announcement goes to a control process chosen at random, so that
		// failed ones need no retry.
		err := c.Announce(t.cores[r.Intn(len(t.cores))], a)
		if err == nil && a.Phase == catalog.Leaving {
			t.ledger.leave(a.ID)
			time.Sleep(serveAfter)
			t.close()
			return
		}
		select {
		case <-t.stopped:
			return
		case <-time.After(announceEvery):
		}
	}
}

func (t *target) close() {
	_ = t.server.Close()
	t.proxy.Close()
}

func (t *target) stop() {
	close(t.stopped)
	t.close()
}

// ServeHTTP executes one request. It rejects requests for another target, and
// those beyond the target's slots.
func (t *target) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h := platform.Headers()
	id := r.Header.Get(h.RequestID)
	w.Header().Set(h.RequestID, id)
	w.Header().Set(targetHeader, t.spec.ID)
	if t.leaving.Load() {
		w.Header().Set(h.Leaving, "1")
	}
	if r.Header.Get(h.ExpectedTarget) != t.spec.ID {
		w.Header().Set(h.NotRun, "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	t.ledger.arrive(t.spec.ID, id)
	if r.Header.Get(h.Key) != "" {
		t.ledger.violate("key", "request %s reached a target with the caller's key", id)
	}
	if t.askForPause(w, id) {
		return
	}
	if t.running.Add(1) > targetSlots {
		t.running.Add(-1)
		w.Header().Set(h.NotRun, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer t.running.Add(-1)
	// outcome 1 cuts the connection before the execution, 2 after it.
	outcome := 0
	if t.gray.Load() {
		outcome = rand.Intn(3)
	}
	if outcome == 1 {
		panic(http.ErrAbortHandler)
	}
	t.ledger.execute(id, t.spec.ID, r.Header.Get(h.Account))
	time.Sleep(workTime)
	w.Header().Set(h.Seal, "seal-"+id)
	w.Header().Set(h.Load, fmt.Sprintf("%d,0,%d", t.running.Load(), targetSlots))
	if t.serveLarge(w, r, id, outcome == 2) {
		return
	}
	if outcome == 2 {
		panic(http.ErrAbortHandler)
	}
	// The caller may have closed the connection.
	_, _ = fmt.Fprint(w, bodyOf(id))
}

// askForPause turns a request away while the target is busy, which begins at random.
// It reports whether it did.
func (t *target) askForPause(w http.ResponseWriter, id string) bool {
	now := t.ledger.now()
	if rand.Intn(busyEvery) == 0 {
		t.busyUntil.CompareAndSwap(0, int64(now+minBusy)+rand.Int63n(int64(maxBusy-minBusy)))
	}
	left := clock.Millis(t.busyUntil.Load()) - now
	if left <= 0 {
		t.busyUntil.Store(0)
		return false
	}
	w.Header().Set(platform.Headers().NotRun, "1")
	w.Header().Set("Retry-After", strconv.FormatFloat(float64(left)/float64(clock.Second), 'f', 3, 64))
	t.ledger.askForPause(id, t.spec.ID, left)
	w.WriteHeader(http.StatusServiceUnavailable)
	return true
}

// bodyOf returns the body of the response to a request.
func bodyOf(id string) string { return "answer to " + id }
