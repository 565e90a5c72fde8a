package limit

import "github.com/carawayrack/carawayrack/clock"

// Settlement reports that a host has ended a loan, and how many of its tokens it
// returns.
type Settlement struct {
	ID      LoanID
	Unspent int
}

// Token is the right to send one request before a time by the host's clock.
type Token struct {
	Loan  LoanID
	Until clock.Millis
}

// Cache holds the tokens that a host has borrowed for one account. A token is
// reserved when a request arrives and used when the request is sent to a
// target; only then does it count as spent. Its methods must not be called
// concurrently.
type Cache struct {
	// IdleAfter is the time without reservations after which ReturnIdle
	// returns free tokens.
	IdleAfter clock.Millis

	loans []*cachedLoan
	// ended holds the settlements that TakeSettlements has not returned yet.
	ended []Settlement
	// reservedAt is when a token was last reserved.
	reservedAt clock.Millis
	// current and previous count the reservations in the current demand
	// window and in the one before.
	current, previous int
	windowStart       clock.Millis
	// minTerm is the lowest fencing term of loans that Add accepts.
	minTerm uint64
}

// cachedLoan is a loan in the cache.
type cachedLoan struct {
	id    LoanID
	until clock.Millis
	// free tokens can be reserved, reserved ones can be used, and unspent
	// ones are returned with the settlement.
	free, reserved, unspent int
}

// demandWindow is the length of the windows in which reservations are counted.
const demandWindow = 50 * clock.Millis(1)

// Reserve reserves a token. It reports false if there is no free one.
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

// Use spends a reserved token. It reports false if the token has expired.
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

// Return makes a reserved token free again, for a request that was not sent.
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

// settleIfEmpty ends a loan that has neither free nor reserved tokens left.
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

// PrefetchNeeded returns the number of tokens to borrow beyond those needed now:
// the larger count of reservations of the current and the previous demand window,
// or 0 once 2 x demandWindow have passed since the current one began. Tokens in
// the cache are not subtracted.
func (c *Cache) PrefetchNeeded(now clock.Millis) int {
	if now-c.windowStart >= 2*demandWindow {
		return 0
	}
	return max(c.previous, c.current)
}

// Add puts a loan into the cache. Its lifetime counts from requestedAt, when the
// host requested it, so that it ends for the host before it does for the
// leaseholder. Add reports false for empty loans and for those of a leaseholder
// that has been replaced.
func (c *Cache) Add(requestedAt, lifetime clock.Millis, l Loan) bool {
	if l.Tokens <= 0 || l.ID.Term < c.minTerm {
		return false
	}
	c.loans = append(c.loans, &cachedLoan{id: l.ID, until: requestedAt + lifetime, free: l.Tokens})
	return true
}

// dropExpired drops expired loans. Their tokens can no longer be used, so that those that
// were not go back with the settlement.
func (c *Cache) dropExpired(now clock.Millis) {
	rest := c.loans[:0]
	for _, loan := range c.loans {
		if now < loan.until {
			rest = append(rest, loan)
			continue
		}
		c.ended = append(c.ended, Settlement{ID: loan.id, Unspent: loan.unspent + loan.free + loan.reserved})
	}
	c.loans = rest
}

// ReturnIdle returns all free tokens if none was reserved for IdleAfter. They are
// part of the settlement of their loan, which ends once it has no reserved tokens.
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

// TakeSettlements returns the settlements since the last call.
func (c *Cache) TakeSettlements() []Settlement {
	e := c.ended
	c.ended = nil
	return e
}

// Fence makes Add refuse loans with a fencing term before term. It returns the
// cached loans with the tokens that are not spent, for the new leaseholder; their
// Host is empty.
func (c *Cache) Fence(now clock.Millis, term uint64) []Loan {
	c.dropExpired(now)
	c.minTerm = max(c.minTerm, term)
	var l []Loan
	for _, loan := range c.loans {
		l = append(l, Loan{ID: loan.id, Tokens: loan.free + loan.reserved + loan.unspent, Until: loan.until})
	}
	return l
}
