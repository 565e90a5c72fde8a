package standin

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"github.com/carawayrack/carawayrack/clock"
	"github.com/carawayrack/carawayrack/slots"
)

// Response is the body of a target's response.
type Response struct {
	Target    string `json:"target"`
	RequestID string `json:"requestId"`
	Echo      string `json:"echo"`
	// Received is the size of the request's body in bytes, Digest its SHA-256
	// in hexadecimal.
	Received int64  `json:"received"`
	Digest   string `json:"digest"`
	Padding  string `json:"padding,omitempty"`
}

var processStart = time.Now()

// serve handles one request. Its query parameters are work (duration in
// milliseconds), size (bytes of padding in the response), order (name under
// which the execution is counted), crash, account and echo.
func (t *Target) serve(w http.ResponseWriter, r *http.Request) {
	f, ok := t.admit(r)
	if !ok {
		w.Header().Set("X-Not-Run", "true")
		w.Header().Set("Retry-After", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	v := &execution{target: t}
	defer v.finish()
	q := r.URL.Query()
	if q.Get("crash") != "" {
		t.Crash()
		panic(http.ErrAbortHandler)
	}
	h := sha256.New()
	n, err := io.Copy(h, r.Body)
	if err != nil {
		t.count(func(s *Stats) { s.PartialUploads++ })
		panic(http.ErrAbortHandler)
	}
	if !t.work(r, f) {
		panic(http.ErrAbortHandler)
	}
	if f.ErrorPercent > rand.IntN(100) {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	t.count(func(s *Stats) {
		s.Served++
		if o := q.Get("order"); o != "" {
			s.Executions[o]++
		}
	})
	a := Response{Target: t.Name, RequestID: r.Header.Get("X-Request-Id"), Echo: q.Get("echo"), Received: n, Digest: hex.EncodeToString(h.Sum(nil))}
	v.respond(w, r, a, f)
}

// execution is one admitted request.
type execution struct {
	target   *Target
	finished bool
}

func (v *execution) respond(w http.ResponseWriter, r *http.Request, a Response, f Fault) {
	if n, err := strconv.Atoi(r.URL.Query().Get("size")); err == nil && n > 0 {
		a.Padding = string(bytes.Repeat([]byte("x"), n))
	}
	b, err := json.Marshal(a)
	if err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(b)))
	if f.CutPercent > rand.IntN(100) {
		_, _ = w.Write(b[:len(b)/2])
		panic(http.ErrAbortHandler)
	}
	// The request must be counted as finished before its last byte is written:
	// the host may read that byte and send the next request before this
	// function returns. Write errors mean that the host closed the connection.
	last := len(b) - 1
	_, _ = w.Write(b[:last])
	v.finish()
	_, _ = w.Write(b[last:])
}

// admit counts an arriving request and reports whether it is admitted. Only a
// target in a cold start rejects requests beyond its capacity.
func (t *Target) admit(r *http.Request) (Fault, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	s := &t.stats
	s.Arrivals = append(s.Arrivals, Arrival{time.Since(processStart).Microseconds(), r.URL.Query().Get("account")})
	if r.Header.Get("Authorization") != "" {
		s.KeysSeen++
	}
	if t.leaving && now > t.leftAt+leaveGracePeriod {
		s.AfterLeave++
	}
	capacity := t.Slots
	if t.isCold() {
		capacity = t.ColdSlots
	}
	if t.running >= capacity {
		switch {
		case !t.isCold() || !t.coldUnannounced:
			s.OverCapacity++
		case now > t.coldSince+unannouncedColdGrace:
			s.OverCapacityUnannounced++
		}
		if t.isCold() {
			return t.fault, false
		}
	}
	t.running++
	s.MaxRunning = max(s.MaxRunning, t.running)
	return t.fault, true
}

// finish counts the request as finished. Further calls do nothing.
func (v *execution) finish() {
	if v.finished {
		return
	}
	v.finished = true
	t := v.target
	t.mu.Lock()
	defer t.mu.Unlock()
	t.running = max(t.running-1, 0)
}

func (t *Target) count(f func(*Stats)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	f(&t.stats)
}

// work waits for the duration of the request. It reports false if the request
// was cancelled or the target was closed.
func (t *Target) work(r *http.Request, f Fault) bool {
	d := t.Work
	if n, err := strconv.Atoi(r.URL.Query().Get("work")); err == nil {
		d = clock.Millis(n)
	}
	t.mu.Lock()
	if t.isCold() {
		d *= coldFactor
	}
	t.mu.Unlock()
	d += f.Slow
	c := time.After(d.Duration())
	if f.Hang {
		c = nil
	}
	select {
	case <-c:
		return true
	case <-r.Context().Done():
		return false
	case <-t.stopped:
		return false
	}
}

// loop announces the target.
func (t *Target) loop() {
	for {
		t.announce()
		select {
		case <-t.stopped:
			return
		case <-time.After(announceInterval):
		}
	}
}

var announcer = &http.Client{Timeout: time.Second}

// announce sends the target's announcement to hosts in random order until one
// accepts it.
func (t *Target) announce() {
	t.mu.Lock()
	mute := t.fault.Mute
	t.mu.Unlock()
	if mute || t.down.Load() {
		return
	}
	b, err := json.Marshal(t.announcement())
	if err != nil {
		return
	}
	k := rand.IntN(len(t.Admin))
	for i := range t.Admin {
		if t.put(t.Admin[(k+i)%len(t.Admin)], b) {
			return
		}
	}
}

func (t *Target) put(admin string, b []byte) bool {
	r, err := http.NewRequest(http.MethodPut, "http://"+admin+"/targets/"+t.Name, bytes.NewReader(b))
	if err != nil {
		return false
	}
	r.Header.Set("Authorization", "Bearer "+t.Secret)
	p, err := announcer.Do(r)
	if err != nil {
		return false
	}
	_ = p.Body.Close()
	return p.StatusCode == http.StatusNoContent
}

// AnnouncedState returns the state that the target announces.
func (t *Target) AnnouncedState() slots.State { return t.announcement().State }
