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
	if left := p.crashes.quarantined(now, r.Fingerprint); left > 0 {
		p.results = append(p.results, Result{Host: r.Host, Ticket: r.Ticket, Refused: IsQuarantined, Quarantine: left})
		return
	}
	w := &waiter{request: r, since: now, until: now + r.Wait}
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
	if p.term == 0 || p.learning(now) {
		return
	}
	for p.queue.size > 0 && p.grantNext(now) {
	}
}

func (p *Pool) learning(now clock.Millis) bool {
	return len(p.awaiting) > 0 && now < p.awaitedTo
}

// grantNext grants one slot and reports whether it could.
func (p *Pool) grantNext(now clock.Millis) bool {
	free := p.freeTargets(now)
	if len(free) == 0 {
		return false
	}
	for _, a := range p.queue.accounts() {
		l := p.queue.byAccount[a]
		for i := range l[:min(len(l), scanned)] {
			t := p.choose(now, l[i].request, free)
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
		if p.open(now, t) {
			l = append(l, t)
		}
	}
	return l
}

func (p *Pool) grant(now clock.Millis, r Request, t *target) {
	p.number++
	g := Grant{
		ID: GrantID{p.term, p.number}, Service: r.Service, Target: t.ann.Target, Addr: t.ann.Addr,
		Incarnation: t.ann.Incarnation, Deadline: r.Deadline,
	}
	p.hold(&granted{
		grant: g, account: r.Account, host: r.Host, incarnation: r.Incarnation, ticket: r.Ticket,
		idempotent: r.Idempotent, since: now, deadline: now + r.Deadline + releaseGrace,
	})
	t.turn = p.number
	p.assertGrant(now, t)
	p.results = append(p.results, Result{Host: r.Host, Ticket: r.Ticket, Grant: &g})
}

// choose returns the target for a request among those with a free slot, nil
// if none fits.
func (p *Pool) choose(now clock.Millis, r Request, free []*target) *target {
	var best *target
	for _, t := range free {
		if !p.suits(now, t, r) {
			continue
		}
		if best == nil || p.better(t, best) {
			best = t
		}
	}
	return best
}

// open reports whether a target may be given a slot at all.
func (p *Pool) open(now clock.Millis, t *target) bool {
	if t.leaving() || p.zonesOut[t.ann.Zone] || t.ejected(now) {
		return false
	}
	return t.inUse() < p.bears(now, t)
}

// suits reports whether a target may be given to a request.
func (p *Pool) suits(now clock.Millis, t *target, r Request) bool {
	if t.probation && !r.Idempotent {
		return false
	}
	if w := t.evidence.paths[r.Host]; w != nil && now < w.avoidUntil {
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
	return a.turn < b.turn
}

// Cancel withdraws a request whose answer the host did not get.
func (p *Pool) Cancel(now clock.Millis, host string, ticket uint64) {
	for id, g := range p.grants {
		if g.host == host && g.ticket == ticket {
			p.free(id, g)
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
