// Package quota enforces limits over the whole fleet: on the requests of a client
// account, by tokens that hosts borrow from one bucket and hold in token caches,
// and on retries, by a budget for each host.
package quota

import "github.com/carawayrack/carawayrack/clock"

// Bucket is the token bucket of one account. A token counts as used when it is
// lent, so that the bucket need not know which host holds it. It is not safe for
// concurrent use.
type Bucket struct {
	// Rate is in tokens per second, Burst in tokens.
	Rate, Burst float64

	// level is the number of tokens in the bucket at the time at.
	level float64
	at    clock.Millis
}

// Run fills the bucket to the given fraction of its burst.
func (b *Bucket) Run(now clock.Millis, fraction float64) {
	b.at = now
	b.level = b.Burst * fraction
}

// Resume makes the bucket get no tokens for the time before at.
func (b *Bucket) Resume(at clock.Millis) { b.at = max(b.at, at) }

// SetLimit changes rate and burst. Tokens beyond the new burst are lost.
func (b *Bucket) SetLimit(now clock.Millis, rate, burst float64) {
	b.refill(now)
	b.Rate, b.Burst = rate, burst
	b.level = min(b.level, burst)
}

// refill adds the tokens of the time since the last call. The level may reach one
// token also if Burst is below 1, as otherwise none could be lent.
func (b *Bucket) refill(now clock.Millis) {
	if now <= b.at {
		return
	}
	b.level = min(b.level+float64(now-b.at)*b.Rate/1000, max(b.Burst, 1))
	b.at = now
}

// Take lends up to n whole tokens and returns their number.
func (b *Bucket) Take(now clock.Millis, n int) int {
	b.refill(now)
	k := min(n, int(b.level))
	if k <= 0 {
		return 0
	}
	b.level -= float64(k)
	return k
}

// Return puts back n tokens that were lent and not spent. Tokens beyond the burst
// are lost.
func (b *Bucket) Return(now clock.Millis, n int) {
	b.refill(now)
	b.level = min(b.level+float64(n), max(b.Burst, 1))
}

// Debit takes n tokens that were spent without being lent. The level may fall below zero.
func (b *Bucket) Debit(now clock.Millis, n float64) {
	b.refill(now)
	b.level -= n
}

// Full reports whether the bucket can take no more tokens.
func (b *Bucket) Full(now clock.Millis) bool {
	b.refill(now)
	return b.level >= b.Burst
}

// Wait returns the time until a token can be lent, 0 if one can be lent now or
// the rate is 0.
func (b *Bucket) Wait(now clock.Millis) clock.Millis {
	b.refill(now)
	if b.level >= 1 || b.Rate <= 0 {
		return 0
	}
	return clock.Millis((1-b.level)/b.Rate*1000) + 1
}
