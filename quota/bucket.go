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
	// ahead estimates how many of the lent tokens are held for later requests. With the
	// level they never exceed the burst.
	ahead float64
}

// aheadWindow is the time over which tokens that are lent ahead count as held.
const aheadWindow = 500 * clock.Millis(1)

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
	b.ahead *= max(0, 1-float64(now-b.at)/float64(aheadWindow))
	b.level = min(b.level+float64(now-b.at)*b.Rate/1000, b.capacity())
	b.at = now
}

// capacity returns the highest level that the tokens held for later requests leave.
func (b *Bucket) capacity() float64 { return max(b.Burst-b.ahead, 1) }

// TakeAhead is Take for tokens of which only the first used are for requests that wait.
func (b *Bucket) TakeAhead(now clock.Millis, n, used int) int {
	k := b.Take(now, n)
	b.ahead += float64(max(k-used, 0))
	return k
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
	b.ahead = max(b.ahead-float64(n), 0)
	b.level = min(b.level+float64(n), b.capacity())
}

// Debit takes n tokens that were spent without being lent. The level may fall below zero.
func (b *Bucket) Debit(now clock.Millis, n float64) {
	b.refill(now)
	b.level -= n
}

// Full reports whether the bucket holds its whole burst.
func (b *Bucket) Full(now clock.Millis) bool {
	b.refill(now)
	return b.ahead < 1 && b.level >= b.capacity()
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
