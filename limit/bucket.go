// Package limit keeps a client account within its rate and burst over all
// hosts together. One keeper owns the bucket and lends tokens to hosts.
package limit

import "github.com/carawayrack/carawayrack/clock"

// unitsPerToken makes refilling exact: a rate of one request a minute adds
// one unit a millisecond.
const unitsPerToken = 60_000

// loanMargin is the part of a loan's life by which the keeper counts longer
// than the host, for clocks that differ in speed.
const loanMargin = 10

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

	level  int64
	lent   int64
	at     clock.Millis
	loans  map[LoanID]Loan
	number uint64
	// unknown bounds what former keepers lent and nobody has reported, until
	// unknownUntil. It is the whole burst: after two changes of keeper in a
	// row both may have loans outstanding.
	unknown      int64
	unknownUntil clock.Millis
}

// Init starts an empty bucket. Until the time unknownUntil, tokens lent by a
// former keeper may still be spent; Known ends that early.
func (b *Bucket) Init(now, unknownUntil clock.Millis) {
	b.at = now
	b.loans = map[LoanID]Loan{}
	if unknownUntil > now {
		b.unknown = int64(b.Burst) * unitsPerToken
		b.unknownUntil = unknownUntil
	}
}

// Fill starts the bucket full: the account has never been served before.
func (b *Bucket) Fill() { b.level = b.capacity() }

// FinishRecovery ends the uncertainty about loans of a former keeper.
func (b *Bucket) FinishRecovery(now clock.Millis) {
	b.advance(now)
	b.unknown = 0
}

// Recovering reports whether loans of a former keeper may still be unknown.
func (b *Bucket) Recovering() bool { return b.unknown > 0 }

// RestoreLoan takes over a loan of a former keeper.
func (b *Bucket) RestoreLoan(now clock.Millis, l Loan) {
	b.advance(now)
	if _, ok := b.loans[l.ID]; ok || l.Until <= now {
		return
	}
	b.add(l)
	b.level = max(min(b.level, b.capacity()), 0)
}

// SetLimit changes rate and burst.
func (b *Bucket) SetLimit(now clock.Millis, ratePerMinute, burst int) {
	b.advance(now)
	b.RatePerMinute, b.Burst = ratePerMinute, burst
	b.level = max(min(b.level, b.capacity()), 0)
}

func (b *Bucket) capacity() int64 {
	return int64(b.Burst)*unitsPerToken - b.lent - b.unknown
}

func (b *Bucket) add(l Loan) {
	b.loans[l.ID] = l
	b.lent += int64(l.Tokens) * unitsPerToken
}

func (b *Bucket) end(l Loan) {
	delete(b.loans, l.ID)
	b.lent -= int64(l.Tokens) * unitsPerToken
}

// advance refills up to now and ends loans that have run out. Their tokens
// count as spent.
func (b *Bucket) advance(now clock.Millis) {
	if now > b.at {
		b.level = min(b.level+int64(now-b.at)*int64(b.RatePerMinute), b.capacity())
		b.at = now
	}
	if b.unknown > 0 && now >= b.unknownUntil {
		b.unknown = 0
	}
	for _, l := range b.loans {
		if now >= l.Until {
			b.end(l)
		}
	}
}

// Lend lends up to want tokens, and up to ahead more while the bucket is well
// filled. Without a whole token it returns the wait for the next one.
func (b *Bucket) Lend(now clock.Millis, host string, want, ahead int, life clock.Millis) (Loan, clock.Millis) {
	b.advance(now)
	n := min(want, int(b.level/unitsPerToken))
	if spare := int((b.level - int64(b.Burst)*unitsPerToken/2) / unitsPerToken); spare > n {
		n = min(want+ahead, spare)
	}
	if n <= 0 {
		return Loan{}, b.wait(now)
	}
	b.number++
	l := Loan{ID: LoanID{b.Term, b.number}, Host: host, Tokens: n, Until: now + life + life/loanMargin}
	b.level -= int64(n) * unitsPerToken
	b.add(l)
	return l, 0
}

// wait is the time until a token may be lent.
func (b *Bucket) wait(now clock.Millis) clock.Millis {
	w := clock.Millis(1)
	if lack := unitsPerToken - b.level; lack > 0 {
		w = clock.Millis(lack/int64(b.RatePerMinute)) + 1
	}
	if b.capacity() < unitsPerToken {
		w = max(w, b.nextEnd(now)-now)
	}
	return w
}

func (b *Bucket) nextEnd(now clock.Millis) clock.Millis {
	t := now + clock.Second
	if b.unknown > 0 {
		t = b.unknownUntil
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
	b.end(l)
	b.level = min(b.level+int64(unspent)*unitsPerToken, b.capacity())
}

// EndLoans ends the loans of a host that can spend nothing more.
func (b *Bucket) EndLoans(now clock.Millis, host string) {
	b.advance(now)
	for _, l := range b.loans {
		if l.Host == host {
			b.end(l)
		}
	}
}

// Tokens returns the whole tokens available and lent.
func (b *Bucket) Tokens(now clock.Millis) (available, lent int) {
	b.advance(now)
	return int(b.level / unitsPerToken), int(b.lent / unitsPerToken)
}
