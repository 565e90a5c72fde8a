package shardclient

import (
	"context"
	"sync"
	"time"

	"github.com/carawayrack/carawayrack/clock"
	"github.com/carawayrack/carawayrack/leaseholder"
	"github.com/carawayrack/carawayrack/limit"
	"github.com/carawayrack/carawayrack/placement"
	"github.com/carawayrack/carawayrack/refusal"
)

// Tokens spends the tokens of client accounts on this host.
type Tokens struct {
	Host    string
	Locator *Locator
	Fences  *Fences
	Clock   clock.Clock
	// MaxWait bounds the wait for a token that is due soon.
	MaxWait clock.Millis

	mu      sync.Mutex
	purses  map[string]*account
	stopped chan struct{}
}

const (
	takeTimeout   = 500 * clock.Millis(1)
	idleAfter     = 100 * clock.Millis(1)
	sweepInterval = 50 * clock.Millis(1)
	// settlingWait is how much longer requests wait while a new keeper
	// learns what was lent before it.
	settlingWait = 1500 * clock.Millis(1)
)

// account is the purse of one account and the requests that wait for it.
type account struct {
	tokens   *Tokens
	name     string
	mu       sync.Mutex
	purse    limit.Cache
	waiters  []*tokenWaiter
	fetching bool
}

// tokenWaiter is a request that waits for a token.
type tokenWaiter struct {
	until  clock.Millis
	answer chan tokenAnswer
}

type tokenAnswer struct {
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
	return r.account.purse.Use(r.account.tokens.Clock.Now(), r.token)
}

// Return gives the token back unused.
func (r *Reservation) Return() {
	r.account.mu.Lock()
	defer r.account.mu.Unlock()
	r.account.purse.Return(r.account.tokens.Clock.Now(), r.token)
}

// Run starts to give back idle tokens.
func (t *Tokens) Run() {
	t.purses = map[string]*account{}
	t.stopped = make(chan struct{})
	go t.loop()
}

// Close stops giving back idle tokens.
func (t *Tokens) Close() { close(t.stopped) }

func (t *Tokens) account(name string) *account {
	t.mu.Lock()
	defer t.mu.Unlock()
	a := t.purses[name]
	if a == nil {
		a = &account{tokens: t, name: name, purse: limit.Cache{IdleAfter: idleAfter}}
		t.purses[name] = a
	}
	return a
}

// Take reserves one token of an account, waiting a short time for one that is
// due. The refusal is RateExceeded or LeaseholderUnavailable.
func (t *Tokens) Take(c context.Context, name string) (*Reservation, *refusal.Refusal) {
	a := t.account(name)
	now := t.Clock.Now()
	a.mu.Lock()
	if len(a.waiters) == 0 {
		if k, ok := a.purse.Reserve(now); ok {
			a.mu.Unlock()
			return &Reservation{a, k}, nil
		}
	}
	w := &tokenWaiter{until: now + t.MaxWait, answer: make(chan tokenAnswer, 1)}
	a.waiters = append(a.waiters, w)
	if !a.fetching {
		a.fetching = true
		go a.run()
	}
	a.mu.Unlock()
	select {
	case r := <-w.answer:
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
		want, ahead, settled, ok := a.demand()
		if !ok {
			return
		}
		at := a.tokens.Clock.Now()
		r, x := a.tokens.ask(a.name, want, ahead, settled)
		if x != nil {
			a.refuseAll(x)
			continue
		}
		if w := a.serve(at, r); w > 0 {
			time.Sleep(w.Duration())
		}
	}
}

func (t *Tokens) ask(name string, want, ahead int, settled []limit.Settlement) (*leaseholder.TakeReply, *refusal.Refusal) {
	s := placement.AccountShard(name)
	k := &leaseholder.TakeArgs{Shard: s, Account: name, Host: t.Host, Want: want, Ahead: ahead, Settled: settled}
	r, x := t.Locator.ask(s, "Keeper.Take", k, func() reply { return &leaseholder.TakeReply{} }, takeTimeout, nil)
	if x != nil {
		return nil, x
	}
	return r.(*leaseholder.TakeReply), nil
}

func (a *account) demand() (want, ahead int, settled []limit.Settlement, ok bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.waiters) == 0 {
		a.fetching = false
		return 0, 0, nil, false
	}
	return len(a.waiters), a.purse.PrefetchNeeded(a.tokens.Clock.Now()), a.purse.TakeSettlements(), true
}

// serve hands out a loan and returns how long to wait before the next try.
func (a *account) serve(askedAt clock.Millis, r *leaseholder.TakeReply) clock.Millis {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.tokens.Clock.Now()
	if r.Loan.ID.Term >= a.tokens.Fences.Term(placement.AccountShard(a.name)) {
		a.purse.Add(askedAt, r.Life, r.Loan)
	}
	for len(a.waiters) > 0 {
		k, ok := a.purse.Reserve(now)
		if !ok {
			break
		}
		a.waiters[0].answer <- tokenAnswer{token: k}
		a.waiters = a.waiters[1:]
	}
	if r.Loan.Tokens > 0 || len(a.waiters) == 0 {
		return 0
	}
	patience := clock.Millis(0)
	if r.Settling {
		// It is the change of keeper that takes time, not the account's rate.
		patience = settlingWait
	}
	a.refuseLate(now-patience, r.Wait)
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
		w.answer <- tokenAnswer{refusal: x}
	}
	a.waiters = rest
}

func (a *account) refuseAll(x *refusal.Refusal) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, w := range a.waiters {
		w.answer <- tokenAnswer{refusal: x}
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
	l := make([]*account, 0, len(t.purses))
	for _, a := range t.purses {
		l = append(l, a)
	}
	t.mu.Unlock()
	for _, a := range l {
		a.giveBack()
	}
}

func (a *account) giveBack() {
	a.mu.Lock()
	a.purse.ReturnIdle(a.tokens.Clock.Now())
	if a.fetching {
		a.mu.Unlock()
		return
	}
	e := a.purse.TakeSettlements()
	a.mu.Unlock()
	if len(e) == 0 {
		return
	}
	// Tokens that do not come back count as spent once the loan ends.
	_, _ = a.tokens.ask(a.name, 0, 0, e)
}

// Fence returns the loans held for the accounts of a shard, Until being the
// time left, and refuses loans of earlier terms.
func (t *Tokens) Fence(shard int, term uint64) map[string][]limit.Loan {
	t.mu.Lock()
	defer t.mu.Unlock()
	m := map[string][]limit.Loan{}
	now := t.Clock.Now()
	for n, a := range t.purses {
		if placement.AccountShard(n) != shard {
			continue
		}
		a.mu.Lock()
		for _, l := range a.purse.Fence(now, term) {
			l.Until -= now
			m[n] = append(m[n], l)
		}
		a.mu.Unlock()
	}
	return m
}
