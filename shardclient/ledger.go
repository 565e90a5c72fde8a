package shardclient

import (
	"context"
	"sync"
	"time"

	"github.com/carawayrack/carawayrack/clock"
	"github.com/carawayrack/carawayrack/journal"
	"github.com/carawayrack/carawayrack/leaseholder"
	"github.com/carawayrack/carawayrack/placement"
	"github.com/carawayrack/carawayrack/refusal"
	"github.com/carawayrack/carawayrack/slots"
)

// Ledger obtains grants of slots, renews them and records those that this host
// uses.
type Ledger struct {
	Host        string
	Incarnation string
	Locator     *Locator
	Fences      *Fences
	Clock       clock.Clock
	// ContactTimeout is the time without contact with a leaseholder after which
	// the requests that hold its slots are cancelled. A new leaseholder relies
	// on it: it waits that long, and a margin, for hosts that do not report.
	ContactTimeout clock.Millis
	Journal        func(journal.Event)
	// Release sends a release to a host, without waiting for a reply.
	Release func(host string, a leaseholder.ReleaseArgs)

	// Report sends a report of what this host holds to a leaseholder whose fence
	// call did not succeed.
	Report func(host string, a leaseholder.FenceArgs)

	mu sync.Mutex
	// waiting is the number of requests that wait for a slot, by shard.
	waiting    map[int]int
	lastTicket uint64
	held       map[slots.GrantID]*HeldGrant
	// lastContact is, by shard, when the newest call that succeeded was sent, or
	// when the leaseholder last fenced this host.
	lastContact map[int]clock.Millis
	stopped     chan struct{}
}

// HeldGrant is a grant in use.
type HeldGrant struct {
	Grant    slots.Grant
	Request  slots.Request
	shard    int
	since    clock.Millis
	deadline clock.Millis
	cancel   context.CancelCauseFunc
	ledger   *Ledger
}

const (
	renewInterval = 500 * clock.Millis(1)
	renewTimeout  = 500 * clock.Millis(1)
	// acquireMargin is how much longer a call may take than the request waits for
	// a slot.
	acquireMargin = 1 * clock.Second
)

// Run starts to renew grants.
func (l *Ledger) Run() {
	l.held = map[slots.GrantID]*HeldGrant{}
	l.lastContact = map[int]clock.Millis{}
	l.waiting = map[int]int{}
	l.stopped = make(chan struct{})
	go l.loop()
}

// Close stops renewing.
func (l *Ledger) Close() { close(l.stopped) }

// Acquire requests a slot from the leaseholder of a service and waits for it. It
// calls cancel later if the request must end, since the leaseholder has been out
// of reach for ContactTimeout.
func (l *Ledger) Acquire(r slots.Request, cancel context.CancelCauseFunc) (*HeldGrant, *refusal.Refusal) {
	s := placement.ServiceShard(r.Service)
	r.Ticket = l.startWaiting(s)
	defer l.stopWaiting(s)
	r.Host, r.Incarnation = l.Host, l.Incarnation
	at := l.Clock.Now()
	a := &leaseholder.AcquireArgs{Shard: s, Request: r}
	lost := func(host string) {
		l.Release(host, leaseholder.ReleaseArgs{Shard: s, Service: r.Service, Host: l.Host, Ticket: r.Ticket})
	}
	p, x := l.Locator.callLeaseholder(s, "Keeper.Acquire", a, func() reply { at = l.Clock.Now(); return &leaseholder.AcquireReply{} }, r.Wait+acquireMargin, lost)
	if x != nil {
		return nil, x
	}
	q := p.(*leaseholder.AcquireReply).Result
	if q.Grant == nil {
		return nil, refusalOf(q)
	}
	return l.add(at, s, r, *q.Grant, cancel)
}

// startWaiting counts a request that waits for a slot and returns its ticket.
func (l *Ledger) startWaiting(shard int) uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.waiting[shard]++
	l.lastTicket++
	return l.lastTicket
}

// stopWaiting undoes startWaiting.
func (l *Ledger) stopWaiting(shard int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.waiting[shard]--
	if l.waiting[shard] == 0 {
		delete(l.waiting, shard)
	}
}

// refusalOf converts a leaseholder's refusal to one for the caller.
func refusalOf(q slots.Result) *refusal.Refusal {
	if q.Refused == slots.IsQuarantined {
		x := refusal.New(refusal.Quarantined, "targets died under this request before")
		x.RetryAfter = q.Quarantine
		return x
	}
	x := refusal.New(refusal.NoCapacity, string(q.Refused))
	x.RetryAfter = clock.Second
	return x
}

// add records a grant as in use. It refuses the grant if its leaseholder was
// replaced since the request was sent, or may have been, because the last contact
// was ContactTimeout ago or earlier.
func (l *Ledger) add(sentAt clock.Millis, shard int, r slots.Request, g slots.Grant, cancel context.CancelCauseFunc) (*HeldGrant, *refusal.Refusal) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.Clock.Now()
	l.lastContact[shard] = max(l.lastContact[shard], sentAt)
	if g.ID.Term < l.Fences.Term(shard) || now >= l.lastContact[shard]+l.ContactTimeout {
		return nil, refusal.New(refusal.LeaseholderUnavailable, "the slot came from a keeper that was replaced")
	}
	h := &HeldGrant{Grant: g, Request: r, shard: shard, since: now, deadline: now + g.Deadline, cancel: cancel, ledger: l}
	l.held[g.ID] = h
	return h, nil
}

// Done ends the use of a grant and sends the outcome of the request to the
// leaseholder. That message may be lost, so Done returns the release, which the
// caller can send again in the Reports of its next slots.Request.
func (h *HeldGrant) Done(o slots.Outcome, firstByte clock.Millis) slots.Release {
	l := h.ledger
	l.mu.Lock()
	delete(l.held, h.Grant.ID)
	l.mu.Unlock()
	r := slots.Release{
		ID: h.Grant.ID, Service: h.Grant.Service, Target: h.Grant.Target, Host: l.Host,
		Outcome: o, Fingerprint: h.Request.Fingerprint, FirstByte: firstByte,
	}
	for _, host := range l.Locator.candidates(h.shard)[:1] {
		l.Release(host, leaseholder.ReleaseArgs{Shard: h.shard, Service: h.Grant.Service, Release: r})
	}
	return r
}

// Fence returns the grants in use of a shard, for its new leaseholder. The call
// counts as contact with it.
func (l *Ledger) Fence(a leaseholder.FenceArgs) []slots.Holding {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.Clock.Now()
	l.lastContact[a.Shard] = now
	var r []slots.Holding
	for _, h := range l.held {
		if h.shard != a.Shard {
			continue
		}
		r = append(r, slots.Holding{
			Grant: h.Grant, Account: h.Request.Account, Idempotent: h.Request.Idempotent,
			Age: now - h.since, Left: h.deadline - now,
		})
	}
	return r
}

func (l *Ledger) loop() {
	for {
		select {
		case <-l.stopped:
			return
		case <-time.After(renewInterval.Duration()):
		}
		for _, s := range l.shards() {
			r := &renewal{l, s}
			go r.run()
		}
		l.cancelWithoutContact()
	}
}

// shards returns the shards of which grants are in use or requested.
func (l *Ledger) shards() []int {
	l.mu.Lock()
	defer l.mu.Unlock()
	seen := map[int]bool{}
	var r []int
	for _, h := range l.held {
		if !seen[h.shard] {
			seen[h.shard] = true
			r = append(r, h.shard)
		}
	}
	for n := range l.waiting {
		if !seen[n] {
			r = append(r, n)
		}
	}
	return r
}

// renewal notifies one leaseholder that grants are in use or requested.
type renewal struct {
	ledger *Ledger
	shard  int
}

func (r *renewal) run() {
	l := r.ledger
	at := l.Clock.Now()
	a := &leaseholder.RenewArgs{Shard: r.shard, Host: l.Host, Incarnation: l.Incarnation}
	p, x, done := l.Locator.tryMembers(r.shard, "Keeper.Renew", a, func() reply { return &leaseholder.RenewReply{} }, renewTimeout, nil)
	if !done || x != nil {
		return
	}
	if v := p.(*leaseholder.RenewReply); v.Unlearned {
		l.Report(v.Keeper, leaseholder.FenceArgs{Shard: r.shard, Term: v.Term, Keeper: v.Keeper})
		return
	}
	l.mu.Lock()
	l.lastContact[r.shard] = max(l.lastContact[r.shard], at)
	l.mu.Unlock()
}

// cancelWithoutContact cancels the requests that hold slots of leaseholders that
// have been out of reach for ContactTimeout.
func (l *Ledger) cancelWithoutContact() {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.Clock.Now()
	for _, h := range l.held {
		if now-l.lastContact[h.shard] < l.ContactTimeout {
			continue
		}
		l.Journal(journal.Event{Kind: journal.RequestCancelled, Subject: h.Request.RequestID, Cause: "no contact to the leaseholder of " + h.Grant.Service})
		h.cancel(ContactLost{})
	}
}

// InUse returns the number of grants in use.
func (l *Ledger) InUse() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.held)
}

// ContactLost is the cause of cancelling a request whose slot could not be renewed.
type ContactLost struct{}

func (ContactLost) Error() string { return "the slot could not be renewed" }
