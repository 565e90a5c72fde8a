package coordinator

import (
	"github.com/carawayrack/carawayrack/catalog"
	"github.com/carawayrack/carawayrack/clock"
	"github.com/carawayrack/carawayrack/quota"
)

// purseShare is the part of an account's rate that a control process holds
// ahead for its hosts.
const purseShare = 0.04

// leaderSilence is the time without an answer of the leader from which hosts
// are told that nobody lends.
const leaderSilence = 3 * reportInterval

// lender lends the tokens of client accounts: the leader from buckets, the
// others from purses that the leader fills.
type lender struct {
	buckets map[string]*quota.Bucket
	purses  map[string]*quota.Cache
	leading bool
	// ledAt is when this process began to lead.
	ledAt clock.Millis
	// heardAt is when the leader answered last.
	heardAt clock.Millis
	// leader is the address of the leader, empty if there is none.
	leader string
}

func (l *lender) run() {
	l.buckets = map[string]*quota.Bucket{}
	l.purses = map[string]*quota.Cache{}
}

func (l *lender) lead(now clock.Millis, leading bool, c *catalog.Config) {
	l.leading, l.ledAt = leading, now
	l.buckets = map[string]*quota.Bucket{}
	if !leading || c == nil {
		return
	}
	for _, a := range c.Accounts {
		if a.Rate > 0 {
			l.buckets[a.Name] = taken(now, a)
		}
	}
}

// taken returns the bucket of an account that another process lent from.
func taken(now clock.Millis, a catalog.Account) *quota.Bucket {
	b := &quota.Bucket{Rate: a.Rate, Burst: a.Burst}
	b.Run(now, min(takeoverShare+takeoverTokens/max(a.Burst, 1), 1))
	return b
}

// settledAfter is the time from which a leader has applied what was accepted
// before it led.
const settledAfter = 1 * clock.Second

// limits follows a new configuration. One that is applied just after the
// process began to lead was in force before: tokens of its accounts may have
// been lent a moment ago.
func (l *lender) limits(now clock.Millis, c *catalog.Config) {
	if c == nil {
		return
	}
	for n := range l.buckets {
		if a := c.Account(n); a == nil || a.Rate <= 0 {
			delete(l.buckets, n)
		}
	}
	for _, a := range c.Accounts {
		if p := l.purses[a.Name]; p != nil {
			p.MaxPrefetch = int(a.Rate * purseShare)
		} else {
			l.purses[a.Name] = &quota.Cache{MaxPrefetch: int(a.Rate * purseShare)}
		}
		if b := l.buckets[a.Name]; b != nil {
			b.Rate, b.Burst = a.Rate, a.Burst
		} else if l.leading && a.Rate > 0 {
			b := taken(now, a)
			if now-l.ledAt >= settledAfter {
				b.Run(now, 1)
			}
			l.buckets[a.Name] = b
		}
	}
}

// take lends tokens at the leader.
func (l *lender) take(now clock.Millis, account string, n int) (int, clock.Millis) {
	b := l.buckets[account]
	if b == nil {
		return 0, 0
	}
	k := b.Take(now, n)
	if k > 0 {
		return k, 0
	}
	return 0, b.Wait(now)
}

// borrow answers a host, or another control process at the leader.
func (l *lender) borrow(now clock.Millis, a BorrowArgs) BorrowReply {
	if l.leading {
		k, w := l.take(now, a.Account, a.Tokens+a.Ahead)
		return BorrowReply{Tokens: k, Wait: w, Known: true}
	}
	p := l.purses[a.Account]
	if p == nil {
		return BorrowReply{Known: true}
	}
	if p.Spend(now, a.Tokens) {
		return BorrowReply{Tokens: a.Tokens, Known: true}
	}
	if w := p.LenderWait(now); w > 0 {
		return BorrowReply{Wait: w, Known: true}
	}
	if now-l.heardAt > leaderSilence {
		return BorrowReply{}
	}
	return BorrowReply{Leader: l.leader}
}

// keep puts tokens in a purse that the leader lent, or notes that it has none.
func (l *lender) keep(now clock.Millis, m *lent) {
	p := l.purses[m.Account]
	if p == nil {
		return
	}
	p.Add(m.Tokens)
	if m.Wait > 0 {
		p.SetLenderEmpty(now, m.Wait)
	}
}

// ahead grants what hosts want ahead, as far as it is there.
func (l *lender) ahead(now clock.Millis, wants map[string]int) map[string]int {
	var g map[string]int
	for n, k := range wants {
		got := 0
		if l.leading {
			got, _ = l.take(now, n, k)
		} else if p := l.purses[n]; p != nil && p.Spend(now, k) {
			got = k
		}
		if got > 0 {
			if g == nil {
				g = map[string]int{}
			}
			g[n] = got
		}
	}
	return g
}

// wants returns what this process's purses want of the leader.
func (l *lender) wants(now clock.Millis) map[string]int {
	return CollectPositive(l.purses, func(p *quota.Cache) int { return p.PrefetchNeeded(now) })
}

// takeBack puts tokens back that hosts or other control processes did not
// spend.
func (l *lender) takeBack(now clock.Millis, returns map[string]int) {
	for n, k := range returns {
		if b := l.buckets[n]; l.leading && b != nil {
			b.Return(now, k)
		} else if p := l.purses[n]; p != nil {
			p.Add(k)
		}
	}
}

// surplus returns the tokens that go back to the leader.
func (l *lender) surplus(now clock.Millis) map[string]int {
	return CollectPositive(l.purses, func(p *quota.Cache) int { return p.TakeSurplus(now) })
}

// CollectPositive gathers the numbers that are not zero.
func CollectPositive[P any](m map[string]P, f func(P) int) map[string]int {
	var r map[string]int
	for n, p := range m {
		if k := f(p); k > 0 {
			if r == nil {
				r = map[string]int{}
			}
			r[n] = k
		}
	}
	return r
}
