package quota

import "github.com/carawayrack/carawayrack/clock"

const (
	// demandWindow is the time over which demand is averaged.
	demandWindow = 500 * clock.Millis(1)
	// prefetchWindow is the demand for which tokens are borrowed ahead.
	prefetchWindow = 250 * clock.Millis(1)
	// idleAfter is the time without demand after which tokens go back.
	idleAfter = 500 * clock.Millis(1)
)

// Cache holds tokens that were borrowed for one account. The most it holds
// ahead is bounded, since all purses together are what may be spent beyond
// the bucket's own limit.
type Cache struct {
	// MaxPrefetch is the largest number of tokens to hold beyond those wanted now.
	MaxPrefetch int

	tokens       int
	demand       float64
	at           clock.Millis
	lastDemandAt clock.Millis
	// lenderEmptyUntil is when the lender is expected to have tokens again.
	lenderEmptyUntil clock.Millis
}

// Spend takes n tokens if all are there. It counts as demand either way.
func (c *Cache) Spend(now clock.Millis, n int) bool {
	c.recordDemand(now, n)
	if c.tokens < n {
		return false
	}
	c.tokens -= n
	return true
}

// SpendBorrowed takes a token without counting new demand.
func (c *Cache) SpendBorrowed(n int) bool {
	if c.tokens < n {
		return false
	}
	c.tokens -= n
	return true
}

func (c *Cache) recordDemand(now clock.Millis, n int) {
	c.decayDemand(now)
	c.demand += float64(n)
	c.lastDemandAt = now
}

func (c *Cache) decayDemand(now clock.Millis) {
	if d := now - c.at; d > 0 {
		c.demand *= max(0, 1-float64(d)/float64(demandWindow))
		c.at = now
	}
}

// PrefetchNeeded returns the number of tokens to borrow ahead.
func (c *Cache) PrefetchNeeded(now clock.Millis) int {
	c.decayDemand(now)
	soon := c.demand * float64(prefetchWindow) / float64(demandWindow)
	return max(0, min(int(soon+0.5), c.MaxPrefetch)-c.tokens)
}

// TakeSurplus takes out the tokens that were not wanted for a while: they go
// back to the lender.
func (c *Cache) TakeSurplus(now clock.Millis) int {
	if now-c.lastDemandAt <= idleAfter {
		return 0
	}
	n := c.tokens
	c.tokens = 0
	return n
}

// Add puts borrowed tokens in.
func (c *Cache) Add(n int) { c.tokens += n }

// SetLenderEmpty notes that the lender has no tokens for a while.
func (c *Cache) SetLenderEmpty(now, wait clock.Millis) { c.lenderEmptyUntil = now + wait }

// LenderWait returns how long the lender is expected to have no tokens.
func (c *Cache) LenderWait(now clock.Millis) clock.Millis { return max(0, c.lenderEmptyUntil-now) }
