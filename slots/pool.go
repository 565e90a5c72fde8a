// Package slots decides which request runs on which target of a service. The
// keeper of a service owns one pool, the only giver of its targets' slots: it
// keeps targets in a cold start within what they bear, serves accounts
// fairly, ejects failing targets without going below the floor, and
// quarantines requests that crash targets.
package slots

import (
	"slices"
	"sort"

	"github.com/carawayrack/carawayrack/clock"
	"github.com/carawayrack/carawayrack/config"
	"github.com/carawayrack/carawayrack/journal"
)

// Pool is the decision state for one service. Its methods must not be called
// concurrently. Results are collected until Take.
type Pool struct {
	Service config.Service
	// Journal receives the decisions that a person may ask about.
	Journal func(journal.Event)
	// Violated is told of a broken invariant.
	Violated func(invariant, detail string)
	// HostLapse is the time after which a host that cannot reach the keeper
	// has cancelled its requests.
	HostLapse clock.Millis

	term         uint64
	grantCount   uint64
	targets      map[string]*target
	sorted       []*target
	zonesOut     map[string]bool
	grants       map[GrantID]*activeGrant
	queue        queue
	crashes      crashes
	unreported   map[string]bool
	recoverUntil clock.Millis
	baseline     int64
	results      []Result
}

// activeGrant is a grant in use.
type activeGrant struct {
	grant       Grant
	account     string
	host        string
	incarnation string
	ticket      uint64
	idempotent  bool
	since       clock.Millis
	deadline    clock.Millis
}

const (
	// announceTimeout is the silence after which a target without successes
	// is gone.
	announceTimeout = 10 * clock.Second
	// releaseGrace is how long after a deadline a slot is still taken.
	releaseGrace = 500 * clock.Millis(1)
	// maxScanned bounds the waiting requests of an account that are tried when
	// the first ones suit no free target.
	maxScanned = 32
)

// Init starts an empty pool.
func (p *Pool) Init() {
	p.targets = map[string]*target{}
	p.grants = map[GrantID]*activeGrant{}
	p.queue = newQueue()
	p.crashes = crashes{byFingerprint: map[string]*crash{}}
	p.zonesOut = map[string]bool{}
}

// Lead makes the pool the giver of slots under a term. It grants nothing
// until the hosts have reported what they hold, or HostLapse has passed.
func (p *Pool) Lead(now clock.Millis, term uint64, hosts []string) {
	p.term = term
	p.unreported = map[string]bool{}
	for _, h := range hosts {
		p.unreported[h] = true
	}
	p.recoverUntil = now + p.HostLapse
}

// StepDown stops granting, since another keeper may lead.
func (p *Pool) StepDown() {
	for _, a := range p.queue.accounts() {
		for _, w := range p.queue.byAccount[a] {
			p.refuse(w.request, LeaseholderChanged)
		}
	}
	p.term = 0
	p.grants = map[GrantID]*activeGrant{}
	p.queue = newQueue()
	for _, t := range p.targets {
		t.grants = map[GrantID]*activeGrant{}
	}
}

// Restore takes over what a host holds.
func (p *Pool) Restore(now clock.Millis, host, incarnation string, l []Holding) {
	for _, h := range l {
		if _, ok := p.grants[h.Grant.ID]; ok {
			continue
		}
		p.addGrant(&activeGrant{
			grant: h.Grant, account: h.Account, host: host, incarnation: incarnation,
			idempotent: h.Idempotent, since: now - h.Age, deadline: now + h.Left,
		})
	}
	delete(p.unreported, host)
	p.dispatch(now)
}

// ReleaseHost frees what a host held whose process is proved dead. Grants of the
// incarnation alive stay; it is empty if none is.
func (p *Pool) ReleaseHost(now clock.Millis, host, alive string) {
	delete(p.unreported, host)
	for id, g := range p.grants {
		if g.host == host && g.incarnation != alive {
			p.removeGrant(id, g)
		}
	}
	p.dispatch(now)
}

// Hosts returns the hosts that hold slots.
func (p *Pool) Hosts() map[string]bool {
	m := map[string]bool{}
	for _, g := range p.grants {
		m[g.host] = true
	}
	return m
}

func (p *Pool) addGrant(g *activeGrant) {
	p.grants[g.grant.ID] = g
	p.queue.addSlot(g.account)
	if t := p.targets[g.grant.Target]; t != nil {
		t.grants[g.grant.ID] = g
	}
}

func (p *Pool) removeGrant(id GrantID, g *activeGrant) {
	delete(p.grants, id)
	p.queue.removeSlot(g.account)
	if t := p.targets[g.grant.Target]; t != nil {
		delete(t.grants, id)
	}
}

// SetEvacuatedZones tells which zones operators have taken out.
func (p *Pool) SetEvacuatedZones(now clock.Millis, out map[string]bool) {
	p.zonesOut = out
	p.dispatch(now)
}

// Announce takes in what a target says of itself.
func (p *Pool) Announce(now clock.Millis, a Announcement) {
	t := p.targets[a.Target]
	if t == nil {
		t = p.addNewTarget(now, a)
	} else if t.ann.Incarnation != a.Incarnation {
		p.restartTarget(now, t, a)
	}
	if a.State == Leaving && t.ann.State != Leaving {
		p.recordEvent(journal.TargetLeaving, a.Target, "announced", "")
	}
	if a.State == Cold && t.warm {
		p.resetToCold(now, t, "announced cold")
	}
	t.ann = a
	t.announcedAt = now
	t.gone = false
	t.limit = min(t.limit, a.Slots)
	p.dispatch(now)
}

// Leave takes note of a target that has withdrawn.
func (p *Pool) Leave(now clock.Millis, name, incarnation string) {
	t := p.targets[name]
	if t == nil || t.ann.Incarnation != incarnation {
		return
	}
	t.ann.State = Leaving
	p.recordEvent(journal.TargetLeaving, name, "withdrew", "")
}

func (p *Pool) addNewTarget(now clock.Millis, a Announcement) *target {
	t := p.addTarget(a)
	t.limitRaisedAt = now
	t.limit = p.coldLimit(a)
	p.recordEvent(journal.TargetArrived, a.Target, "announced", "")
	return t
}

// addTarget adds a target with the grants that are known of it.
func (p *Pool) addTarget(a Announcement) *target {
	t := &target{ann: a, stats: newStats(), grants: map[GrantID]*activeGrant{}}
	for id, g := range p.grants {
		if g.grant.Target == a.Target {
			t.grants[id] = g
		}
	}
	p.targets[a.Target] = t
	p.sortTargets()
	return t
}

func (p *Pool) sortTargets() {
	p.sorted = p.sorted[:0]
	for _, t := range p.targets {
		p.sorted = append(p.sorted, t)
	}
	sort.Slice(p.sorted, func(i, j int) bool { return p.sorted[i].ann.Target < p.sorted[j].ann.Target })
}

// restartTarget starts a target over as cold: its process has changed.
func (p *Pool) restartTarget(now clock.Millis, t *target, a Announcement) {
	t.ann = a
	t.stats = newStats()
	t.ejectedUntil = 0
	t.probation = false
	p.resetToCold(now, t, "new incarnation "+a.Incarnation)
}

// Tick lets time pass.
func (p *Pool) Tick(now clock.Millis) {
	for _, w := range p.queue.expired(now) {
		why := WaitedTooLong
		if len(p.targets) == 0 {
			why = NoTargets
		}
		p.refuse(w.request, why)
	}
	for id, g := range p.grants {
		if now >= g.deadline {
			p.removeGrant(id, g)
		}
	}
	p.updateTargets(now)
	p.crashes.expire(now, p.Journal)
	p.dispatch(now)
}

// updateTargets removes targets that have gone and returns ejected ones.
func (p *Pool) updateTargets(now clock.Millis) {
	for _, t := range slices.Clone(p.sorted) {
		n := t.ann.Target
		silent := now-max(t.announcedAt, t.stats.lastSuccess) > announceTimeout
		if silent && !t.gone {
			t.gone = true
			p.recordEvent(journal.TargetGone, n, "neither announcements nor successes", "")
		}
		if t.leaving() && t.inUse() == 0 && silent {
			delete(p.targets, n)
			p.sortTargets()
			continue
		}
		p.endEjection(now, t)
	}
}

func (p *Pool) recordEvent(k journal.Kind, subject, cause, evidence string) {
	p.Journal(journal.Event{Kind: k, Subject: subject, Cause: cause, Evidence: evidence})
}
