package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	maxQueue          = 12
	healthPath        = "/health"
	heartbeatInterval = 1500 * time.Millisecond
)

// arrival is a request that an instance began to run.
type arrival struct {
	at            time.Time
	instance      *instance
	attempt, path string
}

// servers holds the instances of all services and what they ran.
type servers struct {
	*record
	controls []string
	// capacity is the number of requests that each instance runs at a time.
	capacity int

	mu       sync.Mutex
	arrivals []arrival
	losing   bool
	// started is the number of instances, losers that of those that may lose
	// answers.
	started, losers int
}

// The largest share of instances that lose answers, and the largest share of
// their answers that they lose, in the days of the users' small sites.
const (
	losers    = 0.6
	lostShare = 0.4
)

// loseAnswers begins or ends that some instances lose answers.
func (s *servers) loseAnswers(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.losing = on
}

// losesAnswer reports whether the instance loses the next answer.
func (i *instance) losesAnswer() bool {
	i.servers.mu.Lock()
	defer i.servers.mu.Unlock()
	return i.servers.losing && i.loser && rand.Float64() < lostShare
}

// instance is a stand-in for one instance of a service.
type instance struct {
	servers           *servers
	id, service, zone string
	addr              string
	born              int64
	sequence          atomic.Int64
	slots             chan struct{}
	waiting           atomic.Int32
	// loser is true if the instance is one of those that may lose answers.
	loser   bool
	control string
}

// startInstance starts an instance and its heartbeats.
func (s *servers) startInstance(id, service, zone string) (*instance, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	i := &instance{
		servers: s, id: id, service: service, zone: zone, addr: l.Addr().String(),
		born: time.Now().UnixMilli(), slots: make(chan struct{}, s.capacity),
	}
	s.mu.Lock()
	s.started++
	i.loser = float64(s.losers+1) <= losers*float64(s.started)
	if i.loser {
		s.losers++
	}
	s.mu.Unlock()
	s.printf("instance %s of %s in %s at %s", id, service, zone, i.addr)
	server := &http.Server{Handler: i, IdleTimeout: 10 * time.Second}
	go func() { _ = server.Serve(l) }()
	go i.heartbeats()
	return i, nil
}

// ServeHTTP serves a health check or runs a request.
func (i *instance) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h := w.Header()
	h.Set("Instance-Load", fmt.Sprintf("%d,%d,%d", len(i.slots), i.waiting.Load(), i.servers.capacity))
	if r.URL.Path == healthPath {
		h.Set("Instance-Id", i.id)
		w.WriteHeader(http.StatusOK)
		return
	}
	attempt := r.Header.Get("Attempt-Id")
	h.Set("Attempt-Id", attempt)
	if e := r.Header.Get("Expected-Instance"); e != "" && e != i.id {
		h.Set("Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	ctx, stop := context.WithTimeout(r.Context(), milliseconds(r.Header.Get("Deadline-Milliseconds"), 30000))
	defer stop()
	if !i.takeSlot(ctx) {
		h.Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer func() { <-i.slots }()
	i.servers.began(arrival{time.Now(), i, attempt, r.URL.Path})
	select {
	case <-time.After(work(r.URL.Path)):
	case <-ctx.Done():
		i.servers.printf("instance %s: request %s was broken off at work: %v", i.id, attempt, ctx.Err())
		if r.Context().Err() == nil {
			w.WriteHeader(http.StatusGatewayTimeout)
		}
		return
	}
	if i.losesAnswer() {
		i.servers.printf("instance %s: request %s done, its answer is lost", i.id, attempt)
		panic(http.ErrAbortHandler)
	}
	h.Set("Server-Seal", "seal."+attempt)
	_, _ = io.WriteString(w, "done by "+i.id+"\n")
	i.servers.printf("instance %s: request %s done", i.id, attempt)
}

// takeSlot waits in the queue for a slot. It returns false if the request was
// rejected or its time was over.
func (i *instance) takeSlot(ctx context.Context) bool {
	select {
	case i.slots <- struct{}{}:
		return true
	default:
	}
	if i.waiting.Add(1) > maxQueue {
		i.waiting.Add(-1)
		return false
	}
	defer i.waiting.Add(-1)
	select {
	case i.slots <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

func milliseconds(s string, fallback int) time.Duration {
	n, err := strconv.Atoi(s)
	if err != nil || n <= 0 {
		n = fallback
	}
	return time.Duration(n) * time.Millisecond
}

// work returns how long a request takes: the number of milliseconds at the end
// of its path.
func work(path string) time.Duration {
	return milliseconds(path[strings.LastIndexByte(path, '/')+1:], 50)
}

func (s *servers) began(a arrival) {
	s.printf("instance %s in %s runs %s %s", a.instance.id, a.instance.zone, a.attempt, a.path)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.arrivals = append(s.arrivals, a)
}

// runs returns what ran since a time.
func (s *servers) runs(since time.Time) []arrival {
	s.mu.Lock()
	defer s.mu.Unlock()
	var l []arrival
	for _, a := range s.arrivals {
		if !a.at.Before(since) {
			l = append(l, a)
		}
	}
	return l
}

// heartbeats announces the instance every heartbeatInterval.
func (i *instance) heartbeats() {
	for {
		i.heartbeat()
		time.Sleep(heartbeatInterval)
	}
}

// heartbeat announces the instance to its control process, or to the next ones
// until one of them acknowledges it.
func (i *instance) heartbeat() {
	l := i.servers.controls
	if i.control != "" {
		l = append([]string{i.control}, l...)
	}
	b := i.announcement()
	for _, a := range l {
		reply, err := post(a, "instances.heartbeat", i.id, b)
		if err != nil {
			i.control = ""
			continue
		}
		var x struct {
			Address string `json:"heartbeatAddress"`
		}
		if json.Unmarshal(reply, &x) == nil && x.Address != "" {
			i.control = x.Address
		}
		return
	}
}

func (i *instance) announcement() []byte {
	b, err := json.Marshal(map[string]any{
		"service": i.service, "address": i.addr, "zone": i.zone, "version": "v1", "capacity": i.servers.capacity, "state": "ready",
		"warmupRemainingMs": 0, "sequence": i.sequence.Add(1), "born": i.born,
	})
	if err != nil {
		panic(err)
	}
	return b
}

// callTimeout is how long instances and the operator wait for a response.
const callTimeout = time.Second

// post makes a call to a control process on a connection of its own, which it
// closes if no response comes in time.
func post(addr, call, subject string, body []byte) ([]byte, error) {
	c := http.Client{Timeout: callTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	u := "http://" + addr + "/-/rpc?call=" + call
	if subject != "" {
		u += "&of=" + url.QueryEscape(subject)
	}
	a, err := c.Post(u, "application/json", strings.NewReader(string(body)))
	if err != nil {
		return nil, err
	}
	defer a.Body.Close()
	b, err := io.ReadAll(a.Body)
	if err != nil {
		return nil, err
	}
	if a.StatusCode/100 != 2 {
		return nil, refused{a.StatusCode, strings.TrimSpace(string(b))}
	}
	return b, nil
}

// refused is the error of a call whose response is not a 2xx.
type refused struct {
	status int
	body   string
}

func (e refused) Error() string { return fmt.Sprintf("status %d: %s", e.status, e.body) }
