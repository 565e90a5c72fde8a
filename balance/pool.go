// Package balance chooses the target for each request of one service at one
// host, by what this and other hosts have seen of the targets.
package balance

import (
	"hash/fnv"
	"sort"

	"github.com/carawayrack/carawayrack/catalog"
	"github.com/carawayrack/carawayrack/clock"
)

// Pool holds the targets of one service. It is not safe for concurrent use.
type Pool struct {
	// Zone is the host's own availability zone.
	Zone string
	// Self is the host's ID.
	Self string
	// Service holds the limits of the targets' cold start.
	Service catalog.Service
	// OnHealthChange is told when a target gains or loses trust, and why.
	OnHealthChange func(now clock.Millis, b HealthChange)

	// hosts are the IDs of the hosts of the own zone that take requests, and
	// this one; listed is true if it takes requests as the others know.
	hosts          []string
	listed         bool
	targets        map[string]*target
	order          []*target
	byKey          map[uint32]*target
	evacuated      map[string]bool
	averageLatency float64
	// anyHealthy is true if any target is anyHealthy.
	anyHealthy bool
}

// Request describes a request that needs a target.
type Request struct {
	// Idempotent requests may run more than once.
	Idempotent bool
	// Retryable is true if the request can be sent again if it fails now.
	Retryable bool
	// LargeBody requests are dear to send to another zone.
	LargeBody bool
	// FreeSlotOnly asks for a target with a free slot.
	FreeSlotOnly bool
	// Avoid are the targets that were tried.
	Avoid []string
}

// Choice is a target that was chosen.
type Choice struct {
	ID, Addr, Zone string
	// Probe is true if the target is not trusted, Owned if this host is one of
	// its owners.
	Probe, Owned bool
	// InFlight is the number of requests that it was known to hold, Age the time
	// since its last known answer.
	InFlight     int
	SinceSuccess clock.Millis
}

// maxQueuedAtTarget is the number of requests that a target holds beyond its slots
// before no more are sent there: the rest waits where it can go to the target
// that has room first.
const maxQueuedAtTarget = 4

// Run prepares the pool.
func (p *Pool) Run() {
	p.targets = map[string]*target{}
	p.byKey = map[uint32]*target{}
	p.SetHosts(nil)
}

// SetTargets follows the catalog: the targets of the service and the zones that get
// no new work.
func (p *Pool) SetTargets(now clock.Millis, l []catalog.Target, zonesOut map[string]bool) {
	seen := map[string]bool{}
	for _, c := range l {
		seen[c.ID] = true
		t := p.targets[c.ID]
		if t == nil || t.Born != c.Born {
			t = &target{key: Key(c.ID), peerInFlight: map[string]peerCount{}}
			if c.Cold > 0 {
				t.coldUntil = now + c.Cold
			}
			p.targets[c.ID] = t
			p.byKey[t.key] = t
		} else if c.Cold > 0 && t.Cold == 0 {
			t.coldUntil = max(t.coldUntil, now+c.Cold)
		} else if c.Cold == 0 && t.Cold > 0 {
			t.coldUntil = now
		}
		t.Target = c
	}
	for id, t := range p.targets {
		if !seen[id] {
			delete(p.targets, id)
			delete(p.byKey, t.key)
		}
	}
	for z := range p.evacuated {
		if !zonesOut[z] {
			p.restartCold(now, z)
		}
	}
	p.evacuated = map[string]bool{}
	for z := range zonesOut {
		p.evacuated[z] = true
	}
	p.order = p.order[:0]
	for _, t := range p.targets {
		p.order = append(p.order, t)
	}
	// Each host has an order of its own, so that hosts that know nothing yet
	// do not all begin with the same target.
	sort.Slice(p.order, func(i, j int) bool { return p.orderHash(p.order[i].ID) < p.orderHash(p.order[j].ID) })
	p.assign()
}

// orderHash orders targets for this host.
func (p *Pool) orderHash(id string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(p.Self + "/" + id))
	return h.Sum64()
}

// Key returns the short form of a target's ID that hosts send each other.
func Key(id string) uint32 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(id))
	return h.Sum32()
}

// usable reports whether a request may be sent to t.
func (p *Pool) usable(now clock.Millis, t *target, a Request) bool {
	if t.misdirected || t.Phase != catalog.Serving || p.evacuated[t.Zone] {
		return false
	}
	for _, id := range a.Avoid {
		if id == t.ID {
			return false
		}
	}
	if b := t.totalInFlight(now); b >= t.slots()+maxQueuedAtTarget || a.FreeSlotOnly && b >= t.slots() {
		return false
	}
	if t.successesNeeded > 0 && !p.mayUseUnhealthy(t, a) {
		return false
	}
	return !t.cold(now) || p.hasColdCapacity(now, t)
}

// mayUseUnhealthy reports whether a target that is not trusted gets a request of this
// host: hosts of its zone know of each other's, and a request that must not be
// repeated is rather refused than failed. Without any trusted target all are
// tried.
func (p *Pool) mayUseUnhealthy(t *target, a Request) bool {
	if !p.anyHealthy {
		return true
	}
	if !t.owned {
		return t.Zone == p.Zone && t.successesNeeded <= secondHandSuccessesNeeded
	}
	return a.Idempotent || t.successesNeeded < maxSuccessesNeeded
}

// updateAnyHealthy finds out whether any target is trusted.
func (p *Pool) updateAnyHealthy() {
	p.anyHealthy = false
	for _, t := range p.order {
		if t.successesNeeded == 0 && t.Phase == catalog.Serving && !t.misdirected && !p.evacuated[t.Zone] {
			p.anyHealthy = true
		}
	}
}

// Pick chooses a target and counts the request there; Done must follow. It
// reports false if no target has room.
func (p *Pool) Pick(now clock.Millis, a Request) (Choice, bool) {
	p.updateAnyHealthy()
	var t *target
	if a.Idempotent && a.Retryable {
		t = p.probe(now, a)
	}
	if t == nil {
		t = p.cheapest(now, a)
	}
	if t == nil {
		return Choice{}, false
	}
	c := Choice{ID: t.ID, Addr: t.Addr, Zone: t.Zone, Probe: t.successesNeeded > 0, Owned: t.owned, InFlight: t.totalInFlight(now), SinceSuccess: now - t.lastSuccessAt(now)}
	t.inFlight++
	t.changed = true
	t.starts = append(t.starts, now)
	if t.successesNeeded > 0 {
		t.probing = true
		t.probeAt = now + minProbePause
	}
	return c, true
}

// probe returns an own target that a request which can be sent again should go
// to: a sick one whose time has come, or the one not heard
// from for longest.
func (p *Pool) probe(now clock.Millis, a Request) *target {
	var best *target
	for _, t := range p.order {
		if !t.owned || !p.usable(now, t, a) {
			continue
		}
		if t.successesNeeded > 0 && (t.probing || now < t.probeAt) {
			continue
		}
		if t.totalInFlight(now) >= t.slots() {
			continue
		}
		if best == nil || t.lastObservedAt() < best.lastObservedAt() {
			best = t
		}
	}
	return best
}

// cheapest returns the usable target with the lowest cost.
func (p *Pool) cheapest(now clock.Millis, a Request) *target {
	var best *target
	low := 0.0
	for _, t := range p.order {
		if !p.usable(now, t, a) {
			continue
		}
		c := p.cost(now, t, a)
		if best == nil || c < low {
			best, low = t, c
		}
	}
	return best
}

// AverageLatency returns the average time of an answer, zero if none is known.
func (p *Pool) AverageLatency() clock.Millis { return clock.Millis(p.averageLatency) }

// Unhealthy returns the number of targets that are not trusted, and of all.
func (p *Pool) Unhealthy() (sick, all int) {
	for _, t := range p.order {
		if t.successesNeeded > 0 {
			sick++
		}
	}
	return sick, len(p.order)
}
