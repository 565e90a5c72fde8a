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
	// fallbackShare is the share that a host uses of its part of a rate while it
	// cannot borrow.
	fallbackShare = 0.7
	// fallbackBurst is the burst of the fallback bucket beyond one token, in
	// seconds of the host's part of the rate.
	fallbackBurst = 0.2
	borrowTimeout = 350 * clock.Millis(1)
	// fallbackResetAfter is the time without use after which the fallback bucket
	// starts anew.
	fallbackResetAfter = 1 * clock.Second
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

	mu       sync.Mutex
	accounts map[string]*accountTokens
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
		p = &accountTokens{fallbackUsedAt: -fallbackResetAfter}
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
	if w := p.LenderWait(now); w > 0 {
		t.mu.Unlock()
		return false, w
	}
	if now < t.fallbackUntil || !t.reachable() {
		defer t.mu.Unlock()
		return t.takeFallback(now, a, p)
	}
	want := p.PrefetchNeeded(now)
	t.mu.Unlock()
	r, err := t.borrow(coordinator.BorrowArgs{Account: a.Name, Tokens: 1, Ahead: max(want-1, 0)})
	t.mu.Lock()
	defer t.mu.Unlock()
	now = t.clock.Now()
	if err != nil || !r.Known {
		t.fallbackUntil = now + fallbackFor
		return t.takeFallback(now, a, p)
	}
	p.Add(r.Tokens)
	if p.SpendBorrowed(1) {
		return true, 0
	}
	w := max(r.Wait, minRetryAfter)
	p.SetLenderEmpty(now, w)
	return false, w
}

// takeFallback takes a token of the host's own part of the rate while it
// cannot borrow. The bucket starts with the tokens of fallbackBurst and a random
// part of one more, so that many hosts together do not start with more than the
// account may use.
func (t *tokens) takeFallback(now clock.Millis, a *catalog.Account, p *accountTokens) (bool, clock.Millis) {
	n := float64(max(t.hosts(), 1))
	// Rate and Burst are set without a refill: Take adds the tokens of the time
	// since the last use.
	p.fallback.Rate, p.fallback.Burst = a.Rate*fallbackShare/n, 1+a.Rate*fallbackBurst/n
	if now-p.fallbackUsedAt > fallbackResetAfter {
		p.fallback.Run(now, (t.random()+a.Rate*fallbackBurst/n)/p.fallback.Burst)
	}
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

// add puts borrowed tokens into the caches.
func (t *tokens) add(g map[string]int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for n, k := range g {
		if p := t.accounts[n]; p != nil {
			p.Add(k)
		}
	}
}
