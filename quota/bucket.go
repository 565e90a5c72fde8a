// Package quota keeps limits of the whole fleet: the tokens of client
// accounts, lent by one bucket through purses, and the budget for retries.
package quota

import "github.com/carawayrack/carawayrack/clock"

// Bucket is the token bucket of one account. A token counts when it is lent,
// so that nothing has to be known of who holds it.
type Bucket struct {
	// Rate is in tokens a second.
	Rate, Burst float64

	level float64
	at    clock.Millis
}

// Run starts the bucket with the given share of its burst.
func (b *Bucket) Run(now clock.Millis, share float64) {
	b.at = now
	b.level = b.Burst * share
}

// SetLimit changes rate and burst.
func (b *Bucket) SetLimit(now clock.Millis, rate, burst float64) {
	b.refill(now)
	b.Rate, b.Burst = rate, burst
	b.level = min(b.level, burst)
}

func (b *Bucket) refill(now clock.Millis) {
	if now <= b.at {
		return
	}
	b.level = min(b.level+float64(now-b.at)*b.Rate/1000, max(b.Burst, 1))
	b.at = now
}

// Take lends up to n whole tokens.
func (b *Bucket) Take(now clock.Millis, n int) int {
	b.refill(now)
	k := min(n, int(b.level))
	if k <= 0 {
		return 0
	}
	b.level -= float64(k)
	return k
}

// Return puts tokens back that were lent and not spent.
func (b *Bucket) Return(now clock.Millis, n int) {
	b.refill(now)
	b.level = min(b.level+float64(n), max(b.Burst, 1))
}

// Wait returns the time until a token may be lent.
func (b *Bucket) Wait(now clock.Millis) clock.Millis {
	b.refill(now)
	if b.level >= 1 || b.Rate <= 0 {
		return 0
	}
	return clock.Millis((1-b.level)/b.Rate*1000) + 1
}
