package balance

import (
	"slices"

	"github.com/carawayrack/carawayrack/clock"
)

// restartCold treats the targets of a zone that was out as cold: they had no
// work, and what they reported may be old.
func (p *Pool) restartCold(now clock.Millis, zone string) {
	for _, t := range p.targets {
		if t.Zone == zone {
			t.coldUntil = max(t.coldUntil, now+p.Service.WarmUp)
		}
	}
}

// hasColdCapacity reports whether a cold target bears one more request now. Only the
// hosts of its own zone use it, each its part.
func (p *Pool) hasColdCapacity(now clock.Millis, t *target) bool {
	if t.Zone != p.Zone {
		return false
	}
	if !p.listed {
		return false
	}
	l := t.owners[:min(len(t.owners), coldOwners)]
	limit := int(p.Service.WarmUpRate / float64(max(len(l), 1)))
	return slices.Contains(l, p.Self) && t.startedLastSecond(now) < max(limit, 1) && t.totalInFlight(now) < t.slots()
}
