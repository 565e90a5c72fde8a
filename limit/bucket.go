// Package limit keeps a client account within its rate and burst over all
// hosts together. One keeper owns the bucket and lends tokens to hosts.
package limit

import "github.com/carawayrack/carawayrack/clock"

// unitsPerToken makes refilling exact: a rate of one request a minute adds
// one unit a millisecond.
const unitsPerToken = 60_000

// loanMarginDivisor is the part of a loan's life by which the keeper counts longer
// than the host, for clocks that differ in speed.
const loanMarginDivisor = 10

// LoanID identifies a loan across keepers.
type LoanID struct {
	Term, Number uint64
}

// Loan is a number of tokens lent to a host for a limited time.
type Loan struct {
	ID     LoanID
	Host   string
	Tokens int
	Until  clock.Millis
}

// Bucket is the token bucket of one account. Level and outstanding loans
// together never exceed the burst, so that in every window of length t at
// most rate x t + burst tokens are spent, whenever hosts spend them.
type Bucket struct {
	RatePerMinute int
	Burst         int
	Term          uint64

	level      int64
	lent       int64
	updatedAt  clock.Millis
	loans      map[LoanID]Loan
	lastNumber uint64
	// unreported bounds what former keepers lent and nobody has reported, until
	// unknownUntil. It is the whole burst: after two changes of keeper in a
	// row both may have loans outstanding.
	unreported      int64
	unreportedUntil clock.Millis
}

// Init starts an empty bucket. Until the time unknownUntil, tokens lent by a
// former keeper may still be spent; Known ends that early.
func (b *Bucket) Init(now, unreportedUntil clock.Millis) {
	b.updatedAt = now
	b.loans = map[LoanID]Loan{}
	if unreportedUntil > now {
		b.unreported = int64(b.Burst) * unitsPerToken
		b.unreportedUntil = unreportedUntil
	}
}

// Fill starts the bucket full: the account has never been served before.
func (b *Bucket) Fill() { b.level = b.capacity() }

// FinishRecovery ends the uncertainty about loans of a former keeper.
func (b *Bucket) FinishRecovery(now clock.Millis) {
	b.advance(now)
	b.unreported = 0
}

// Recovering reports whether loans of a former keeper may still be unknown.
func (b *Bucket) Recovering() bool { return b.unreported > 0 }

// RestoreLoan takes over a loan of a former keeper.
func (b *Bucket) RestoreLoan(now clock.Millis, l Loan) {
	b.advance(now)
	if _, ok := b.loans[l.ID]; ok || l.Until <= now {
		return
	}
	b.addLoan(l)
	b.level = max(min(b.level, b.capacity()), 0)
}

// SetLimit changes rate and burst.
func (b *Bucket) SetLimit(now clock.Millis, ratePerMinute, burst int) {
	b.advance(now)
	b.RatePerMinute, b.Burst = ratePerMinute, burst
	b.level = max(min(b.level, b.capacity()), 0)
}

func (b *Bucket) capacity() int64 {
	return int64(b.Burst)*unitsPerToken - b.lent - b.unreported
}

func (b *Bucket) addLoan(l Loan) {
	b.loans[l.ID] = l
	b.lent += int64(l.Tokens) * unitsPerToken
}

func (b *Bucket) endLoan(l Loan) {
	delete(b.loans, l.ID)
	b.lent -= int64(l.Tokens) * unitsPerToken
}

// advance refills up to now and ends loans that have run out. Their tokens
// count as spent.
func (b *Bucket) advance(now clock.Millis) {
	if now > b.updatedAt {
		b.level = min(b.level+int64(now-b.updatedAt)*int64(b.RatePerMinute), b.capacity())
		b.updatedAt = now
	}
	if b.unreported > 0 && now >= b.unreportedUntil {
		b.unreported = 0
	}
	for _, l := range b.loans {
		if now >= l.Until {
			b.endLoan(l)
		}
	}
}

// Lend lends up to want tokens, and up to ahead more while the bucket is well
// filled. Without a whole token it returns the wait for the next one.
func (b *Bucket) Lend(now clock.Millis, host string, want, prefetch int, lifetime clock.Millis) (Loan, clock.Millis) {
	b.advance(now)
	n := min(want, int(b.level/unitsPerToken))
	if spare := int((b.level - int64(b.Burst)*unitsPerToken/2) / unitsPerToken); spare > n {
		n = min(want+prefetch, spare)
	}
	if n <= 0 {
		return Loan{}, b.waitTime(now)
	}
	b.lastNumber++
	l := Loan{ID: LoanID{b.Term, b.lastNumber}, Host: host, Tokens: n, Until: now + lifetime + lifetime/loanMarginDivisor}
	b.level -= int64(n) * unitsPerToken
	b.addLoan(l)
	return l, 0
}

// waitTime is the time until a token may be lent.
func (b *Bucket) waitTime(now clock.Millis) clock.Millis {
	w := clock.Millis(1)
	if missing := unitsPerToken - b.level; missing > 0 {
		w = clock.Millis(missing/int64(b.RatePerMinute)) + 1
	}
	if b.capacity() < unitsPerToken {
		w = max(w, b.nextExpiry(now)-now)
	}
	return w
}

func (b *Bucket) nextExpiry(now clock.Millis) clock.Millis {
	t := now + clock.Second
	if b.unreported > 0 {
		t = b.unreportedUntil
	}
	for _, l := range b.loans {
		t = min(t, l.Until)
	}
	return max(t, now+1)
}

// Settle ends a loan of which unspent tokens come back.
func (b *Bucket) Settle(now clock.Millis, id LoanID, unspent int) {
	b.advance(now)
	l, ok := b.loans[id]
	if !ok || unspent < 0 || unspent > l.Tokens {
		return
	}
	b.endLoan(l)
	b.level = min(b.level+int64(unspent)*unitsPerToken, b.capacity())
}

// EndLoans ends the loans of a host that can spend nothing more.
func (b *Bucket) EndLoans(now clock.Millis, host string) {
	b.advance(now)
	for _, l := range b.loans {
		if l.Host == host {
			b.endLoan(l)
		}
	}
}

// Tokens returns the whole tokens available and lent.
func (b *Bucket) Tokens(now clock.Millis) (available, lent int) {
	b.advance(now)
	return int(b.level / unitsPerToken), int(b.lent / unitsPerToken)
}
