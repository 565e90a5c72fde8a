// Package latency holds how long responses took: recent ones by route, and all of them
// as histograms for metrics.
package latency

import (
	"math"
	"slices"
	"sync"

	"github.com/carawayrack/carawayrack/clock"
)

const (
	// window is how long a response counts as recent. It spans a minute of a route
	// that gets one request a second at a host, the rarest of the fleets that the
	// project is designed for.
	window = 60 * clock.Second
	// maxResponses is the number of responses kept of one route. They take 4 KiB,
	// and the slowest hundredth still consists of three.
	maxResponses = 256
	// maxRoutes is the number of routes of which responses are kept, 4 MiB in all.
	// The largest configurations in use have some hundred.
	maxRoutes = 1024
)

// Routes holds the latencies of recent responses by route. The zero value is empty
// and ready to use, also from several goroutines.
type Routes struct {
	mu sync.Mutex
	m  map[string]*responses
}

// response is one response: when it was complete and how long it took.
type response struct{ at, took clock.Millis }

// responses is a ring of the most recent responses of a route; next is the index
// of the oldest one once the ring is full.
type responses struct {
	ring []response
	next int
}

// Record adds a response of a route that was complete at a time. It has no effect
// on a new route if there are already maxRoutes with recent responses.
func (r *Routes) Record(now clock.Millis, route string, took clock.Millis) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.m == nil {
		r.m = map[string]*responses{}
	}
	l := r.m[route]
	if l == nil {
		r.evict(now)
		if len(r.m) >= maxRoutes {
			return
		}
		l = &responses{}
		r.m[route] = l
	}
	l.add(response{now, max(took, 0)})
}

// evict removes the routes without recent responses, for example those that newer
// configurations no longer have; r.mu is held.
func (r *Routes) evict(now clock.Millis) {
	for n, l := range r.m {
		if now-l.newest() >= window {
			delete(r.m, n)
		}
	}
}

// Quantile returns the q-quantile of a route's recent responses, and their number.
// It is the smallest latency that at least the share q of them does not exceed: the
// slowest for q = 1. It returns zeros if there are no recent responses.
func (r *Routes) Quantile(now clock.Millis, route string, q float64) (clock.Millis, int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	l := r.m[route]
	if l == nil {
		return 0, 0
	}
	var recent [maxResponses]clock.Millis
	t := l.recent(now, recent[:0])
	if len(t) == 0 {
		return 0, 0
	}
	slices.Sort(t)
	rank := int(math.Ceil(q * float64(len(t))))
	return t[min(max(rank, 1), len(t))-1], len(t)
}

func (l *responses) add(x response) {
	if len(l.ring) < maxResponses {
		l.ring = append(l.ring, x)
		return
	}
	l.ring[l.next] = x
	l.next = (l.next + 1) % maxResponses
}

// newest returns the time of the latest response.
func (l *responses) newest() clock.Millis {
	n := len(l.ring)
	return l.ring[(l.next+n-1)%n].at
}

// recent appends the latencies of the responses within the window to t.
func (l *responses) recent(now clock.Millis, t []clock.Millis) []clock.Millis {
	for _, x := range l.ring {
		if now-x.at < window {
			t = append(t, x.took)
		}
	}
	return t
}
