package edge

import (
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
	fallbackShare = 0.7
	// zoneLenderShare is the part of fallbackShare that the zone lenders of all zones
	// together have; hosts whose zone lender does not respond have the rest.
	zoneLenderShare = 0.55
	// zoneLenderBurst is the number of tokens that a zone lender holds for requests that
	// arrive together.
	zoneLenderBurst = 2
	// fallbackBurst is the burst of the fallback bucket beyond one token, in
	// seconds of the host's part of the rate.
	fallbackBurst = 0.2
	borrowTimeout = 350 * clock.Millis(1)
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

// tokens holds the host's tokens of client accounts.
type tokens struct {
	clock clock.Clock
	// borrow requests tokens from a control process.
	borrow func(coordinator.BorrowArgs) (coordinator.BorrowReply, error)
	// reachable reports whether a control process has replied recently.
	reachable func() bool
	// hosts returns the number of hosts that take requests.
	hosts func() int
	// random returns a number in [0, 1).
	random func() float64
	// zoneLender returns the host of a large zone that has the zone's part of an
	// account's rate, and the number of zones; see peerTokens. It may be nil.
	zoneLender func(account string) (h coordinator.Host, zones int, ok bool)
	// request requests a token from a zone lender. It returns false without a response.
	request func(account string, lender coordinator.Host) (peerLoan, bool)
	// self is the host's ID.
	self string

	mu       sync.Mutex
	accounts map[string]*accountTokens
	// lenderAt is when a control process last replied.
	lenderAt clock.Millis
	// fallbackUntil is the end of the time in which the host does not try to
	// borrow.
	fallbackUntil clock.Millis
}

// accountTokens holds the tokens of one account.
type accountTokens struct {
	quota.Cache
	fallback quota.Bucket
	// fallbackUsedAt is when the fallback bucket was last used.
	fallbackUsedAt clock.Millis
}

func (t *tokens) run() { t.accounts = map[string]*accountTokens{} }

func (t *tokens) account(now clock.Millis, a *catalog.Account) *accountTokens {
	p := t.accounts[a.Name]
	if p == nil {
		p = &accountTokens{fallbackUsedAt: now - fallbackStartAfter - 1}
		t.accounts[a.Name] = p
	}
	p.MaxPrefetch = int(a.Rate * cacheShare / float64(max(t.hosts(), 1)))
	return p
}

// take takes one token. If there is none, it returns the time until there may
// be one again.
func (t *tokens) take(a *catalog.Account) (bool, clock.Millis) {
	if a.Rate <= 0 {
		return true, 0
	}
	now := t.clock.Now()
	t.mu.Lock()
	p := t.account(now, a)
	if p.Spend(now, 1) {
		t.mu.Unlock()
		return true, 0
	}
	switch s, w := t.nextSource(now, p); s {
	case sourceEmpty:
		t.mu.Unlock()
		return false, w
	case sourceOwnPart:
		t.mu.Unlock()
		return t.takeWithoutLender(a)
	}
	want := p.PrefetchNeeded(now)
	t.mu.Unlock()
	r, err := t.borrow(coordinator.BorrowArgs{Account: a.Name, Tokens: 1, Ahead: max(want-1, 0)})
	t.mu.Lock()
	now = t.clock.Now()
	if err != nil || !r.Known {
		t.fallbackUntil = now + fallbackFor
		t.mu.Unlock()
		return t.takeWithoutLender(a)
	}
	defer t.mu.Unlock()
	t.lenderAt = now
	p.Add(r.Tokens)
	if p.SpendBorrowed(1) {
		return true, 0
	}
	w := max(r.Wait, minRetryAfter)
	p.SetLenderEmpty(now, w)
	return false, w
}

// tokenSource is where the next token of an account comes from.
type tokenSource string

const (
	// sourceHeld: the host holds tokens that it has borrowed.
	sourceHeld tokenSource = "held"
	// sourceEmpty: the lender is expected to have no tokens for a while.
	sourceEmpty tokenSource = "lenderEmpty"
	// sourceOwnPart: no control process lends; see takeWithoutLender.
	sourceOwnPart tokenSource = "withoutLender"
	// sourceLender: a control process is asked for it.
	sourceLender tokenSource = "lender"
)

// nextSource returns the source of the next token of an account, and the time until
// the lender may have tokens if it has none; t.mu is held.
func (t *tokens) nextSource(now clock.Millis, p *accountTokens) (tokenSource, clock.Millis) {
	if p.Tokens() > 0 {
		return sourceHeld, 0
	}
	if w := p.LenderWait(now); w > 0 {
		return sourceEmpty, w
	}
	if now < t.fallbackUntil || !t.reachable() {
		return sourceOwnPart, 0
	}
	return sourceLender, 0
}

// takeWithoutLender takes a token while no control process lends any: from the
// zone lender of the account in a large zone, otherwise of the host's own part of the
// rate.
func (t *tokens) takeWithoutLender(a *catalog.Account) (bool, clock.Millis) {
	if t.zoneLender == nil {
		return t.takeFallback(a, t.ownPart(fallbackShare))
	}
	h, zones, ok := t.zoneLender(a.Name)
	switch {
	case !ok:
		return t.takeFallback(a, t.ownPart(fallbackShare))
	case h.ID == t.self:
		return t.takeFallback(a, fallbackPart{share: zoneLenderShare / float64(zones), burst: zoneLenderBurst})
	}
	if l, ok := t.request(a.Name, h); ok {
		return l.ok, l.wait
	}
	return t.takeFallback(a, t.ownPart(fallbackShare-zoneLenderShare))
}

// takeForPeer takes a token for another host of the zone: one that a control
// process lends, or else of the part of this host.
func (t *tokens) takeForPeer(a *catalog.Account) (bool, clock.Millis) {
	if h, _, ok := t.zoneLender(a.Name); !ok || h.ID != t.self {
		// The other host has another list of hosts.
		return false, minRetryAfter
	}
	return t.take(a)
}

// fallbackPart is the part of an account's limits that a host uses alone: share of
// the rate, and burst tokens at once beyond those of fallbackBurst.
type fallbackPart struct{ share, burst float64 }

// ownPart returns the part of each host if all of them together use a share.
func (t *tokens) ownPart(share float64) fallbackPart {
	return fallbackPart{share: share / float64(max(t.hosts(), 1)), burst: 1}
}

// takeFallback takes a token of a part of an account's rate that belongs to this
// host alone. The bucket starts with the tokens of fallbackBurst and a random part
// of one more, so that many hosts together do not start with more than the account
// may use.
func (t *tokens) takeFallback(a *catalog.Account, f fallbackPart) (bool, clock.Millis) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	p := t.account(now, a)
	ahead := a.Rate * fallbackBurst * f.share / fallbackShare
	// Rate and Burst are set without a refill: Take adds the tokens of the time
	// since the last use.
	p.fallback.Rate, p.fallback.Burst = a.Rate*f.share, f.burst+ahead
	if now-p.fallbackUsedAt > fallbackStartAfter {
		p.fallback.Run(now, (t.random()+ahead)/p.fallback.Burst)
	}
	// Until then the lender's tokens took the place of those of the bucket.
	p.fallback.Resume(t.lenderAt)
	p.fallbackUsedAt = now
	if p.fallback.Take(now, 1) == 1 {
		return true, 0
	}
	return false, max(p.fallback.Wait(now), minRetryAfter)
}

// wants returns the tokens to prefetch and those to return, by account.
func (t *tokens) wants(now clock.Millis) (wants, returns map[string]int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	wants = coordinator.CollectPositive(t.accounts, func(p *accountTokens) int { return p.PrefetchNeeded(now) })
	returns = coordinator.CollectPositive(t.accounts, func(p *accountTokens) int { return p.TakeSurplus(now) })
	return wants, returns
}

// add puts the tokens of a control process's reply into the caches.
func (t *tokens) add(g map[string]int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.lenderAt = t.clock.Now()
	for n, k := range g {
		if p := t.accounts[n]; p != nil {
			p.Add(k)
		}
	}
}
