package quota

import "github.com/carawayrack/carawayrack/clock"

const (
	// demandWindow is the time over which demand is averaged. Each update
	// reduces demand by the part of the window that has passed since the last
	// one.
	demandWindow = 500 * clock.Millis(1)
	// prefetchWindow is the time for whose expected demand tokens are
	// prefetched.
	prefetchWindow = 250 * clock.Millis(1)
	// idleAfter is the time without demand after which tokens are returned.
	idleAfter = 500 * clock.Millis(1)
)

// Cache holds the tokens that were borrowed for one account and not spent. The
// number of prefetched ones is bounded, because the tokens of all caches together may
// be spent in addition to the bucket's own limit. It is not safe for concurrent
// use.
type Cache struct {
	// MaxPrefetch is the largest number of tokens to prefetch.
	MaxPrefetch int

	tokens int
	// demand is the estimated number of tokens requested within demandWindow, as
	// of the time at.
	demand float64
	at     clock.Millis
	// lastDemandAt is when tokens were last requested.
	lastDemandAt clock.Millis
	// lenderEmptyUntil is when the lender is expected to have tokens again.
	lenderEmptyUntil clock.Millis
}

// Tokens returns the number of tokens in the cache.
func (c *Cache) Tokens() int { return c.tokens }

// Spend takes n tokens and returns true, or takes none and returns false if the
// cache holds fewer. In both cases the n tokens count as demand.
func (c *Cache) Spend(now clock.Millis, n int) bool {
	c.recordDemand(now, n)
	if c.tokens < n {
		return false
	}
	c.tokens -= n
	return true
}

// SpendBorrowed is Spend without counting demand: for a request whose demand
// was counted before the tokens were borrowed.
func (c *Cache) SpendBorrowed(n int) bool {
	if c.tokens < n {
		return false
	}
	c.tokens -= n
	return true
}

// recordDemand counts n tokens as demand.
func (c *Cache) recordDemand(now clock.Millis, n int) {
	c.decayDemand(now)
	c.demand += float64(n)
	c.lastDemandAt = now
}

// decayDemand reduces demand by the time since the last call.
func (c *Cache) decayDemand(now clock.Millis) {
	if d := now - c.at; d > 0 {
		c.demand *= max(0, 1-float64(d)/float64(demandWindow))
		c.at = now
	}
}

// PrefetchNeeded returns the number of tokens to prefetch now: the expected
// demand of prefetchWindow, at most MaxPrefetch, less the tokens in the cache.
func (c *Cache) PrefetchNeeded(now clock.Millis) int {
	c.decayDemand(now)
	soon := c.demand * float64(prefetchWindow) / float64(demandWindow)
	return max(0, min(int(soon+0.5), c.MaxPrefetch)-c.tokens)
}

// TakeSurplus removes all tokens if none was requested for idleAfter and returns
// their number; the caller returns them to the lender.
func (c *Cache) TakeSurplus(now clock.Millis) int {
	if now-c.lastDemandAt <= idleAfter {
		return 0
	}
	n := c.tokens
	c.tokens = 0
	return n
}

// Add adds n borrowed tokens.
func (c *Cache) Add(n int) { c.tokens += n }

// SetLenderEmpty records that the lender will have no tokens for the given time.
func (c *Cache) SetLenderEmpty(now, wait clock.Millis) { c.lenderEmptyUntil = now + wait }

// LenderWait returns the time for which the lender is expected to have no tokens.
func (c *Cache) LenderWait(now clock.Millis) clock.Millis { return max(0, c.lenderEmptyUntil-now) }
