package edge

import (
	"sync"

	"github.com/carawayrack/carawayrack/catalog"
)

// smallResponses is the number of successive responses below streamSize after which the
// responses of a route of kind download count as small. It is enough that a route with
// one large response in four is taken for a small one in less than 1 of 300 cases.
const smallResponses = 20

// responseSizes holds which routes of kind download have small responses.
type responseSizes struct {
	mu sync.Mutex
	// small is the number of responses below streamSize since the last larger one, by
	// route.
	small map[string]int
}

// record records whether a response was below streamSize.
func (s *responseSizes) record(r *catalog.Route, small bool) {
	if r.Kind != catalog.Download {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.small == nil {
		s.small = map[string]int{}
	}
	if small {
		s.small[r.Name] = min(s.small[r.Name]+1, smallResponses)
	} else {
		delete(s.small, r.Name)
	}
}

// areSmall reports whether the recent responses of a route were all small.
func (s *responseSizes) areSmall(r *catalog.Route) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.small[r.Name] >= smallResponses
}

// mayProbe reports whether the request may be sent to an unhealthy target. A download may
// only if the responses of its route are small: what the caller has got of a streamed one
// cannot be taken back, so that no other target can be tried when the target fails
// half-way, and such a probe takes a slot and bandwidth for much longer. Services without
// other requests that may probe are probed by health checks.
func (c *call) mayProbe() bool {
	return c.route.Kind == catalog.Idempotent || c.route.Kind == catalog.Download && c.host.sizes.areSmall(c.route)
}
