package slots

import (
	"fmt"

	"github.com/carawayrack/carawayrack/clock"
)

// assertGrant checks the invariants of a target after a grant.
func (p *Pool) assertGrant(now clock.Millis, t *target) {
	n := t.ann.Target
	if t.inUse() > t.ann.Slots {
		p.Violated("a target gets no more than its slots", fmt.Sprintf("%s: %d of %d", n, t.inUse(), t.ann.Slots))
	}
	if t.ann.State == Cold && t.inUse() > p.coldLimit(t.ann) {
		p.Violated("a cold target gets no more than it bears", fmt.Sprintf("%s: %d of %d", n, t.inUse(), p.coldLimit(t.ann)))
	}
	if t.leaving() {
		p.Violated("a leaving target gets no new work", n)
	}
	if p.evacuatedZones[t.ann.Zone] {
		p.Violated("a zone taken out gets no new work", n)
	}
	if t.ejected(now) {
		p.Violated("an ejected target gets no work", n)
	}
	used := 0
	for _, g := range p.grants {
		if g.grant.Target == n {
			used++
		}
	}
	if used != t.inUse() {
		p.Violated("slots in use are those granted", fmt.Sprintf("%s: %d counted, %d granted", n, t.inUse(), used))
	}
}

// assertFloor checks that an ejection that reduced healthy capacity left it at or
// above the floor. The argument before is the capacity before the ejection.
func (p *Pool) assertFloor(now clock.Millis, before int, t *target) {
	h, floor := p.HealthySlots(now)
	if h < before && h < floor {
		p.Violated("ejection never pushes healthy capacity below the floor", fmt.Sprintf("%s: %d of %d", t.ann.Target, h, floor))
	}
}
