package balance

import (
	"slices"

	"github.com/carawayrack/carawayrack/clock"
)

// restartCold treats the targets of a zone as cold after its evacuation has
// ended: they had no requests, and what they reported may be stale.
func (p *Pool) restartCold(now clock.Millis, zone string) {
	for _, t := range p.targets {
		if t.Zone == zone {
			t.coldUntil = max(t.coldUntil, now+p.Service.WarmUp)
		}
	}
}

// coldOwners returns the number of owners that send requests to a cold target. In a
// roll-out all targets of a version are cold at once, so that no more do than the
// warm-up rate allows with one request a second each.
func (p *Pool) coldOwners() int {
	if !p.inRollout() {
		return coldOwners
	}
	return min(coldOwners, max(int(p.Service.WarmUpRate), 1))
}

// hasColdCapacity reports whether a cold target can handle one more request of
// this host now. Only the first coldOwners of its owners send requests to it.
// They divide the service's warm-up rate, in requests per second, evenly and
// round down, but each may send at least one request per second. A host that is
// not in the list of active hosts sends none.
func (p *Pool) hasColdCapacity(now clock.Millis, t *target) bool {
	if t.Zone != p.Zone {
		return false
	}
	if !p.listed {
		return false
	}
	l := t.owners[:min(len(t.owners), p.coldOwners())]
	limit := int(p.Service.WarmUpRate / float64(max(len(l), 1)))
	return slices.Contains(l, p.Self) && t.startedLastSecond(now) < max(limit, 1) && t.totalInFlight(now) < t.slots()
}
