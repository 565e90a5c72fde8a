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

	loans     []*held
	ended     []Settlement
	reserveAt clock.Millis
	// recent and before count the reservations in the current window and the
	// last.
	recent, before int
	windowAt       clock.Millis
	fence          uint64
}

// held is a loan in the purse.
type held struct {
	id    LoanID
	until clock.Millis
	// free tokens can be reserved, reserved ones can be used, and unspent
	// ones go back.
	free, reserved, unspent int
}

// demandWindow is the time over which demand is counted.
const demandWindow = 50 * clock.Millis(1)

// Reserve takes one token if there is one.
func (p *Cache) Reserve(now clock.Millis) (Token, bool) {
	p.expire(now)
	for _, h := range p.loans {
		if h.free == 0 {
			continue
		}
		p.count(now)
		p.reserveAt = now
		h.free--
		h.reserved++
		return Token{Loan: h.id, Until: h.until}, true
	}
	return Token{}, false
}

// Use spends a reserved token. It reports false if the token has run out.
func (p *Cache) Use(now clock.Millis, t Token) bool {
	p.expire(now)
	h := p.find(t.Loan)
	if h == nil || h.reserved == 0 || now >= t.Until {
		return false
	}
	h.reserved--
	p.close(h)
	return true
}

// Return gives a reserved token back unused.
func (p *Cache) Return(now clock.Millis, t Token) {
	p.expire(now)
	if h := p.find(t.Loan); h != nil && h.reserved > 0 {
		h.reserved--
		h.free++
	}
}

func (p *Cache) find(id LoanID) *held {
	for _, h := range p.loans {
		if h.id == id {
			return h
		}
	}
	return nil
}

// close ends a loan of which nothing is left.
func (p *Cache) close(h *held) {
	if h.free > 0 || h.reserved > 0 {
		return
	}
	p.ended = append(p.ended, Settlement{ID: h.id, Unspent: h.unspent})
	for i, x := range p.loans {
		if x == h {
			p.loans = append(p.loans[:i], p.loans[i+1:]...)
			return
		}
	}
}

func (p *Cache) count(now clock.Millis) {
	if now-p.windowAt >= demandWindow {
		p.before = 0
		if now-p.windowAt < 2*demandWindow {
			p.before = p.recent
		}
		p.recent = 0
		p.windowAt = now
	}
	p.recent++
}

// Prefetch is the number of tokens worth asking for beyond those needed now: as
// many as were reserved in the last window.
func (p *Cache) Prefetch(now clock.Millis) int {
	if now-p.windowAt >= 2*demandWindow {
		return 0
	}
	return max(p.before, p.recent)
}

// Add puts a loan into the purse. It counts from the time at which the host
// asked, and one from a keeper that has been replaced is refused.
func (p *Cache) Add(askedAt, life clock.Millis, l Loan) bool {
	if l.Tokens <= 0 || l.ID.Term < p.fence {
		return false
	}
	p.loans = append(p.loans, &held{id: l.ID, until: askedAt + life, free: l.Tokens})
	return true
}

func (p *Cache) expire(now clock.Millis) {
	rest := p.loans[:0]
	for _, h := range p.loans {
		if now < h.until {
			rest = append(rest, h)
		}
	}
	p.loans = rest
}

// ReturnIdle gives free tokens back that have not been asked for in a while.
func (p *Cache) ReturnIdle(now clock.Millis) {
	p.expire(now)
	if now-p.reserveAt < p.IdleAfter {
		return
	}
	for _, h := range append([]*held(nil), p.loans...) {
		h.unspent += h.free
		h.free = 0
		p.close(h)
	}
}

// TakeSettlements returns the settlements to report and forgets them.
func (p *Cache) TakeSettlements() []Settlement {
	e := p.ended
	p.ended = nil
	return e
}

// Fence refuses loans of keepers before term and returns the loans held, with
// the tokens that may still be used.
func (p *Cache) Fence(now clock.Millis, term uint64) []Loan {
	p.expire(now)
	p.fence = max(p.fence, term)
	var l []Loan
	for _, h := range p.loans {
		l = append(l, Loan{ID: h.id, Tokens: h.free + h.reserved + h.unspent, Until: h.until})
	}
	return l
}
