// Package limit enforces the rate and burst of a client account over all hosts
// together. The leaseholder of the account's shard owns the token bucket and
// lends tokens to hosts, which hold them in a token cache.
package limit

import "github.com/carawayrack/carawayrack/clock"

// unitsPerToken is the number of units in a token. With it, refilling needs no
// rounding: a rate of one request a minute adds one unit a millisecond.
const unitsPerToken = 60_000

// loanMarginDivisor sets how much longer the leaseholder counts a loan than the
// host does: by the loan's lifetime divided by this number. The margin allows
// for clocks that run at different speeds.
const loanMarginDivisor = 10

// returnTime is how much longer the leaseholder counts a loan, so that the tokens that a
// host did not spend come back before it ends.
const returnTime = 300 * clock.Millis(1)

// LoanID identifies a loan across changes of leaseholder.
type LoanID struct {
	Term, Number uint64
}

// Loan is a number of tokens lent to a host. It ends at Until: by the
// leaseholder's clock if Bucket returns it, by the host's clock if Cache does.
type Loan struct {
	ID     LoanID
	Host   string
	Tokens int
	Until  clock.Millis
}

// Bucket is the token bucket of one account. Its level and its outstanding
// loans together never exceed the burst. So hosts spend at most
// rate x t + burst tokens in every window of length t, no matter when they
// spend borrowed tokens. Its methods must not be called concurrently.
type Bucket struct {
	RatePerMinute int
	Burst         int
	Term          uint64

	// level and lent are in units; lent is the sum of loans.
	level      int64
	lent       int64
	updatedAt  clock.Millis
	loans      map[LoanID]Loan
	lastNumber uint64
	// unreported is an upper bound, in units, of the loans of former
	// leaseholders that hosts have not reported yet. It counts until
	// unreportedUntil. It is the whole burst, because after two changes of
	// leaseholder in a row both former ones may have loans outstanding.
	unreported      int64
	unreportedUntil clock.Millis
}

// Run starts with an empty bucket. Until unreportedUntil, hosts may still spend
// tokens that a former leaseholder lent; FinishRecovery ends this time early.
func (b *Bucket) Run(now, unreportedUntil clock.Millis) {
	b.updatedAt = now
	b.loans = map[LoanID]Loan{}
	if unreportedUntil > now {
		b.unreported = int64(b.Burst) * unitsPerToken
		b.unreportedUntil = unreportedUntil
	}
}

// Fill fills the bucket. It is for accounts that were never served before.
func (b *Bucket) Fill() { b.level = b.capacity() }

// FinishRecovery ends the recovery, since all loans of former leaseholders have
// been restored.
func (b *Bucket) FinishRecovery(now clock.Millis) {
	b.advance(now)
	b.unreported = 0
}

// Recovering reports whether loans of former leaseholders may still be
// unreported.
func (b *Bucket) Recovering() bool { return b.unreported > 0 }

// RestoreLoan adds a loan that a former leaseholder made. It ignores loans that
// are known already or have expired.
func (b *Bucket) RestoreLoan(now clock.Millis, l Loan) {
	b.advance(now)
	if _, ok := b.loans[l.ID]; ok || l.Until <= now {
		return
	}
	l.Until += returnTime
	b.addLoan(l)
	b.level = max(min(b.level, b.capacity()), 0)
}

// SetLimit changes the rate and the burst.
func (b *Bucket) SetLimit(now clock.Millis, ratePerMinute, burst int) {
	b.advance(now)
	b.RatePerMinute, b.Burst = ratePerMinute, burst
	b.level = max(min(b.level, b.capacity()), 0)
}

// capacity returns the highest level, in units, that loans leave possible.
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

// advance refills the bucket up to now and ends loans that no host has settled. Their tokens
// count as spent.
func (b *Bucket) advance(now clock.Millis) {
	// The capacity grows with each end, so that the time before and after it counts apart.
	for {
		t, ok := b.nextEnd()
		if !ok || t > now {
			break
		}
		b.refill(t)
		b.endAt(t)
	}
	b.refill(now)
}

func (b *Bucket) refill(now clock.Millis) {
	if now > b.updatedAt {
		b.level = min(b.level+int64(now-b.updatedAt)*int64(b.RatePerMinute), b.capacity())
		b.updatedAt = now
	}
}

// nextEnd returns the next time at which a loan expires or unreported loans stop counting. It
// returns false if there are none.
func (b *Bucket) nextEnd() (t clock.Millis, ok bool) {
	if b.unreported > 0 {
		t, ok = b.unreportedUntil, true
	}
	for _, l := range b.loans {
		if !ok || l.Until < t {
			t, ok = l.Until, true
		}
	}
	return t, ok
}

// endAt ends the loans that expire, and unreported ones that stop counting, by a time.
func (b *Bucket) endAt(t clock.Millis) {
	if b.unreported > 0 && t >= b.unreportedUntil {
		b.unreported = 0
	}
	for _, l := range b.loans {
		if t >= l.Until {
			b.endLoan(l)
		}
	}
}

// Lend lends up to want tokens to a host, and up to prefetch more from what the
// bucket holds above half of the burst. The host may use them for lifetime. If
// there is no whole token, it returns an empty loan and the time to wait until
// the next one.
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
	l := Loan{ID: LoanID{b.Term, b.lastNumber}, Host: host, Tokens: n, Until: now + lifetime + lifetime/loanMarginDivisor + returnTime}
	b.level -= int64(n) * unitsPerToken
	b.addLoan(l)
	return l, 0
}

// waitTime returns the time until a token may be available.
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

// nextExpiry is nextEnd, at most a second from now unless loans are unreported.
func (b *Bucket) nextExpiry(now clock.Millis) clock.Millis {
	t, ok := b.nextEnd()
	if latest := now + clock.Second; !ok || b.unreported == 0 && t > latest {
		t = latest
	}
	return max(t, now+1)
}

// Settle ends a loan and puts its unspent tokens back into the bucket. It
// ignores unknown loans and impossible numbers of tokens.
func (b *Bucket) Settle(now clock.Millis, id LoanID, unspent int) {
	b.advance(now)
	l, ok := b.loans[id]
	if !ok || unspent < 0 || unspent > l.Tokens {
		return
	}
	b.endLoan(l)
	b.level = min(b.level+int64(unspent)*unitsPerToken, b.capacity())
}

// Full reports whether the bucket holds its whole burst, so that it need not be kept.
func (b *Bucket) Full(now clock.Millis) bool {
	b.advance(now)
	return b.lent == 0 && b.unreported == 0 && b.level >= b.capacity()
}

// EndLoans ends the loans of a host that can no longer spend tokens. Their
// tokens count as spent.
func (b *Bucket) EndLoans(now clock.Millis, host string) {
	b.advance(now)
	for _, l := range b.loans {
		if l.Host == host {
			b.endLoan(l)
		}
	}
}

// Tokens returns the numbers of whole tokens that are available and lent.
func (b *Bucket) Tokens(now clock.Millis) (available, lent int) {
	b.advance(now)
	return int(b.level / unitsPerToken), int(b.lent / unitsPerToken)
}
