package balance

import (
	"github.com/carawayrack/carawayrack/clock"
)

// returned treats the targets of a zone that was out as cold: they had no
// work, and what they reported may be old.
func (p *Pool) returned(now clock.Millis, zone string) {
	for _, t := range p.targets {
		if t.Zone == zone {
			t.coldUntil = max(t.coldUntil, now+p.Service.WarmUp)
		}
	}
}

// coldRoom reports whether a cold target bears one more request now. Only the
// hosts of its own zone use it, each its part.
func (p *Pool) coldRoom(now clock.Millis, t *target) bool {
	if t.Zone != p.Zone {
		return false
	}
	owners := max(min(len(p.Hosts), coldOwners), 1)
	limit := int(p.Service.WarmUpRate / float64(owners))
	return p.owns(t, owners) && t.startedWithin(now) < max(limit, 1) && t.busy(now) < t.slots()
}

// coldOwners is the largest number of hosts that use a cold target.
const coldOwners = 3

// owns reports whether this host is one of a cold target's owners: those whose
// IDs together with the target's have the lowest hashes.
func (p *Pool) owns(t *target, owners int) bool {
	mine := hashKey(t.ID + "/" + p.Self)
	before := 0
	for _, h := range p.Hosts {
		if k := hashKey(t.ID + "/" + h); h != p.Self && (k < mine || k == mine && h < p.Self) {
			before++
		}
	}
	return before < owners
}
