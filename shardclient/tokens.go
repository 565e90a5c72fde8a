package shardclient

import (
	"context"
	"sync"
	"time"

	"github.com/carawayrack/carawayrack/clock"
	"github.com/carawayrack/carawayrack/leaseholder"
	"github.com/carawayrack/carawayrack/limit"
	"github.com/carawayrack/carawayrack/refusal"
	"github.com/carawayrack/carawayrack/roster"
)

// Tokens spends the tokens of client accounts on this host.
type Tokens struct {
	Host    string
	Locator *Locator
	Fences  *Fences
	Clock   clock.Clock
	// MaxWait bounds the wait for a token that is due soon.
	MaxWait clock.Millis

	mu       sync.Mutex
	accounts map[string]*account
	stopped  chan struct{}
}

const (
	takeTimeout   = 500 * clock.Millis(1)
	idleAfter     = 100 * clock.Millis(1)
	sweepInterval = 50 * clock.Millis(1)
	// recoveryWait is how much longer requests wait while a new keeper
	// learns what was lent before it.
	recoveryWait = 1500 * clock.Millis(1)
)

// account is the purse of one account and the requests that wait for it.
type account struct {
	tokens   *Tokens
	name     string
	mu       sync.Mutex
	cache    limit.Cache
	waiters  []*tokenWaiter
	fetching bool
}

// tokenWaiter is a request that waits for a token.
type tokenWaiter struct {
	until  clock.Millis
	result chan tokenResult
}

type tokenResult struct {
	token   limit.Token
	refusal *refusal.Refusal
}

// Reservation is a token that is held for one request.
type Reservation struct {
	account *account
	token   limit.Token
}

// Use spends the token at the moment of sending. It reports false if the
// token has run out.
func (r *Reservation) Use() bool {
	r.account.mu.Lock()
	defer r.account.mu.Unlock()
	return r.account.cache.Use(r.account.tokens.Clock.Now(), r.token)
}

// Return gives the token back unused.
func (r *Reservation) Return() {
	r.account.mu.Lock()
	defer r.account.mu.Unlock()
	r.account.cache.Return(r.account.tokens.Clock.Now(), r.token)
}

// Run starts to give back idle tokens.
func (t *Tokens) Run() {
	t.accounts = map[string]*account{}
	t.stopped = make(chan struct{})
	go t.loop()
}

// Close stops giving back idle tokens.
func (t *Tokens) Close() { close(t.stopped) }

func (t *Tokens) account(name string) *account {
	t.mu.Lock()
	defer t.mu.Unlock()
	a := t.accounts[name]
	if a == nil {
		a = &account{tokens: t, name: name, cache: limit.Cache{IdleAfter: idleAfter}}
		t.accounts[name] = a
	}
	return a
}

// Take reserves one token of an account, waiting a short time for one that is
// due. The refusal is RateExceeded or KeeperAway.
func (t *Tokens) Take(c context.Context, name string) (*Reservation, *refusal.Refusal) {
	a := t.account(name)
	now := t.Clock.Now()
	a.mu.Lock()
	if len(a.waiters) == 0 {
		if k, ok := a.cache.Reserve(now); ok {
			a.mu.Unlock()
			return &Reservation{a, k}, nil
		}
	}
	w := &tokenWaiter{until: now + t.MaxWait, result: make(chan tokenResult, 1)}
	a.waiters = append(a.waiters, w)
	if !a.fetching {
		a.fetching = true
		go a.run()
	}
	a.mu.Unlock()
	select {
	case r := <-w.result:
		if r.refusal != nil {
			return nil, r.refusal
		}
		return &Reservation{a, r.token}, nil
	case <-c.Done():
		// A token that comes too late runs out with its loan.
		return nil, refusal.New(refusal.TimedOut, "the caller went away")
	}
}

// run fetches tokens until nobody waits.
func (a *account) run() {
	for {
		want, prefetch, settled, ok := a.demand()
		if !ok {
			return
		}
		at := a.tokens.Clock.Now()
		r, x := a.tokens.borrow(a.name, want, prefetch, settled)
		if x != nil {
			a.refuseAll(x)
			continue
		}
		if w := a.distribute(at, r); w > 0 {
			time.Sleep(w.Duration())
		}
	}
}

func (t *Tokens) borrow(name string, want, prefetch int, settled []limit.Settlement) (*leaseholder.TakeReply, *refusal.Refusal) {
	s := roster.AccountShard(name)
	k := &leaseholder.TakeArgs{Shard: s, Account: name, Host: t.Host, Want: want, Ahead: prefetch, Settled: settled}
	r, x := t.Locator.callLeaseholder(s, "Keeper.Take", k, func() reply { return &leaseholder.TakeReply{} }, takeTimeout, nil)
	if x != nil {
		return nil, x
	}
	return r.(*leaseholder.TakeReply), nil
}

func (a *account) demand() (want, prefetch int, settled []limit.Settlement, ok bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.waiters) == 0 {
		a.fetching = false
		return 0, 0, nil, false
	}
	return len(a.waiters), a.cache.Prefetch(a.tokens.Clock.Now()), a.cache.TakeSettlements(), true
}

// distribute hands out a loan and returns how long to wait before the next try.
func (a *account) distribute(sentAt clock.Millis, r *leaseholder.TakeReply) clock.Millis {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.tokens.Clock.Now()
	if r.Loan.ID.Term >= a.tokens.Fences.Term(roster.AccountShard(a.name)) {
		a.cache.Add(sentAt, r.Life, r.Loan)
	}
	for len(a.waiters) > 0 {
		k, ok := a.cache.Reserve(now)
		if !ok {
			break
		}
		a.waiters[0].result <- tokenResult{token: k}
		a.waiters = a.waiters[1:]
	}
	if r.Loan.Tokens > 0 || len(a.waiters) == 0 {
		return 0
	}
	extraWait := clock.Millis(0)
	if r.Settling {
		// It is the change of keeper that takes time, not the account's rate.
		extraWait = recoveryWait
	}
	a.refuseLate(now-extraWait, r.Wait)
	return r.Wait
}

// refuseLate refuses the requests that would wait too long for the next
// token. The caller holds mu.
func (a *account) refuseLate(now, wait clock.Millis) {
	rest := a.waiters[:0]
	for _, w := range a.waiters {
		if now+wait <= w.until {
			rest = append(rest, w)
			continue
		}
		x := refusal.New(refusal.RateExceeded, "rate and burst of "+a.name+" are used up")
		x.RetryAfter = max(wait, 1)
		w.result <- tokenResult{refusal: x}
	}
	a.waiters = rest
}

func (a *account) refuseAll(x *refusal.Refusal) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, w := range a.waiters {
		w.result <- tokenResult{refusal: x}
	}
	a.waiters = nil
}

// loop gives back idle tokens.
func (t *Tokens) loop() {
	for {
		select {
		case <-t.stopped:
			return
		case <-time.After(sweepInterval.Duration()):
			t.sweep()
		}
	}
}

func (t *Tokens) sweep() {
	t.mu.Lock()
	l := make([]*account, 0, len(t.accounts))
	for _, a := range t.accounts {
		l = append(l, a)
	}
	t.mu.Unlock()
	for _, a := range l {
		a.returnIdle()
	}
}

func (a *account) returnIdle() {
	a.mu.Lock()
	a.cache.ReturnIdle(a.tokens.Clock.Now())
	if a.fetching {
		a.mu.Unlock()
		return
	}
	e := a.cache.TakeSettlements()
	a.mu.Unlock()
	if len(e) == 0 {
		return
	}
	// Tokens that do not come back count as spent once the loan ends.
	_, _ = a.tokens.borrow(a.name, 0, 0, e)
}

// Fence returns the loans held for the accounts of a shard, Until being the
// time left, and refuses loans of earlier terms.
func (t *Tokens) Fence(shard int, term uint64) map[string][]limit.Loan {
	t.mu.Lock()
	defer t.mu.Unlock()
	m := map[string][]limit.Loan{}
	now := t.Clock.Now()
	for n, a := range t.accounts {
		if roster.AccountShard(n) != shard {
			continue
		}
		a.mu.Lock()
		for _, l := range a.cache.Fence(now, term) {
			l.Until -= now
			m[n] = append(m[n], l)
		}
		a.mu.Unlock()
	}
	return m
}
