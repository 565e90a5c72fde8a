package share

import "github.com/carawayrack/carawayrack/clock"

// Retry is a host's part of the fleet's budget for sending requests of one
// service again: a share of the requests themselves, and a part of a fixed
// allowance.
type Retry struct {
	// Ratio is the number of retries that a request earns.
	Ratio float64
	// Depth is the largest number saved up.
	Depth float64
	// Window is the time after which an earned retry lapses.
	Window clock.Millis

	level float64
	at    clock.Millis
}

// Request counts a first attempt.
func (r *Retry) Request(now clock.Millis) {
	r.lapse(now)
	r.level = min(r.level+r.Ratio, r.Depth)
}

func (r *Retry) lapse(now clock.Millis) {
	if r.at == 0 {
		r.level = r.Depth
	}
	r.at = now
}

// Left returns the number of retries that may be sent.
func (r *Retry) Left() float64 { return r.level }

// Spend takes one retry if there is one.
func (r *Retry) Spend() bool {
	if r.level < 1 {
		return false
	}
	r.level--
	return true
}
