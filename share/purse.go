package share

import "github.com/carawayrack/carawayrack/clock"

const (
	// demandWindow is the time over which demand is averaged.
	demandWindow = 500 * clock.Millis(1)
	// aheadOf is the demand for which tokens are borrowed ahead.
	aheadOf = 250 * clock.Millis(1)
	// idleAfter is the time without demand after which tokens go back.
	idleAfter = 500 * clock.Millis(1)
)

// Purse holds tokens that were borrowed for one account. The most it holds
// ahead is bounded, since all purses together are what may be spent beyond
// the bucket's own limit.
type Purse struct {
	// Ahead is the largest number of tokens to hold beyond those wanted now.
	Ahead int

	tokens int
	demand float64
	at     clock.Millis
	usedAt clock.Millis
	// emptyUntil is when the lender is expected to have tokens again.
	emptyUntil clock.Millis
}

// Spend takes n tokens if all are there. It counts as demand either way.
func (p *Purse) Spend(now clock.Millis, n int) bool {
	p.note(now, n)
	if p.tokens < n {
		return false
	}
	p.tokens -= n
	return true
}

// Retry takes a token without counting new demand.
func (p *Purse) Retry(n int) bool {
	if p.tokens < n {
		return false
	}
	p.tokens -= n
	return true
}

func (p *Purse) note(now clock.Millis, n int) {
	p.decay(now)
	p.demand += float64(n)
	p.usedAt = now
}

func (p *Purse) decay(now clock.Millis) {
	if d := now - p.at; d > 0 {
		p.demand *= max(0, 1-float64(d)/float64(demandWindow))
		p.at = now
	}
}

// Want returns the number of tokens to borrow ahead.
func (p *Purse) Want(now clock.Millis) int {
	p.decay(now)
	soon := p.demand * float64(aheadOf) / float64(demandWindow)
	return max(0, min(int(soon+0.5), p.Ahead)-p.tokens)
}

// Surplus takes out the tokens that were not wanted for a while: they go
// back to the lender.
func (p *Purse) Surplus(now clock.Millis) int {
	if now-p.usedAt <= idleAfter {
		return 0
	}
	n := p.tokens
	p.tokens = 0
	return n
}

// Add puts borrowed tokens in.
func (p *Purse) Add(n int) { p.tokens += n }

// Empty notes that the lender has no tokens for a while.
func (p *Purse) Empty(now, wait clock.Millis) { p.emptyUntil = now + wait }

// Wait returns how long the lender is expected to have no tokens.
func (p *Purse) Wait(now clock.Millis) clock.Millis { return max(0, p.emptyUntil-now) }
