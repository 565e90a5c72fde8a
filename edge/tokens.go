package edge

import (
	"sync"

	"github.com/carawayrack/carawayrack/catalog"
	"github.com/carawayrack/carawayrack/clock"
	"github.com/carawayrack/carawayrack/coordinator"
	"github.com/carawayrack/carawayrack/quota"
)

const (
	// purseShare is the part of a second's rate that all hosts together hold
	// ahead.
	purseShare = 0.3
	// fallbackShare is the part of its share of a rate that a host uses while
	// nobody lends.
	fallbackShare = 0.7
	fallbackBurst = 0.2
	borrowTimeout = 350 * clock.Millis(1)
	// aloneAfter is the time without use of a host's own part after which it
	// starts anew.
	aloneAfter = 1 * clock.Second
	// minEmpty is the shortest time for which an account counts as empty.
	minEmpty = 30 * clock.Millis(1)
	// fallbackFor is how long a host goes on without asking again.
	fallbackFor = 200 * clock.Millis(1)
)

// tokens holds the host's tokens of client accounts.
type tokens struct {
	clock clock.Clock
	// borrow asks a control process.
	borrow func(coordinator.BorrowArgs) (coordinator.BorrowReply, error)
	// reachable reports whether a control process has answered lately.
	reachable func() bool
	// hosts returns the number of hosts that take requests.
	hosts func() int
	// random returns a number in [0, 1).
	random func() float64

	mu       sync.Mutex
	accounts map[string]*purse
	// aloneUntil is the end of the time in which nobody is asked.
	aloneUntil clock.Millis
}

// purse is what the host holds for one account.
type purse struct {
	quota.Cache
	fallback quota.Bucket
	// aloneAt is when the host used its own part last.
	aloneAt clock.Millis
}

func (t *tokens) run() { t.accounts = map[string]*purse{} }

func (t *tokens) purse(now clock.Millis, a *catalog.Account) *purse {
	p := t.accounts[a.Name]
	if p == nil {
		p = &purse{aloneAt: -aloneAfter}
		t.accounts[a.Name] = p
	}
	p.MaxPrefetch = int(a.Rate * purseShare / float64(max(t.hosts(), 1)))
	return p
}

// take takes one token. Without one it returns the time until there may be
// one again.
func (t *tokens) take(a *catalog.Account) (bool, clock.Millis) {
	if a.Rate <= 0 {
		return true, 0
	}
	now := t.clock.Now()
	t.mu.Lock()
	p := t.purse(now, a)
	if p.Spend(now, 1) {
		t.mu.Unlock()
		return true, 0
	}
	if w := p.LenderWait(now); w > 0 {
		t.mu.Unlock()
		return false, w
	}
	if now < t.aloneUntil || !t.reachable() {
		defer t.mu.Unlock()
		return t.alone(now, a, p)
	}
	want := p.PrefetchNeeded(now)
	t.mu.Unlock()
	r, err := t.borrow(coordinator.BorrowArgs{Account: a.Name, Tokens: 1, Ahead: max(want-1, 0)})
	t.mu.Lock()
	defer t.mu.Unlock()
	now = t.clock.Now()
	if err != nil || !r.Known {
		t.aloneUntil = now + fallbackFor
		return t.alone(now, a, p)
	}
	p.Add(r.Tokens)
	if p.SpendBorrowed(1) {
		return true, 0
	}
	w := max(r.Wait, minEmpty)
	p.SetLenderEmpty(now, w)
	return false, w
}

// alone uses the host's own part of the rate while nobody lends. It starts
// with a part of a token by chance, so that many hosts together begin with no
// more than they may.
func (t *tokens) alone(now clock.Millis, a *catalog.Account, p *purse) (bool, clock.Millis) {
	n := float64(max(t.hosts(), 1))
	// Set without a refill: what was not used since the last time counts.
	p.fallback.Rate, p.fallback.Burst = a.Rate*fallbackShare/n, 1+a.Rate*fallbackBurst/n
	if now-p.aloneAt > aloneAfter {
		p.fallback.Run(now, (t.random()+a.Rate*fallbackBurst/n)/p.fallback.Burst)
	}
	p.aloneAt = now
	if p.fallback.Take(now, 1) == 1 {
		return true, 0
	}
	return false, max(p.fallback.Wait(now), minEmpty)
}

// wants returns the tokens to borrow ahead, surplus those to give back.
func (t *tokens) wants(now clock.Millis) (wants, surplus map[string]int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	wants = coordinator.CollectPositive(t.accounts, func(p *purse) int { return p.PrefetchNeeded(now) })
	surplus = coordinator.CollectPositive(t.accounts, func(p *purse) int { return p.TakeSurplus(now) })
	return wants, surplus
}

// add puts borrowed tokens in.
func (t *tokens) add(g map[string]int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for n, k := range g {
		if p := t.accounts[n]; p != nil {
			p.Add(k)
		}
	}
}
