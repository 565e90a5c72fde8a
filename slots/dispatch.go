package slots

import (
	"slices"

	"github.com/carawayrack/carawayrack/clock"
)

// Acquire requests a slot. TakeResults returns the result, at once or later.
// Acquire processes the reports of earlier attempts first.
func (p *Pool) Acquire(now clock.Millis, r Request) {
	for _, x := range r.Reports {
		p.Release(now, x)
	}
	if left := p.crashes.quarantineLeft(now, r.Fingerprint); left > 0 {
		p.results = append(p.results, Result{Host: r.Host, Ticket: r.Ticket, Refused: IsQuarantined, Quarantine: left})
		return
	}
	w := &waiter{request: r, since: now, expiresAt: now + r.Wait}
	if !p.queue.push(w) {
		p.refuse(r, QueueFull)
		return
	}
	p.dispatch(now)
}

func (p *Pool) refuse(r Request, why Refusal) {
	p.results = append(p.results, Result{Host: r.Host, Ticket: r.Ticket, Refused: why})
}

// dispatch grants free slots to waiting requests, unless the pool is not leading
// or still recovering.
func (p *Pool) dispatch(now clock.Millis) {
	if p.term == 0 || p.recovering(now) {
		return
	}
	for p.queue.size > 0 && p.grantNext(now) {
	}
}

// recovering reports whether grants of a former leaseholder may still be
// unreported.
func (p *Pool) recovering(now clock.Millis) bool {
	return len(p.unreported) > 0 && now < p.recoverUntil
}

// grantNext grants one slot. It reports false if no waiting request fits a free
// target.
func (p *Pool) grantNext(now clock.Millis) bool {
	free := p.freeTargets(now)
	if len(free) == 0 {
		return false
	}
	for _, a := range p.queue.accounts() {
		l := p.queue.byAccount[a]
		for i := range l[:min(len(l), maxScanned)] {
			t := p.pickTarget(now, l[i].request, free)
			if t == nil {
				continue
			}
			r := l[i].request
			p.queue.remove(a, i)
			p.grant(now, r, t)
			return true
		}
	}
	return false
}

// freeTargets returns the targets with a free slot, ordered by name.
func (p *Pool) freeTargets(now clock.Millis) []*target {
	var l []*target
	for _, t := range p.sorted {
		if p.hasFreeSlot(now, t) {
			l = append(l, t)
		}
	}
	return l
}

func (p *Pool) grant(now clock.Millis, r Request, t *target) {
	p.grantCount++
	g := Grant{
		ID: GrantID{p.term, p.grantCount}, Service: r.Service, Target: t.ann.Target, Addr: t.ann.Addr,
		Incarnation: t.ann.Incarnation, Deadline: r.Deadline,
	}
	p.addGrant(&activeGrant{
		grant: g, account: r.Account, host: r.Host, incarnation: r.Incarnation, ticket: r.Ticket,
		idempotent: r.Idempotent, since: now, deadline: now + r.Deadline + releaseGrace,
	})
	t.lastGrant = p.grantCount
	p.assertGrant(now, t)
	p.results = append(p.results, Result{Host: r.Host, Ticket: r.Ticket, Grant: &g})
}

// pickTarget returns the best target for a request among those with a free slot,
// nil if none is eligible.
func (p *Pool) pickTarget(now clock.Millis, r Request, free []*target) *target {
	var best *target
	for _, t := range free {
		if !p.eligible(now, t, r) {
			continue
		}
		if best == nil || p.better(t, best) {
			best = t
		}
	}
	return best
}

// hasFreeSlot reports whether a target may get requests, that is, is not leaving,
// ejected or in an evacuated zone, and is below its current limit.
func (p *Pool) hasFreeSlot(now clock.Millis, t *target) bool {
	if t.leaving() || p.evacuatedZones[t.ann.Zone] || t.ejected(now) {
		return false
	}
	return t.inUse() < p.currentLimit(now, t)
}

// eligible reports whether a request may run on a target. Targets on probation
// get idempotent requests only, since these can be retried elsewhere.
func (p *Pool) eligible(now clock.Millis, t *target, r Request) bool {
	if t.probation && !r.Idempotent {
		return false
	}
	if w := t.stats.paths[r.Host]; w != nil && now < w.avoidUntil {
		return false
	}
	return !slices.Contains(r.Avoid, t.ann.Target)
}

// better reports whether a is to be preferred to b. It prefers the lower load,
// then the target whose last grant is older, since targets without requests
// neither warm up nor show their faults.
func (p *Pool) better(a, b *target) bool {
	if x, y := a.inUse()*b.limit, b.inUse()*a.limit; x != y {
		return x < y
	}
	return a.lastGrant < b.lastGrant
}

// Cancel frees the grants and removes the queued requests of a ticket whose result
// the host did not receive.
func (p *Pool) Cancel(now clock.Millis, host string, ticket uint64) {
	for id, g := range p.grants {
		if g.host == host && g.ticket == ticket {
			p.removeGrant(id, g)
		}
	}
	for a, l := range p.queue.byAccount {
		for i := len(l) - 1; i >= 0; i-- {
			if l[i].request.Host == host && l[i].request.Ticket == ticket {
				p.queue.remove(a, i)
			}
		}
	}
	p.dispatch(now)
}

// TakeResults returns the results since the last call.
func (p *Pool) TakeResults() []Result {
	l := p.results
	p.results = nil
	return l
}
