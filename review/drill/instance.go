package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// instance is the stand-in for an instance of the service.
type instance struct {
	world *world
	n     int
	addr  string
	// crashPath is the path of requests that crash the instance, empty if there is none.
	crashPath string
	// crashAfter is how long such a request runs before the crash.
	crashAfter time.Duration
	// capacity is the number of requests that it runs at a time.
	capacity int
	// slots, if set, holds a value for each request that runs: capacity of them. As many
	// wait, and further ones are rejected.
	slots chan struct{}
	// work draws the time that a request takes.
	work func() time.Duration
	// size is the least number of bytes of a response's body.
	size int
	// ran is called when a request begins to run.
	ran func(i *instance, r *http.Request, crash bool)

	mu       sync.Mutex
	id       string
	born     int64
	sequence int
	server   *http.Server
	stop     context.CancelFunc
	starts   int
	held     int
}

const (
	heartbeatInterval = 1500 * time.Millisecond
	// workTime and capacity are those of an instance that is told no others.
	workTime = 30 * time.Millisecond
	capacity = 8
	// backAfter is the time after a crash until the instance is back.
	backAfter = 3 * time.Second
)

func (w *world) newInstance(n int) *instance {
	return &instance{
		world: w, n: n, addr: fmt.Sprintf("%s%d:%d", w.net, 100+n, w.ports.instances), capacity: capacity,
		work: func() time.Duration { return workTime },
	}
}

// start starts an incarnation.
func (i *instance) start() error {
	l, err := net.Listen("tcp", i.addr)
	if err != nil {
		return err
	}
	ctx, stop := context.WithCancel(context.Background())
	i.mu.Lock()
	i.starts++
	i.id, i.born, i.sequence = fmt.Sprintf("i-%d-%d", i.n, i.starts), time.Now().UnixMilli(), 0
	i.stop = stop
	i.server = &http.Server{Handler: i, IdleTimeout: 10 * time.Second}
	s := i.server
	i.mu.Unlock()
	i.world.rec.line("instance %s starts at %s", i.id, i.addr)
	go func() { _ = s.Serve(l) }()
	go i.heartbeats(ctx)
	return nil
}

// end ends the incarnation without notice.
func (i *instance) end() {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.server != nil {
		i.stop()
		_ = i.server.Close()
		i.server = nil
	}
}

// crash ends the incarnation and starts another one after some seconds.
func (i *instance) crash() {
	i.world.rec.line("instance %s crashes", i.id)
	go func() {
		i.end()
		time.Sleep(backAfter)
		if err := i.start(); err != nil {
			i.world.rec.line("instance %d cannot start: %v", i.n, err)
		}
	}()
}

// heartbeats announces the instance until it ends.
func (i *instance) heartbeats(ctx context.Context) {
	for ctx.Err() == nil {
		i.mu.Lock()
		i.sequence++
		b, _ := json.Marshal(map[string]any{
			"service": service, "address": i.addr, "zone": "za", "version": "v1", "capacity": i.capacity, "state": "ready",
			"warmupRemainingMs": 0, "sequence": i.sequence, "born": i.born,
		})
		id := i.id
		i.mu.Unlock()
		l := i.world.operatorList()
		rand.Shuffle(len(l), func(a, b int) { l[a], l[b] = l[b], l[a] })
		for _, m := range l {
			s, _ := call(m, "instances.heartbeat", id, b)
			i.world.rec.line("instance %s: heartbeat to %s: %d", id, m.name, s)
			if s == http.StatusOK {
				break
			}
		}
		select {
		case <-ctx.Done():
		case <-time.After(heartbeatInterval):
		}
	}
}

// ServeHTTP serves a request.
func (i *instance) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	i.mu.Lock()
	id := i.id
	i.mu.Unlock()
	if r.URL.Path == healthPath {
		w.Header().Set("Instance-Id", id)
		w.WriteHeader(http.StatusOK)
		return
	}
	attempt := r.Header.Get("Attempt-Id")
	w.Header().Set("Attempt-Id", attempt)
	if x := r.Header.Get("Expected-Instance"); x != "" && x != id {
		w.Header().Set("Instance-Id", id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if i.slots != nil {
		if !i.admit() {
			w.Header().Set("Not-Executed", "1")
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		defer i.release()
	}
	crash := i.crashPath != "" && strings.HasPrefix(r.URL.Path, i.crashPath)
	i.world.rec.line("instance %s runs %s (%s %s) from %s", id, attempt, r.Method, r.URL.Path, r.RemoteAddr)
	if i.ran != nil {
		i.ran(i, r, crash)
	}
	if crash {
		time.Sleep(i.crashAfter)
		i.crash()
		panic(http.ErrAbortHandler)
	}
	_, _ = io.Copy(io.Discard, r.Body)
	select {
	case <-time.After(i.work()):
	case <-r.Context().Done():
		i.world.rec.line("instance %s: the connection of %s is closed while it works", id, attempt)
		return
	}
	b := responseBody(attempt, i.size)
	w.Header().Set("Server-Seal", fmt.Sprintf("%s.%d", id, len(b)))
	w.Header().Set("Keep-Alive", "timeout=10")
	w.Header().Set("Content-Length", fmt.Sprint(len(b)))
	if _, err := w.Write(b); err == nil && i.size > 0 {
		i.world.rec.line("instance %s has sent the whole response to %s", id, attempt)
	}
}

// admit waits for a slot. It reports false if too many requests wait already.
func (i *instance) admit() bool {
	i.mu.Lock()
	ok := i.held < 2*i.capacity
	if ok {
		i.held++
	}
	i.mu.Unlock()
	if ok {
		i.slots <- struct{}{}
	}
	return ok
}

// release frees the slot of a request.
func (i *instance) release() {
	<-i.slots
	i.mu.Lock()
	defer i.mu.Unlock()
	i.held--
}

// responseBody returns the body of the response to a request: its ID, as often as it
// takes to reach a size.
func responseBody(attempt string, size int) []byte {
	s := "body of " + attempt + "\n"
	return bytes.Repeat([]byte(s), max(1, (size+len(s)-1)/len(s)))
}
