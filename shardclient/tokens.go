package shardclient

import (
	"context"
	"math"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/carawayrack/carawayrack/clock"
	"github.com/carawayrack/carawayrack/leaseholder"
	"github.com/carawayrack/carawayrack/limit"
	"github.com/carawayrack/carawayrack/placement"
	"github.com/carawayrack/carawayrack/refusal"
)

// Tokens borrows tokens of client accounts and spends them on this host.
type Tokens struct {
	Host    string
	Locator *Locator
	Fences  *Fences
	Clock   clock.Clock
	// MaxWait is the longest time for which a request waits for the account's
	// rate to allow a token.
	MaxWait clock.Millis

	mu       sync.Mutex
	accounts map[string]*account
	stopped  chan struct{}
}

const (
	takeTimeout   = 500 * clock.Millis(1)
	idleAfter     = 100 * clock.Millis(1)
	sweepInterval = 50 * clock.Millis(1)
	// recoveryWait is how long requests wait at most after the account had no leaseholder, or
	// one that recovers the loans of former ones: they have come in together.
	recoveryWait = 3 * clock.Second
)

// account is the token cache of one account and the requests that wait for tokens.
type account struct {
	tokens   *Tokens
	name     string
	mu       sync.Mutex
	cache    limit.Cache
	waiters  []*tokenWaiter
	fetching bool
	// patientUntil is the end of recoveryWait.
	patientUntil clock.Millis
}

// tokenWaiter is a request that waits for a token. Its caller waits until deadline.
type tokenWaiter struct {
	until, deadline clock.Millis
	result          chan tokenResult
}

type tokenResult struct {
	token   limit.Token
	refusal *refusal.Refusal
}

// Reservation is a token that is reserved for one request.
type Reservation struct {
	account *account
	token   limit.Token
}

// Use spends the token when the request is sent. It reports false if the token has
// expired.
func (r *Reservation) Use() bool {
	r.account.mu.Lock()
	defer r.account.mu.Unlock()
	return r.account.cache.Use(r.account.tokens.Clock.Now(), r.token)
}

// Return returns the unused token to the cache.
func (r *Reservation) Return() {
	r.account.mu.Lock()
	defer r.account.mu.Unlock()
	r.account.cache.Return(r.account.tokens.Clock.Now(), r.token)
}

// Run starts to return idle tokens to their leaseholders.
func (t *Tokens) Run() {
	t.accounts = map[string]*account{}
	t.stopped = make(chan struct{})
	go t.loop()
}

// Close stops returning idle tokens.
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

// Take reserves one token of an account. It waits until c ends or for up to MaxWait,
// or longer while the leaseholder is searched for or a new one recovers loans. The
// refusal is RateExceeded, LeaseholderUnavailable, TimedOut if c ended, or the
// leaseholder's refusal.
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
	w := &tokenWaiter{until: now + t.MaxWait, deadline: math.MaxInt64, result: make(chan tokenResult, 1)}
	if at, ok := c.Deadline(); ok {
		w.deadline = now + clock.FromDuration(time.Until(at))
	}
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
		// A token that arrives too late expires with its loan.
		if errors.Is(c.Err(), context.DeadlineExceeded) {
			return nil, refusal.New(refusal.TimedOut, "the deadline has passed")
		}
		return nil, refusal.New(refusal.TimedOut, "the caller went away")
	}
}

// run borrows tokens until no request waits.
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

// borrow requests tokens of an account and settles earlier loans.
func (t *Tokens) borrow(name string, want, prefetch int, settled []limit.Settlement) (*leaseholder.TakeReply, *refusal.Refusal) {
	s := placement.AccountShard(name)
	k := &leaseholder.TakeArgs{Shard: s, Account: name, Host: t.Host, Want: want, Ahead: prefetch, Settled: settled}
	r, x := t.Locator.callLeaseholder(s, "Keeper.Take", k, func() reply { return &leaseholder.TakeReply{} }, takeTimeout, nil)
	if x != nil {
		return nil, x
	}
	return r.(*leaseholder.TakeReply), nil
}

// demand returns the arguments for the next call of borrow. It reports false, and
// ends the fetching, if no request waits.
func (a *account) demand() (want, prefetch int, settled []limit.Settlement, ok bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.waiters) == 0 {
		a.fetching = false
		return 0, 0, nil, false
	}
	return len(a.waiters), a.cache.PrefetchNeeded(a.tokens.Clock.Now()), a.cache.TakeSettlements(), true
}

// noteRecovery extends the time for which requests wait if the account had no leaseholder since
// a time, or has one that recovers.
func (a *account) noteRecovery(since, now clock.Millis, r *leaseholder.TakeReply) {
	if r.Settling || now-since > a.tokens.MaxWait {
		a.patientUntil = now + recoveryWait
	}
}

// distribute adds a loan to the cache, reserves tokens for the waiting requests and
// returns how long to wait before the next attempt to borrow.
func (a *account) distribute(sentAt clock.Millis, r *leaseholder.TakeReply) clock.Millis {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.tokens.Clock.Now()
	a.noteRecovery(sentAt, now, r)
	if r.Loan.ID.Term >= a.tokens.Fences.Term(placement.AccountShard(a.name)) {
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
	a.refuseLate(now, r.Wait)
	return r.Wait
}

// refuseLate refuses the requests that would wait too long for a token: those in the queue
// get theirs at the rate of the account at best. The caller must hold mu.
func (a *account) refuseLate(now, next clock.Millis) {
	gap := a.tokenInterval()
	rest := a.waiters[:0]
	for _, w := range a.waiters {
		wait := next + clock.Millis(float64(len(rest))*gap)
		if now+wait <= min(max(w.until, a.patientUntil), w.deadline) {
			rest = append(rest, w)
			continue
		}
		x := refusal.New(refusal.RateExceeded, "rate and burst of "+a.name+" are used up")
		x.RetryAfter = max(wait, 1)
		w.result <- tokenResult{refusal: x}
	}
	a.waiters = rest
}

// tokenInterval returns the time between two tokens of the account in milliseconds, 0 if it is
// not known.
func (a *account) tokenInterval() float64 {
	if s := a.tokens.Locator.Config(); s != nil && s.Accounts[a.name].RatePerMinute > 0 {
		return 60 * float64(clock.Second) / float64(s.Accounts[a.name].RatePerMinute)
	}
	return 0
}

// refuseAll refuses all waiting requests.
func (a *account) refuseAll(x *refusal.Refusal) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, w := range a.waiters {
		w.result <- tokenResult{refusal: x}
	}
	a.waiters = nil
}

// loop returns idle tokens every sweepInterval.
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

// sweep returns the idle tokens of all accounts.
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

// returnIdle returns the idle tokens of an account. During fetching it leaves this to
// the next call of borrow.
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
	// If this call fails, the tokens count as spent when the loan expires.
	_, _ = a.tokens.borrow(a.name, 0, 0, e)
}

// Fence makes the caches of a shard's accounts refuse loans of terms before term. It
// returns the outstanding loans by account, with the time left in Until.
func (t *Tokens) Fence(shard int, term uint64) map[string][]limit.Loan {
	t.mu.Lock()
	defer t.mu.Unlock()
	m := map[string][]limit.Loan{}
	now := t.Clock.Now()
	for n, a := range t.accounts {
		if placement.AccountShard(n) != shard {
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
