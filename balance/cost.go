package balance

import (
	"github.com/carawayrack/carawayrack/clock"
)

// The parts of a target's cost, as fractions of the value of one successful
// request.
const (
	// costUnhealthy is the risk of a target that needs maxSuccessesNeeded
	// successes.
	costUnhealthy = 0.8
	// costUnknown is the risk of a target whose health is unknown or stale;
	// costAgePerSecond is how fast the risk grows to it after a success.
	costUnknown      = 0.28
	costAgePerSecond = 0.13
	// costInFlight is added for each request in flight, costNearFull if only one
	// slot is free, costQueued for each request beyond the slots (this one
	// included), divided by the number of slots.
	costInFlight = 0.02
	costNearFull = 0.04
	costQueued   = 0.25
	// costRemoteZone is added for a target of another zone.
	costRemoteZone = 0.09
	// costNotOwned is added for a target of the local zone that only other hosts
	// own.
	costNotOwned = 0.15
	// costRemoteFromLarge is added for a target of another zone if the local
	// zone is large: its hosts know little of targets in other zones.
	costRemoteFromLarge = 0.2
	// costUnknownInLarge replaces costUnknown in a large zone, where each host
	// owns few targets: the next request shows the target's health, and the
	// target that responded last must not get the requests of all hosts.
	costUnknownInLarge = 0.1
	// costLargeBody is added for a large body sent to another zone.
	costLargeBody = 0.6
	// costCold is added while the target is cold.
	costCold = 0.1
	// costSlow is added for each multiple of the service's average latency
	// beyond the first if the target takes more than twice the average, up to
	// costSlowMax.
	costSlow    = 0.1
	costSlowMax = 0.5
)

// costRecovering is the risk of a target by the number of successes that it
// still needs: each success in a row makes it less likely that it goes on
// failing.
var costRecovering = [maxSuccessesNeeded + 1]float64{0, 0.06, 0.17, 0.45, costUnhealthy}

// costParts holds the parts of a target's cost by name.
type costParts map[string]float64

// add adds a part, unless the map is nil, and returns it.
func (l costParts) add(name string, c float64) float64 {
	if l != nil {
		l[name] = c
	}
	return c
}

// cost returns the cost of sending a request to a target; the target with the
// lowest cost is picked. It adds the parts of the cost to l, which may be nil.
func (p *Pool) cost(now clock.Millis, t *target, a Request, l costParts) float64 {
	c := p.risk(now, t)
	l.add("risk", c)
	b, s := t.totalInFlight(now), t.slots()
	c += l.add("inFlight", costInFlight*float64(b))
	if b == s-1 {
		c += l.add("nearFull", costNearFull)
	}
	if b >= s {
		c += l.add("queued", costQueued*float64(b-s+1)/float64(s))
	}
	if t.Zone == p.Zone && !t.owned {
		c += l.add("notOwned", costNotOwned)
	}
	if t.Zone != p.Zone && p.LargeZone() {
		c += l.add("remoteFromLargeZone", costRemoteFromLarge)
	}
	if t.Zone != p.Zone {
		c += l.add("remoteZone", costRemoteZone)
		if a.LargeBody {
			c += l.add("largeBody", costLargeBody)
		}
	}
	if t.cold(now) {
		c += l.add("cold", costCold)
	}
	if p.slow(t) {
		c += l.add("slow", min(costSlow*(p.relativeLatency(t)-1), costSlowMax))
	}
	return c
}

// relativeLatency returns the target's average latency as a multiple of the service's.
func (p *Pool) relativeLatency(t *target) float64 { return t.latency / max(p.averageLatency, 1) }

// slow reports whether the target takes more than twice the average.
func (p *Pool) slow(t *target) bool { return p.relativeLatency(t) > 2 }

// risk estimates the probability that the target fails the next request.
func (p *Pool) risk(now clock.Millis, t *target) float64 {
	if t.checked && t.successesNeeded == checkedSuccessesNeeded {
		return t.checkedRisk(now)
	}
	if t.successesNeeded > 0 {
		return costRecovering[min(t.successesNeeded, maxSuccessesNeeded)]
	}
	limit := costUnknown
	if p.LargeZone() {
		limit = costUnknownInLarge
	}
	at := t.lastAcceptedAt(now)
	if at == 0 || p.LargeZone() && !t.owned {
		return limit
	}
	return min(limit, costAgePerSecond*float64(now-at)/float64(clock.Second))
}
