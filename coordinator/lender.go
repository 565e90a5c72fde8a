package coordinator

import (
	"github.com/carawayrack/carawayrack/catalog"
	"github.com/carawayrack/carawayrack/clock"
	"github.com/carawayrack/carawayrack/quota"
)

const (
	// cacheShare bounds the tokens that a control process prefetches for its hosts,
	// as a share of the account's tokens for one second.
	cacheShare = 0.04
	// allCachesShare bounds those of all control processes together.
	allCachesShare = 0.2
)

// leaderTimeout is the time without a response from the leader after which this
// process no longer refers hosts to it, and responds that it cannot decide.
const leaderTimeout = 3 * reportInterval

// lender lends the tokens of client accounts to hosts: at the leader from token
// buckets, at the other control processes from caches of tokens that they
// borrowed from the leader.
type lender struct {
	// buckets and caches are by account. Only the leader has buckets.
	buckets map[string]*quota.Bucket
	caches  map[string]*quota.Cache
	leading bool
	// lendFrom and lendUntil are the times of the leader's lease.
	lendFrom, lendUntil clock.Millis
	// processes is the number of control processes, config the configuration of setLimits.
	processes int
	config    *catalog.Config
	// spent holds the tokens that hosts have spent of their own parts, by account, until
	// the next report to the leader.
	spent map[string]int
	// ledAt is when the role last changed: at the leader, when it began to lead.
	ledAt clock.Millis
	// leaderReplyAt is when the leader last responded to a report.
	leaderReplyAt clock.Millis
	// couldLendAt is when a leader could last lend tokens, as far as this process knows.
	couldLendAt clock.Millis
	// leaderAddr is the address of the leader, empty if none is known.
	leaderAddr string
}

func (l *lender) run() {
	l.buckets = map[string]*quota.Bucket{}
	l.caches = map[string]*quota.Cache{}
	l.spent = map[string]int{}
}

// setLeading is called when the role changes. A new leader does not know which tokens
// were lent before, so that its buckets begin with takeoverTokens.
func (l *lender) setLeading(now clock.Millis, leading bool, c *catalog.Config) {
	l.leading, l.ledAt = leading, now
	l.buckets = map[string]*quota.Bucket{}
	l.setLimits(now, c)
}

// newBucket returns the bucket of an account that the leader sees for the first time. It
// has been filling up since the leader began to lead, also if the account is new: the
// former leader may have lent tokens of it.
func (l *lender) newBucket(a catalog.Account) *quota.Bucket {
	b := &quota.Bucket{Rate: a.Rate, Burst: a.Burst}
	n := takeoverTokens + a.Rate*(1-OwnShare)*float64(leaseMargin)/1000
	b.Run(l.ledAt, min(n/max(a.Burst, 1), 1))
	return b
}

// setLimits applies the limits of a new configuration. The bucket of an account that the
// configuration lacks is kept until it is full, for the case that the account comes back.
func (l *lender) setLimits(now clock.Millis, c *catalog.Config) {
	if c == nil {
		return
	}
	for n, b := range l.buckets {
		if a := c.Account(n); (a == nil || a.Rate <= 0) && b.Full(now) {
			delete(l.buckets, n)
		}
	}
	l.config = c
	l.sizeCaches()
	for _, a := range c.Accounts {
		if a.Rate <= 0 || !l.leading {
			continue
		}
		if b := l.buckets[a.Name]; b != nil {
			b.SetLimit(now, a.Rate, a.Burst)
		} else {
			l.buckets[a.Name] = l.newBucket(a)
		}
	}
}

// setProcesses sets the number of control processes.
func (l *lender) setProcesses(n int) {
	if n != l.processes {
		l.processes = n
		l.sizeCaches()
	}
}

// sizeCaches sets the number of tokens that this process may prefetch for each account.
func (l *lender) sizeCaches() {
	if l.config == nil {
		return
	}
	share := min(cacheShare, allCachesShare/float64(max(l.processes, 1)))
	for _, a := range l.config.Accounts {
		if l.caches[a.Name] == nil {
			l.caches[a.Name] = &quota.Cache{}
		}
		l.caches[a.Name].MaxPrefetch = int(a.Rate * share)
	}
}

// lend lends up to n tokens for requests that wait and ahead for later ones from the
// leader's bucket. If it has none, it returns the time until it has one. It returns zeros
// for an account without a bucket.
func (l *lender) lend(now clock.Millis, account string, n, ahead int) (int, clock.Millis) {
	b := l.buckets[account]
	if b == nil {
		return 0, 0
	}
	k := b.TakeAhead(now, n+ahead, n)
	if k > 0 {
		return k, 0
	}
	return 0, b.Wait(now)
}

// borrow handles a request for tokens: of a host, or at the leader also of
// another control process. Without enough tokens in its cache a process that
// does not lead returns the time until the leader is expected to have tokens
// again, or else the leader's address.
func (l *lender) borrow(now clock.Millis, a BorrowArgs) BorrowReply {
	if l.leading && (!l.mayLend(now) || l.config == nil) {
		return BorrowReply{}
	}
	if l.leading {
		k, w := l.lend(now, a.Account, a.Tokens, a.Ahead)
		return BorrowReply{Tokens: k, Wait: w, Known: true}
	}
	// A process that has just started, or lags behind, may not know the account.
	if p := l.caches[a.Account]; p != nil {
		if p.Spend(now, a.Tokens) {
			return BorrowReply{Tokens: a.Tokens, Known: true}
		}
		if w := p.LenderWait(now); w > 0 {
			return BorrowReply{Wait: w, Known: true}
		}
	}
	if now-l.leaderReplyAt > leaderTimeout {
		return BorrowReply{}
	}
	return BorrowReply{Leader: l.leaderAddr}
}

// mayLend reports whether the leader may lend tokens: no other leader does so, and it
// ceases before another one can begin.
func (l *lender) mayLend(now clock.Millis) bool {
	return now >= l.lendFrom && now < l.lendUntil-leaseMargin
}

// lenderAge returns the time since a leader could last lend tokens.
func (l *lender) lenderAge(now clock.Millis) clock.Millis {
	if end := min(now, l.lendUntil-leaseMargin); l.leading && end >= l.lendFrom {
		l.couldLendAt = max(l.couldLendAt, end)
	}
	return now - l.couldLendAt
}

// debit takes tokens that hosts have spent of their own parts off the buckets, or keeps them
// for the report to the leader. While no leader replies none of them is counted: no tokens
// are lent in that time, or the leader takes the hosts of this process as absent.
func (l *lender) debit(now clock.Millis, spent map[string]int) {
	for n, k := range spent {
		if b := l.buckets[n]; l.leading && b != nil {
			b.Debit(now, float64(k))
		} else if !l.leading && now-l.leaderReplyAt <= leaderTimeout {
			l.spent[n] += k
		}
	}
}

// debitAll takes the tokens of a time, in seconds, off each bucket.
func (l *lender) debitAll(now clock.Millis, seconds float64) {
	if seconds <= 0 {
		return
	}
	for _, b := range l.buckets {
		b.Debit(now, b.Rate*seconds)
	}
}

// takeSpent returns the tokens that hosts have spent of their own parts since the last call.
func (l *lender) takeSpent() map[string]int {
	s := l.spent
	l.spent = map[string]int{}
	return s
}

// addLoan puts tokens that the leader lent into the account's cache, and records
// how long the leader has none.
func (l *lender) addLoan(now clock.Millis, m *loan) {
	p := l.caches[m.Account]
	if p == nil {
		return
	}
	p.Add(m.Tokens)
	if m.Wait > 0 {
		p.SetLenderEmpty(now, m.Wait)
	}
}

// prefetch lends tokens that hosts or other control processes want to prefetch.
// For each account the leader lends as many as it has, and the other processes
// lend all that are wanted or none. It returns the tokens lent by account.
func (l *lender) prefetch(now clock.Millis, wants map[string]int) map[string]int {
	var g map[string]int
	for n, k := range wants {
		got := 0
		if l.leading && l.mayLend(now) {
			got, _ = l.lend(now, n, 0, k)
		} else if p := l.caches[n]; p != nil && p.Spend(now, k) {
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

// wants returns the tokens that this process wants to prefetch from the
// leader, by account.
func (l *lender) wants(now clock.Millis) map[string]int {
	return CollectPositive(l.caches, func(p *quota.Cache) int { return p.PrefetchNeeded(now) })
}

// returnTokens takes tokens back that hosts or other control processes borrowed
// and did not spend.
func (l *lender) returnTokens(now clock.Millis, returns map[string]int) {
	for n, k := range returns {
		if b := l.buckets[n]; l.leading && b != nil {
			b.Return(now, k)
		} else if p := l.caches[n]; p != nil {
			p.Add(k)
		}
	}
}

// surplus takes the unused tokens out of the caches and returns them by
// account. They go back to the leader.
func (l *lender) surplus(now clock.Millis) map[string]int {
	return CollectPositive(l.caches, func(p *quota.Cache) int { return p.TakeSurplus(now) })
}

// CollectPositive calls f on each value of m and returns the results above zero
// by the same keys, nil if there are none.
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
