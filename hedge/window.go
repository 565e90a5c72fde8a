package hedge

import "github.com/carawayrack/carawayrack/clock"

const (
	// Window is the time over which extra attempts are compared with requests: that
	// of the fleet's retry budget.
	Window = 10 * clock.Second
	// slotLength is the resolution of the window.
	slotLength = 500 * clock.Millis(1)
	slotCount  = int64(Window/slotLength) + 1
)

// Counts are the events of one service at one host within a window.
type Counts struct {
	// Requests got a first attempt; Slow ones exceeded their hedge delay. Hedges and
	// Retries are the further attempts.
	Requests, Slow, Hedges, Retries int
}

// Share returns the number of hedges by that of requests, 0 without requests.
func (c Counts) Share() float64 { return float64(c.Hedges) / float64(max(c.Requests, 1)) }

type slot struct {
	number int64
	Counts
}

// window counts events in slots of time.
type window struct{ slots [slotCount]slot }

// current returns the slot of the present time.
func (w *window) current(now clock.Millis) *slot {
	n := int64(now / slotLength)
	s := &w.slots[n%slotCount]
	if s.number != n {
		*s = slot{number: n}
	}
	return s
}

// counts returns the events of the last Window. Extra attempts are counted for up to a
// slot longer than that and requests for up to a slot less, so that the share is never
// underestimated.
func (w *window) counts(now clock.Millis) Counts {
	var c Counts
	n := int64(now / slotLength)
	for _, s := range w.slots {
		if s.number <= n-slotCount {
			continue
		}
		c.Hedges += s.Hedges
		c.Retries += s.Retries
		if s.number > n-slotCount+1 {
			c.Requests += s.Requests
			c.Slow += s.Slow
		}
	}
	return c
}
