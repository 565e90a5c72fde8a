package edge

import (
	"net/http"
	"sync"
	"time"

	"github.com/carawayrack/carawayrack/clock"
)

const (
	// reclaimWait is how long a response waits for memory that other callers occupy
	// by not reading. It is longer than the time after which connlimit takes a write
	// as blocked, and shorter than targets wait for a response to be read.
	reclaimWait = 1500 * clock.Millis(1)
	reclaimPoll = 20 * clock.Millis(1)
)

// takeReclaimed reserves n bytes while connections of callers that do not read are
// closed. It returns false if there is no memory in time.
func (b *bodyBudget) takeReclaimed(n int) bool {
	if b.reclaim == nil {
		return false
	}
	for end := time.Now().Add(reclaimWait.Duration()); time.Now().Before(end); {
		if !b.reclaim() {
			time.Sleep(reclaimPoll.Duration())
		}
		if b.take(n) {
			return true
		}
	}
	return false
}

// scarce reports whether more than half of the budget is in use.
func (b *bodyBudget) scarce() bool { return b.used.Load() > b.limit/2 }

// responseMemory is the memory that the body of a response has taken from the
// budget until it has been sent to the caller or is not needed.
type responseMemory struct {
	budget *bodyBudget

	mu       sync.Mutex
	reserved int
	released bool
	// kept is true once the response waits to be sent.
	kept bool
}

// set records the reserved bytes, or gives them back if the response is not needed
// any more.
func (m *responseMemory) set(n int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.released {
		m.budget.give(n)
		return
	}
	m.reserved = n
}

// release gives the memory back.
func (m *responseMemory) release() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.released = true
	m.budget.give(m.reserved)
	m.reserved = 0
}

// keepUntilSent makes w release the memory once it has sent the response, if it can.
func (m *responseMemory) keepUntilSent(w http.ResponseWriter) {
	s, ok := w.(interface{ OnSent(func()) })
	if !ok {
		return
	}
	m.kept = true
	s.OnSent(m.release)
}

// releaseBodies gives back the memory of the request's body, and of the responses
// that are not sent to the caller.
func (c *call) releaseBodies() {
	c.host.requestBuffers.give(c.reserved)
	for _, m := range c.responses {
		if !m.kept {
			m.release()
		}
	}
}
