// Package slots decides which request runs on which target of a service. The
// leaseholder of the service's shard owns a pool, and only this pool grants slots
// of its targets. The pool limits the requests on targets in a cold start, serves
// accounts fairly, ejects failing targets as long as healthy capacity stays above
// a floor, and quarantines requests that crash targets.
package slots

import (
	"slices"
	"sort"

	"github.com/carawayrack/carawayrack/clock"
	"github.com/carawayrack/carawayrack/config"
	"github.com/carawayrack/carawayrack/journal"
)

// Pool holds the targets, grants and waiting requests of one service. Its methods
// must not be called concurrently. Results are collected until TakeResults.
type Pool struct {
	Service config.Service
	// Journal receives the decisions that operators may want explained.
	Journal func(journal.Event)
	// Violated is called when an invariant does not hold.
	Violated func(invariant, detail string)
	// HostLapse is the time within which a host that cannot reach the
	// leaseholder cancels its requests.
	HostLapse clock.Millis

	// term is the fencing term under which the pool leads, 0 if it does not
	// lead. grantCount is the number of grants so far.
	term       uint64
	grantCount uint64
	// targets holds the targets by name; sorted holds the same targets in the
	// order of their names.
	targets        map[string]*target
	sorted         []*target
	evacuatedZones map[string]bool
	grants         map[GrantID]*activeGrant
	queue          queue
	crashes        crashes
	// unreported holds the hosts that have not reported their grants since
	// Lead. The pool grants nothing until there is none, or until recoverUntil.
	unreported   map[string]bool
	recoverUntil clock.Millis
	// baseline is the usual latency of the service's targets in microseconds,
	// 0 if it is not known.
	baseline int64
	results  []Result
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
	// announceTimeout is the time without announcements and successes after
	// which a target counts as gone. Broken connections of a target also count
	// for this time; see minDiedFingerprints.
	announceTimeout = 10 * clock.Second
	// releaseGrace is the time after its deadline for which a grant still holds
	// its slot.
	releaseGrace = 500 * clock.Millis(1)
	// maxScanned is the largest number of waiting requests of an account that
	// are tried for one grant, if none of the free targets is eligible for the
	// first ones.
	maxScanned = 32
)

// Run starts with an empty pool that does not lead.
func (p *Pool) Run() {
	p.targets = map[string]*target{}
	p.grants = map[GrantID]*activeGrant{}
	p.queue = newQueue()
	p.crashes = crashes{byFingerprint: map[string]*crash{}}
	p.evacuatedZones = map[string]bool{}
}

// Lead makes the pool grant slots under a fencing term. It grants none until all
// of hosts have reported their grants, or HostLapse has passed.
func (p *Pool) Lead(now clock.Millis, term uint64, hosts []string) {
	p.term = term
	p.unreported = map[string]bool{}
	for _, h := range hosts {
		p.unreported[h] = true
	}
	p.recoverUntil = now + p.HostLapse
}

// StepDown stops granting, since another member may hold the lease. It refuses the
// waiting requests and drops all grants.
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

// Restore adds the grants that a host reports after a change of leaseholder.
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

// ReleaseHost frees the grants of a host whose process is proved dead. Grants of
// the incarnation alive stay; alive is empty if there is none.
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

// SetEvacuatedZones sets the zones that operators have evacuated.
func (p *Pool) SetEvacuatedZones(now clock.Millis, zones map[string]bool) {
	p.evacuatedZones = zones
	p.dispatch(now)
}

// Announce processes an announcement of a target.
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

// Leave marks a target that withdrew as leaving, unless it runs another
// incarnation by now.
func (p *Pool) Leave(now clock.Millis, name, incarnation string) {
	t := p.targets[name]
	if t == nil || t.ann.Incarnation != incarnation {
		return
	}
	t.ann.State = Leaving
	p.recordEvent(journal.TargetLeaving, name, "withdrew", "")
}

// addNewTarget adds a target at its cold limit.
func (p *Pool) addNewTarget(now clock.Millis, a Announcement) *target {
	t := p.addTarget(a)
	t.limitRaisedAt = now
	t.limit = p.coldLimit(a)
	p.recordEvent(journal.TargetArrived, a.Target, "announced", "")
	return t
}

// addTarget adds a target with its grants.
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

// restartTarget resets the state of a target to a cold start, since its process
// has changed.
func (p *Pool) restartTarget(now clock.Millis, t *target, a Announcement) {
	t.ann = a
	t.stats = newStats()
	t.ejectedUntil = 0
	t.probation = false
	p.resetToCold(now, t, "new incarnation "+a.Incarnation)
}

// Tick refuses requests that waited too long, frees grants past their deadline,
// updates targets and quarantines, and grants free slots.
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

// updateTargets marks targets without announcements and successes as gone,
// removes them once they have no grants, and ends ejections whose time is over.
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
