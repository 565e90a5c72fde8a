package slots

import (
	"slices"

	"github.com/carawayrack/carawayrack/clock"
)

// Acquire asks for a slot. The answer comes with Take, at once or later.
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

// dispatch grants free slots to waiting requests.
func (p *Pool) dispatch(now clock.Millis) {
	if p.term == 0 || p.recovering(now) {
		return
	}
	for p.queue.size > 0 && p.grantNext(now) {
	}
}

func (p *Pool) recovering(now clock.Millis) bool {
	return len(p.unreported) > 0 && now < p.recoverUntil
}

// grantNext grants one slot and reports whether it could.
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

// freeTargets returns the targets that may be given a slot, in order of name.
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

// pickTarget returns the target for a request among those with a free slot, nil
// if none fits.
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

// hasFreeSlot reports whether a target may be given a slot at all.
func (p *Pool) hasFreeSlot(now clock.Millis, t *target) bool {
	if t.leaving() || p.zonesOut[t.ann.Zone] || t.ejected(now) {
		return false
	}
	return t.inUse() < p.currentLimit(now, t)
}

// eligible reports whether a target may be given to a request.
func (p *Pool) eligible(now clock.Millis, t *target, r Request) bool {
	if t.probation && !r.Idempotent {
		return false
	}
	if w := t.stats.paths[r.Host]; w != nil && now < w.avoidUntil {
		return false
	}
	return !slices.Contains(r.Avoid, t.ann.Target)
}

// better prefers the lower load, then the target whose turn it is: those that
// get no requests neither warm up nor show their faults.
func (p *Pool) better(a, b *target) bool {
	if x, y := a.inUse()*b.limit, b.inUse()*a.limit; x != y {
		return x < y
	}
	return a.lastGrant < b.lastGrant
}

// Cancel withdraws a request whose answer the host did not get.
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
