package quota

import "github.com/carawayrack/carawayrack/clock"

const (
	// demandWindow is the time over which demand is averaged.
	demandWindow = 500 * clock.Millis(1)
	// aheadOf is the demand for which tokens are borrowed ahead.
	aheadOf = 250 * clock.Millis(1)
	// idleAfter is the time without demand after which tokens go back.
	idleAfter = 500 * clock.Millis(1)
)

// Cache holds tokens that were borrowed for one account. The most it holds
// ahead is bounded, since all purses together are what may be spent beyond
// the bucket's own limit.
type Cache struct {
	// MaxPrefetch is the largest number of tokens to hold beyond those wanted now.
	MaxPrefetch int

	tokens int
	demand float64
	at     clock.Millis
	usedAt clock.Millis
	// emptyUntil is when the lender is expected to have tokens again.
	emptyUntil clock.Millis
}

// Spend takes n tokens if all are there. It counts as demand either way.
func (p *Cache) Spend(now clock.Millis, n int) bool {
	p.note(now, n)
	if p.tokens < n {
		return false
	}
	p.tokens -= n
	return true
}

// SpendBorrowed takes a token without counting new demand.
func (p *Cache) SpendBorrowed(n int) bool {
	if p.tokens < n {
		return false
	}
	p.tokens -= n
	return true
}

func (p *Cache) note(now clock.Millis, n int) {
	p.decay(now)
	p.demand += float64(n)
	p.usedAt = now
}

func (p *Cache) decay(now clock.Millis) {
	if d := now - p.at; d > 0 {
		p.demand *= max(0, 1-float64(d)/float64(demandWindow))
		p.at = now
	}
}

// PrefetchNeeded returns the number of tokens to borrow ahead.
func (p *Cache) PrefetchNeeded(now clock.Millis) int {
	p.decay(now)
	soon := p.demand * float64(aheadOf) / float64(demandWindow)
	return max(0, min(int(soon+0.5), p.MaxPrefetch)-p.tokens)
}

// TakeSurplus takes out the tokens that were not wanted for a while: they go
// back to the lender.
func (p *Cache) TakeSurplus(now clock.Millis) int {
	if now-p.usedAt <= idleAfter {
		return 0
	}
	n := p.tokens
	p.tokens = 0
	return n
}

// Add puts borrowed tokens in.
func (p *Cache) Add(n int) { p.tokens += n }

// SetLenderEmpty notes that the lender has no tokens for a while.
func (p *Cache) SetLenderEmpty(now, wait clock.Millis) { p.emptyUntil = now + wait }

// LenderWait returns how long the lender is expected to have no tokens.
func (p *Cache) LenderWait(now clock.Millis) clock.Millis { return max(0, p.emptyUntil-now) }
