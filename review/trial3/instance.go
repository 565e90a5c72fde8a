package trial3

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Run is one request that an instance began to work on.
type Run struct {
	Instance string
	At       time.Time
	ID       string
	Tenant   string
	Path     string
	Key      string
}

// Instance is a stand-in for an instance of a service. It follows the users' pages.
type Instance struct {
	ID, Service, Zone string
	Slots             int
	Work              time.Duration
	// Crash reports whether a request crashes the instance as it begins to run.
	Crash func(r *http.Request) bool
	// ReadRate is the number of bytes a second that the instance reads of a body, 0 for
	// no bound.
	ReadRate int
	// Back is the time after a crash at which the instance starts again under its id.
	Back time.Duration

	fleet    *Fleet
	addr     string
	mu       sync.Mutex
	server   *http.Server
	born     int64
	sequence int
	runs     []Run
	ended    bool
	running  atomic.Int32
}

// AddInstance starts an instance with an address of its own.
func (f *Fleet) AddInstance(x *Instance) error {
	x.fleet = f
	ip := fmt.Sprintf("127.%d.3.%d", f.net, len(f.Instances)+1)
	l, err := x.listen(ip + ":0")
	if err != nil {
		return err
	}
	x.addr = l.Addr().String()
	f.Instances = append(f.Instances, x)
	x.serve(l)
	go x.beats()
	return nil
}

// listen listens on an address. An instance that reads slowly has small buffers.
func (x *Instance) listen(addr string) (net.Listener, error) {
	var c net.ListenConfig
	if x.ReadRate > 0 {
		c.Control = func(_, _ string, s syscall.RawConn) error {
			return s.Control(func(fd uintptr) { _ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 64<<10) })
		}
	}
	return c.Listen(context.Background(), "tcp", addr)
}

// pacedReader reads at a bounded rate.
type pacedReader struct {
	source io.Reader
	rate   int
}

// Read reads into b.
func (p *pacedReader) Read(b []byte) (int, error) {
	n, err := p.source.Read(b[:min(len(b), 16<<10)])
	time.Sleep(time.Duration(n) * time.Second / time.Duration(p.rate))
	return n, err
}

func (x *Instance) serve(l net.Listener) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.born, x.sequence = time.Now().UnixMilli(), 0
	x.running.Store(0)
	x.server = &http.Server{Handler: x}
	go func(s *http.Server) { _ = s.Serve(l) }(x.server)
}

// beats sends heartbeats while the instance is up.
func (x *Instance) beats() {
	for i := 0; ; i++ {
		x.mu.Lock()
		if x.ended {
			x.mu.Unlock()
			return
		}
		up := x.server != nil
		x.sequence++
		b, _ := json.Marshal(map[string]any{
			"service": x.Service, "address": x.addr, "zone": x.Zone, "version": "v1", "capacity": x.Slots, "state": "ready",
			"warmupRemainingMs": 0, "sequence": x.sequence, "born": x.born,
		})
		x.mu.Unlock()
		if !up {
			time.Sleep(20 * time.Millisecond)
			continue
		}
		status, _ := x.fleet.call("instances.heartbeat", x.ID, b, 3)
		if status/100 != 2 {
			time.Sleep(200 * time.Millisecond)
			continue
		}
		for range 75 {
			time.Sleep(20 * time.Millisecond)
			x.mu.Lock()
			restarted := x.server == nil || x.sequence == 0
			x.mu.Unlock()
			if restarted {
				break
			}
		}
	}
}

// crash ends the instance with all its connections. It starts again after Back.
func (x *Instance) crash() {
	x.mu.Lock()
	s := x.server
	x.server = nil
	x.mu.Unlock()
	if s == nil {
		return
	}
	_ = s.Close()
	x.fleet.Record.Note("instance %s crashes", x.ID)
	go func() {
		time.Sleep(x.Back)
		for {
			l, err := x.listen(x.addr)
			if err != nil {
				time.Sleep(50 * time.Millisecond)
				continue
			}
			x.serve(l)
			x.fleet.Record.Note("instance %s has started again under its id", x.ID)
			return
		}
	}()
}

// End ends the instance for good.
func (x *Instance) End() {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.ended = true
	if x.server != nil {
		_ = x.server.Close()
	}
}

// Runs returns the requests that the instance began to work on.
func (x *Instance) Runs() []Run {
	x.mu.Lock()
	defer x.mu.Unlock()
	return append([]Run(nil), x.runs...)
}

// AllRuns returns the runs at all instances.
func (f *Fleet) AllRuns() []Run {
	var l []Run
	for _, x := range f.Instances {
		l = append(l, x.Runs()...)
	}
	return l
}

// ServeHTTP answers a request.
func (x *Instance) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h := w.Header()
	h.Set("Instance-Id", x.ID)
	if r.URL.Path == "/health" {
		return
	}
	id := r.Header.Get("Attempt-Id")
	h.Set("Attempt-Id", id)
	if e := r.Header.Get("Expected-Instance"); e != "" && e != x.ID {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if n := x.running.Add(1); int(n) > x.Slots {
		x.running.Add(-1)
		h.Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer x.running.Add(-1)
	h.Set("Instance-Load", fmt.Sprintf("%d,0,%d", x.running.Load(), x.Slots))
	body := io.Reader(r.Body)
	if x.ReadRate > 0 {
		body = &pacedReader{r.Body, x.ReadRate}
	}
	_, err := io.Copy(io.Discard, body)
	if err != nil {
		// The request never arrived in full, so it does not run.
		return
	}
	x.mu.Lock()
	x.runs = append(x.runs, Run{x.ID, time.Now(), id, r.Header.Get("Tenant"), r.URL.Path, r.Header.Get("X-Api-Key")})
	x.mu.Unlock()
	x.fleet.Record.Note("instance %s runs %s %s, tenant %q", x.ID, id, r.URL.Path, r.Header.Get("Tenant"))
	if x.Crash != nil && x.Crash(r) {
		x.crash()
		panic(http.ErrAbortHandler)
	}
	time.Sleep(x.Work)
	b := []byte("result of " + id)
	h.Set("Server-Seal", "seal-"+id)
	h.Set("Content-Length", strconv.Itoa(len(b)))
	_, _ = w.Write(b)
}
