package balance

import (
	"github.com/carawayrack/carawayrack/clock"
)

// The parts of a target's cost, in shares of a request's worth.
const (
	costSick = 0.8
	// costUnknown is the risk of a target not heard from, costAge how fast
	// the risk grows after an answer, a second.
	costUnknown  = 0.28
	costAge      = 0.13
	costBusy     = 0.02
	costNearFull = 0.04
	costQueued   = 0.25
	costZone     = 0.09
	// costForeign is the cost of a target of the zone that other hosts own.
	costForeign = 0.15
	// costFar is added for a target of another zone where hosts know little of
	// those.
	costFar = 0.2
	// costUnheard is the most that the risk of a target grows to where hosts
	// own few targets each: the next request finds out, and the target that
	// answered last must not get the requests of all hosts.
	costUnheard  = 0.1
	costBulky    = 0.6
	costCold     = 0.1
	costSlow     = 0.1
	costSlowMost = 0.5
)

// costLacks is the risk of a target by the answers that it lacks: each answer
// in a row makes it less likely that the spell goes on.
var costLacks = [trustedAfter + 1]float64{0, 0.06, 0.17, 0.45, costSick}

func (p *Pool) cost(now clock.Millis, t *target, a Request) float64 {
	c := p.risk(now, t)
	b, s := t.busy(now), t.slots()
	c += costBusy * float64(b)
	if b == s-1 {
		c += costNearFull
	}
	if b >= s {
		c += costQueued * float64(b-s+1) / float64(s)
	}
	if t.Zone == p.Zone && !t.own {
		c += costForeign
	}
	if t.Zone != p.Zone && p.LargeZone() {
		c += costFar
	}
	if t.Zone != p.Zone {
		c += costZone
		if a.LargeBody {
			c += costBulky
		}
	}
	if t.cold(now) {
		c += costCold
	}
	if r := t.latency / max(p.typical, 1); r > 2 {
		c += min(costSlow*(r-1), costSlowMost)
	}
	return c
}

// risk is the chance that the target fails the next request.
func (p *Pool) risk(now clock.Millis, t *target) float64 {
	if t.lacks > 0 {
		return costLacks[min(t.lacks, trustedAfter)]
	}
	most := costUnknown
	if p.LargeZone() {
		most = costUnheard
	}
	at := t.seenAt(now)
	if at == 0 || p.LargeZone() && !t.own {
		return most
	}
	return min(most, costAge*float64(now-at)/float64(clock.Second))
}
