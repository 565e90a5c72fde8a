package limit

import "github.com/carawayrack/carawayrack/clock"

// Settlement reports a loan that a host has ended.
type Settlement struct {
	ID      LoanID
	Unspent int
}

// Token is the right to send one request, until a time by the host's clock.
type Token struct {
	Loan  LoanID
	Until clock.Millis
}

// Cache holds the tokens that a host has been lent for one account. A token
// is reserved when a request comes and used when it is sent to a target: only
// then does it count as spent.
type Cache struct {
	// IdleAfter is how long unspent tokens are kept without demand.
	IdleAfter clock.Millis

	loans      []*cachedLoan
	ended      []Settlement
	reservedAt clock.Millis
	// current and previous count the reservations in the current window and the
	// last.
	current, previous int
	windowStart       clock.Millis
	minTerm           uint64
}

// cachedLoan is a loan in the purse.
type cachedLoan struct {
	id    LoanID
	until clock.Millis
	// free tokens can be reserved, reserved ones can be used, and unspent
	// ones go back.
	free, reserved, unspent int
}

// demandWindow is the time over which demand is counted.
const demandWindow = 50 * clock.Millis(1)

// Reserve takes one token if there is one.
func (c *Cache) Reserve(now clock.Millis) (Token, bool) {
	c.dropExpired(now)
	for _, loan := range c.loans {
		if loan.free == 0 {
			continue
		}
		c.countReservation(now)
		c.reservedAt = now
		loan.free--
		loan.reserved++
		return Token{Loan: loan.id, Until: loan.until}, true
	}
	return Token{}, false
}

// Use spends a reserved token. It reports false if the token has run out.
func (c *Cache) Use(now clock.Millis, t Token) bool {
	c.dropExpired(now)
	loan := c.find(t.Loan)
	if loan == nil || loan.reserved == 0 || now >= t.Until {
		return false
	}
	loan.reserved--
	c.settleIfEmpty(loan)
	return true
}

// Return gives a reserved token back unused.
func (c *Cache) Return(now clock.Millis, t Token) {
	c.dropExpired(now)
	if loan := c.find(t.Loan); loan != nil && loan.reserved > 0 {
		loan.reserved--
		loan.free++
	}
}

func (c *Cache) find(id LoanID) *cachedLoan {
	for _, loan := range c.loans {
		if loan.id == id {
			return loan
		}
	}
	return nil
}

// settleIfEmpty ends a loan of which nothing is left.
func (c *Cache) settleIfEmpty(loan *cachedLoan) {
	if loan.free > 0 || loan.reserved > 0 {
		return
	}
	c.ended = append(c.ended, Settlement{ID: loan.id, Unspent: loan.unspent})
	for i, x := range c.loans {
		if x == loan {
			c.loans = append(c.loans[:i], c.loans[i+1:]...)
			return
		}
	}
}

func (c *Cache) countReservation(now clock.Millis) {
	if now-c.windowStart >= demandWindow {
		c.previous = 0
		if now-c.windowStart < 2*demandWindow {
			c.previous = c.current
		}
		c.current = 0
		c.windowStart = now
	}
	c.current++
}

// Prefetch is the number of tokens worth asking for beyond those needed now: as
// many as were reserved in the last window.
func (c *Cache) Prefetch(now clock.Millis) int {
	if now-c.windowStart >= 2*demandWindow {
		return 0
	}
	return max(c.previous, c.current)
}

// Add puts a loan into the purse. It counts from the time at which the host
// asked, and one from a keeper that has been replaced is refused.
func (c *Cache) Add(requestedAt, lifetime clock.Millis, l Loan) bool {
	if l.Tokens <= 0 || l.ID.Term < c.minTerm {
		return false
	}
	c.loans = append(c.loans, &cachedLoan{id: l.ID, until: requestedAt + lifetime, free: l.Tokens})
	return true
}

func (c *Cache) dropExpired(now clock.Millis) {
	rest := c.loans[:0]
	for _, loan := range c.loans {
		if now < loan.until {
			rest = append(rest, loan)
		}
	}
	c.loans = rest
}

// ReturnIdle gives free tokens back that have not been asked for in a while.
func (c *Cache) ReturnIdle(now clock.Millis) {
	c.dropExpired(now)
	if now-c.reservedAt < c.IdleAfter {
		return
	}
	for _, loan := range append([]*cachedLoan(nil), c.loans...) {
		loan.unspent += loan.free
		loan.free = 0
		c.settleIfEmpty(loan)
	}
}

// TakeSettlements returns the settlements to report and forgets them.
func (c *Cache) TakeSettlements() []Settlement {
	e := c.ended
	c.ended = nil
	return e
}

// Fence refuses loans of keepers before term and returns the loans held, with
// the tokens that may still be used.
func (c *Cache) Fence(now clock.Millis, term uint64) []Loan {
	c.dropExpired(now)
	c.minTerm = max(c.minTerm, term)
	var l []Loan
	for _, loan := range c.loans {
		l = append(l, Loan{ID: loan.id, Tokens: loan.free + loan.reserved + loan.unspent, Until: loan.until})
	}
	return l
}
