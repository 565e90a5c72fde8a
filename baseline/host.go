package baseline

import (
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/carawayrack/carawayrack/refusal"
	"github.com/carawayrack/carawayrack/slots"
)

// host is an entry host that does not coordinate with others.
type host struct {
	fleet  *Fleet
	addr   string
	server *http.Server
	client *http.Client

	mu      sync.Mutex
	buckets map[string]*bucket
	running map[string]int
	failed  map[string]int
	ejected map[string]time.Time
}

// bucket is the host's share of an account's rate and burst.
type bucket struct {
	perSecond, burst, tokens float64
	refilledAt               time.Time
}

const (
	failuresToEject  = 5
	ejectFor         = 10 * time.Second
	slotPollInterval = 5 * time.Millisecond
	maxSlotWaits     = 400
	idlePerTarget    = 8
)

func newHost(f *Fleet) *host {
	h := &host{
		fleet: f, client: &http.Client{Timeout: ejectFor, Transport: &http.Transport{MaxIdleConnsPerHost: idlePerTarget}},
		buckets: map[string]*bucket{}, running: map[string]int{}, failed: map[string]int{}, ejected: map[string]time.Time{},
	}
	for _, a := range f.Configuration.Accounts {
		n := float64(f.Hosts)
		h.buckets[a.Name] = &bucket{perSecond: float64(a.RatePerMinute) / 60 / n, burst: max(float64(a.Burst)/n, 1), refilledAt: time.Now()}
	}
	return h
}

// ServeHTTP handles one request.
func (h *host) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/addresses" {
		h.fleet.addresses(w)
		return
	}
	key := strings.TrimPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !h.admit(h.fleet.Keys[key]) {
		refusal.New(refusal.RateExceeded, "").Write(w)
		return
	}
	service := h.route(r.URL.Path)
	for k := 0; k < maxSlotWaits; k++ {
		if t, ok := h.pick(service); ok {
			h.forward(w, r, t)
			return
		}
		time.Sleep(slotPollInterval)
	}
	refusal.New(refusal.NoCapacity, "").Write(w)
}

func (h *host) route(path string) string {
	for _, r := range h.fleet.Configuration.Routes {
		if strings.HasPrefix(path, r.Prefix) {
			return r.Service
		}
	}
	return ""
}

func (h *host) admit(account string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	b := h.buckets[account]
	if b == nil {
		return false
	}
	now := time.Now()
	b.tokens = min(b.tokens+now.Sub(b.refilledAt).Seconds()*b.perSecond, b.burst)
	b.refilledAt = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// pick picks a target and counts a request in flight at it. It reports false if
// no target is healthy or, with TwoChoices, the picked one has no free slot.
func (h *host) pick(service string) (slots.Announcement, bool) {
	l := h.fleet.usable(service)
	h.mu.Lock()
	defer h.mu.Unlock()
	healthy := l[:0]
	for _, a := range l {
		if time.Now().After(h.ejected[a.Target]) {
			healthy = append(healthy, a)
		}
	}
	if len(healthy) == 0 {
		return slots.Announcement{}, false
	}
	t := healthy[rand.IntN(len(healthy))]
	if h.fleet.Choice == TwoChoices {
		if o := healthy[rand.IntN(len(healthy))]; h.running[o.Target] < h.running[t.Target] {
			t = o
		}
		if h.running[t.Target] >= t.Slots {
			return t, false
		}
	}
	h.running[t.Target]++
	return t, true
}

func (h *host) forward(w http.ResponseWriter, r *http.Request, t slots.Announcement) {
	ok := h.exchange(w, r, t)
	h.mu.Lock()
	defer h.mu.Unlock()
	h.running[t.Target]--
	if ok {
		h.failed[t.Target] = 0
		return
	}
	h.failed[t.Target]++
	if h.failed[t.Target] >= failuresToEject {
		h.failed[t.Target] = 0
		h.ejected[t.Target] = time.Now().Add(ejectFor)
	}
}

// exchange forwards the request and reports whether the target responded
// completely and without a server error.
func (h *host) exchange(w http.ResponseWriter, r *http.Request, t slots.Announcement) bool {
	q, err := http.NewRequestWithContext(r.Context(), r.Method, "http://"+t.Addr+r.URL.RequestURI(), r.Body)
	if err != nil {
		refusal.New(refusal.BadRequest, err.Error()).Write(w)
		return true
	}
	p, err := h.client.Do(q)
	if err != nil {
		refusal.NewMaybeRun(refusal.TargetFailed, err.Error()).Write(w)
		return false
	}
	defer p.Body.Close()
	w.WriteHeader(p.StatusCode)
	_, err = io.Copy(w, p.Body)
	return err == nil && p.StatusCode < http.StatusInternalServerError
}
