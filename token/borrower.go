// Package token holds the tokens of client accounts at a host: it borrows them from
// control processes, or from other hosts of a large zone while no control process lends
// any, and otherwise takes them of the host's own part of the rate.
package token

import (
	"maps"
	"sync"

	"github.com/carawayrack/carawayrack/catalog"
	"github.com/carawayrack/carawayrack/clock"
	"github.com/carawayrack/carawayrack/coordinator"
	"github.com/carawayrack/carawayrack/quota"
)

const (
	// cacheShare is the share of a second's rate that all hosts together may
	// prefetch.
	cacheShare = 0.3
	// fallbackShare is the share that hosts use of their part of a rate while they
	// cannot borrow.
	fallbackShare = coordinator.OwnShare
	// zoneLenderShare is the part of fallbackShare that the zone lenders of all zones
	// together have; hosts whose zone lender does not respond have the rest.
	zoneLenderShare = 0.55
	// zoneLenderBurst is the number of tokens that a zone lender holds for requests that
	// arrive together.
	zoneLenderBurst = 2
	// fallbackBurst is the burst of the fallback bucket beyond one token, in
	// seconds of the host's part of the rate.
	fallbackBurst = 0.2
	// fallbackStartAfter is the time without use after which the fallback bucket
	// starts with new tokens: longer than the time over which quotas are measured,
	// so that a lender that is lost again and again does not add up.
	fallbackStartAfter = 6 * clock.Second
	// minRetryAfter is the shortest time for which requests do not try to borrow
	// after a reply without tokens, and the shortest Retry-After while the
	// fallback bucket is empty.
	minRetryAfter = 30 * clock.Millis(1)
	// fallbackFor is how long a host uses the fallback after a failed request to
	// borrow, before it tries again.
	fallbackFor = 200 * clock.Millis(1)
)

// Borrower holds the host's tokens of client accounts. The fields must be set before
// Run; the borrower may then be used from several goroutines.
type Borrower struct {
	Clock clock.Clock
	// Borrow requests tokens from a control process. After an error, or a reply that is
	// not Known, the host does without control processes for 200 ms.
	Borrow func(coordinator.BorrowArgs) (coordinator.BorrowReply, error)
	// Reachable reports whether a control process has replied recently.
	Reachable func() bool
	// Hosts returns the number of hosts that take requests.
	Hosts func() int
	// Random returns a number in [0, 1).
	Random func() float64
	// ZoneLender returns the host of a large zone that has the zone's part of an
	// account's rate, and the number of zones; see Peers. It may be nil.
	ZoneLender func(account string) (h coordinator.Host, zones int, ok bool)
	// Request requests a token from a zone lender. It returns false without a response.
	// It may be nil if ZoneLender is.
	Request func(account string, lender coordinator.Host) (Loan, bool)
	// Self is the host's ID.
	Self string

	mu       sync.Mutex
	accounts map[string]*account
	// spent holds the tokens spent of the host's own part since the last call of Settle
	// with what is now its round.
	spent map[string]int
	round uint64
	// lenderAt is when a control process last lent tokens or could have done so.
	lenderAt clock.Millis
	// fallbackUntil is the end of the time in which the host does not try to
	// borrow.
	fallbackUntil clock.Millis
}

// account holds the tokens of one account.
type account struct {
	quota.Cache
	fallback quota.Bucket
	// fallbackUsedAt is when the fallback bucket was last used.
	fallbackUsedAt clock.Millis
}

// Run initializes the borrower.
func (b *Borrower) Run() {
	b.accounts = map[string]*account{}
	b.spent = map[string]int{}
}

// find returns the tokens of an account; b.mu is held.
func (b *Borrower) find(now clock.Millis, a *catalog.Account) *account {
	p := b.accounts[a.Name]
	if p == nil {
		p = &account{fallbackUsedAt: now - fallbackStartAfter - 1}
		b.accounts[a.Name] = p
	}
	p.MaxPrefetch = int(a.Rate * cacheShare / float64(max(b.Hosts(), 1)))
	return p
}

// Take takes one token of an account; an account without a rate needs none. If there is
// none, it returns the time until there may be one again. It may wait for a control
// process or a zone lender.
func (b *Borrower) Take(a *catalog.Account) (bool, clock.Millis) {
	ok, wait, _ := b.TakeFrom(a)
	return ok, wait
}

// TakeFrom is Take and returns where the token comes from, or who has none: SourceLender if
// control processes lend, also from what the host holds, otherwise SourceOwnPart.
func (b *Borrower) TakeFrom(a *catalog.Account) (bool, clock.Millis, Source) {
	if a.Rate <= 0 {
		return true, 0, SourceLender
	}
	now := b.Clock.Now()
	b.mu.Lock()
	p := b.find(now, a)
	if p.Spend(now, 1) {
		b.mu.Unlock()
		return true, 0, SourceLender
	}
	switch s, w := b.nextSource(now, p); s {
	case SourceEmpty:
		b.mu.Unlock()
		return false, w, SourceLender
	case SourceOwnPart:
		b.mu.Unlock()
		ok, wait := b.takeWithoutLender(a)
		return ok, wait, SourceOwnPart
	}
	want := p.PrefetchNeeded(now)
	b.mu.Unlock()
	r, err := b.Borrow(coordinator.BorrowArgs{Account: a.Name, Tokens: 1, Ahead: max(want-1, 0)})
	b.mu.Lock()
	now = b.Clock.Now()
	if err != nil || !r.Known {
		b.fallbackUntil = now + fallbackFor
		b.mu.Unlock()
		ok, wait := b.takeWithoutLender(a)
		return ok, wait, SourceOwnPart
	}
	defer b.mu.Unlock()
	b.lenderAt = now
	p.Add(r.Tokens)
	if p.SpendBorrowed(1) {
		return true, 0, SourceLender
	}
	w := max(r.Wait, minRetryAfter)
	p.SetLenderEmpty(now, w)
	return false, w, SourceLender
}

// Source is where the next token of an account comes from.
type Source string

const (
	// SourceHeld: the host holds tokens that it has borrowed.
	SourceHeld Source = "held"
	// SourceEmpty: the lender is expected to have no tokens for a while.
	SourceEmpty Source = "lenderEmpty"
	// SourceOwnPart: no control process lends; see takeWithoutLender.
	SourceOwnPart Source = "withoutLender"
	// SourceLender: a control process is asked for it.
	SourceLender Source = "lender"
)

// nextSource returns the source of the next token of an account, and the time until
// the lender may have tokens if it has none; b.mu is held.
func (b *Borrower) nextSource(now clock.Millis, p *account) (Source, clock.Millis) {
	if p.Tokens() > 0 {
		return SourceHeld, 0
	}
	if w := p.LenderWait(now); w > 0 {
		return SourceEmpty, w
	}
	if now < b.fallbackUntil || !b.Reachable() {
		return SourceOwnPart, 0
	}
	return SourceLender, 0
}

// State is what a borrower holds of an account.
type State struct {
	// Held is the number of tokens that the host has borrowed.
	Held int
	// Source is where the next token comes from, empty for an account without a rate.
	// With SourceEmpty, Wait is the time until the lender may have tokens.
	Source Source
	Wait   clock.Millis
	// LenderAge is the time since a control process last lent tokens of any account, -1
	// if none has.
	LenderAge clock.Millis
}

// State returns the state of an account without changing it.
func (b *Borrower) State(now clock.Millis, a *catalog.Account) State {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := State{LenderAge: -1}
	if b.lenderAt > 0 {
		s.LenderAge = now - b.lenderAt
	}
	if a.Rate <= 0 {
		return s
	}
	p := b.accounts[a.Name]
	if p == nil {
		p = &account{}
	}
	s.Source, s.Wait = b.nextSource(now, p)
	s.Held = p.Tokens()
	return s
}

// takeWithoutLender takes a token while no control process lends any: from the
// zone lender of the account in a large zone, otherwise of the host's own part of the
// rate.
func (b *Borrower) takeWithoutLender(a *catalog.Account) (bool, clock.Millis) {
	if b.ZoneLender == nil {
		return b.takeFallback(a, b.ownPart(fallbackShare))
	}
	h, zones, ok := b.ZoneLender(a.Name)
	switch {
	case !ok:
		return b.takeFallback(a, b.ownPart(fallbackShare))
	case h.ID == b.Self:
		return b.takeFallback(a, fallbackPart{share: zoneLenderShare / float64(zones), burst: zoneLenderBurst})
	}
	if l, ok := b.Request(a.Name, h); ok {
		return l.OK, l.Wait
	}
	return b.takeFallback(a, b.ownPart(fallbackShare-zoneLenderShare))
}

// TakeForPeer takes a token for another host of the zone: one that a control
// process lends, or else of the part of this host.
func (b *Borrower) TakeForPeer(a *catalog.Account) (bool, clock.Millis) {
	if h, _, ok := b.ZoneLender(a.Name); !ok || h.ID != b.Self {
		// The other host has another list of hosts.
		return false, minRetryAfter
	}
	return b.Take(a)
}

// fallbackPart is the part of an account's limits that a host uses alone: share of
// the rate, and burst tokens at once beyond those of fallbackBurst.
type fallbackPart struct{ share, burst float64 }

// ownPart returns the part of each host if all of them together use a share.
func (b *Borrower) ownPart(share float64) fallbackPart {
	return fallbackPart{share: share / float64(max(b.Hosts(), 1)), burst: 1}
}

// takeFallback takes a token of a part of an account's rate that belongs to this
// host alone. The bucket starts with the tokens of fallbackBurst and a random part
// of one more, so that many hosts together do not start with more than the account
// may use.
func (b *Borrower) takeFallback(a *catalog.Account, f fallbackPart) (bool, clock.Millis) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.Clock.Now()
	p := b.find(now, a)
	ahead := a.Rate * fallbackBurst * f.share / fallbackShare
	// Rate and Burst are set without a refill: Take adds the tokens of the time
	// since the last use.
	p.fallback.Rate, p.fallback.Burst = a.Rate*f.share, f.burst+ahead
	if now-p.fallbackUsedAt > fallbackStartAfter {
		p.fallback.Run(now, (b.Random()+ahead)/p.fallback.Burst)
	}
	// Until then the lender's tokens took the place of those of the bucket.
	p.fallback.Resume(b.lenderAt)
	p.fallbackUsedAt = now
	if p.fallback.Take(now, 1) == 1 {
		b.spent[a.Name]++
		return true, 0
	}
	return false, max(p.fallback.Wait(now), minRetryAfter)
}

// Wants returns the tokens to prefetch and those to return, by account. The borrower no
// longer has the latter.
func (b *Borrower) Wants(now clock.Millis) (wants, returns map[string]int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	wants = coordinator.CollectPositive(b.accounts, func(p *account) int { return p.PrefetchNeeded(now) })
	returns = coordinator.CollectPositive(b.accounts, func(p *account) int { return p.TakeSurplus(now) })
	return wants, returns
}

// Spent returns the tokens that were spent of the host's own part, by account, since a control
// process has last replied, and the number of such replies.
func (b *Borrower) Spent() (spent map[string]int, round uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return maps.Clone(b.spent), b.round
}

// Settle drops tokens that a control process knows as spent.
func (b *Borrower) Settle(spent map[string]int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.round++
	for n, k := range spent {
		if b.spent[n] -= k; b.spent[n] <= 0 {
			delete(b.spent, n)
		}
	}
}

// Add puts the tokens of a control process's reply, by account, into the caches. A control
// process replies also while nobody lends, which lenderAge tells.
func (b *Borrower) Add(g map[string]int, lenderAge clock.Millis) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.lenderAt = max(b.lenderAt, b.Clock.Now()-lenderAge)
	for n, k := range g {
		if p := b.accounts[n]; p != nil {
			p.Add(k)
		}
	}
}
