package balance

import (
	"github.com/carawayrack/carawayrack/clock"
)

// The parts of a target's cost, in shares of a request's worth.
const (
	costUnhealthy = 0.8
	// costUnknown is the risk of a target not heard from, costAge how fast
	// the risk grows after an answer, a second.
	costUnknown      = 0.28
	costAgePerSecond = 0.13
	costInFlight     = 0.02
	costNearFull     = 0.04
	costQueued       = 0.25
	costRemoteZone   = 0.09
	// costNotOwned is the cost of a target of the zone that other hosts own.
	costNotOwned = 0.15
	// costRemoteFromLarge is added for a target of another zone where hosts know little of
	// those.
	costRemoteFromLarge = 0.2
	// costUnknownInLarge is the most that the risk of a target grows to where hosts
	// own few targets each: the next request finds out, and the target that
	// answered last must not get the requests of all hosts.
	costUnknownInLarge = 0.1
	costLargeBody      = 0.6
	costCold           = 0.1
	costSlow           = 0.1
	costSlowMax        = 0.5
)

// costRecovering is the risk of a target by the answers that it lacks: each answer
// in a row makes it less likely that the spell goes on.
var costRecovering = [maxSuccessesNeeded + 1]float64{0, 0.06, 0.17, 0.45, costUnhealthy}

func (p *Pool) cost(now clock.Millis, t *target, a Request) float64 {
	c := p.risk(now, t)
	b, s := t.totalInFlight(now), t.slots()
	c += costInFlight * float64(b)
	if b == s-1 {
		c += costNearFull
	}
	if b >= s {
		c += costQueued * float64(b-s+1) / float64(s)
	}
	if t.Zone == p.Zone && !t.owned {
		c += costNotOwned
	}
	if t.Zone != p.Zone && p.LargeZone() {
		c += costRemoteFromLarge
	}
	if t.Zone != p.Zone {
		c += costRemoteZone
		if a.LargeBody {
			c += costLargeBody
		}
	}
	if t.cold(now) {
		c += costCold
	}
	if r := t.latency / max(p.averageLatency, 1); r > 2 {
		c += min(costSlow*(r-1), costSlowMax)
	}
	return c
}

// risk is the chance that the target fails the next request.
func (p *Pool) risk(now clock.Millis, t *target) float64 {
	if t.successesNeeded > 0 {
		return costRecovering[min(t.successesNeeded, maxSuccessesNeeded)]
	}
	most := costUnknown
	if p.LargeZone() {
		most = costUnknownInLarge
	}
	at := t.lastSuccessAt(now)
	if at == 0 || p.LargeZone() && !t.owned {
		return most
	}
	return min(most, costAgePerSecond*float64(now-at)/float64(clock.Second))
}
