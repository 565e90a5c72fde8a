// Package balance chooses the target for each request to a service at one host,
// by the health and load of the targets that this and other hosts observed.
package balance

import (
	"hash/fnv"
	"sort"

	"github.com/carawayrack/carawayrack/catalog"
	"github.com/carawayrack/carawayrack/clock"
)

// Pool holds the targets of one service. It is not safe for concurrent use.
type Pool struct {
	// Zone is the host's availability zone, the local zone.
	Zone string
	// Self is the host's ID.
	Self string
	// Service holds the warm-up time and rate of cold targets.
	Service catalog.Service
	// OnHealthChange, if set, is called when a target becomes healthy or
	// unhealthy.
	OnHealthChange func(now clock.Millis, c HealthChange)
	// Random, if set, returns a number in [0, n). It spreads the ends of pauses.
	Random func(n int) int

	// hosts are the IDs of the active hosts of the local zone and of this host;
	// listed is true if this host is one of the active ones.
	hosts  []string
	listed bool
	// targets holds the targets by ID, byKey by their Key, order in this host's
	// own order.
	targets map[string]*target
	order   []*target
	byKey   map[uint32]*target
	// evacuated holds the zones that get no new requests.
	evacuated map[string]bool
	// averageLatency is the service's average latency in milliseconds.
	averageLatency float64
	// probeRequestAt is when the last request came that may probe targets, if
	// hasProbes is true.
	probeRequestAt clock.Millis
	hasProbes      bool
	// outcomes counts the requests that ended at this host, peerOutcomes those at other
	// hosts by their ID.
	outcomes     recentOutcomes
	peerOutcomes map[string]peerOutcomes
	// anyHealthy is true if any target that accepts requests is healthy.
	anyHealthy bool
	// rollout is the last roll-out of the service.
	rollout catalog.Rollout
}

// Request describes a request that needs a target.
type Request struct {
	// Idempotent is true if the request may run more than once.
	Idempotent bool
	// Retryable is true if the request can be sent again if this attempt fails.
	Retryable bool
	// LargeBody is true if the request is expensive to send to another zone.
	LargeBody bool
	// FreeSlotOnly restricts the choice to targets with a free slot.
	FreeSlotOnly bool
	// Avoid holds the IDs of the targets that were tried before.
	Avoid []string
	// Sample is drawn once for a request, evenly from [0, 1): during a roll-out, the
	// request goes to the new version if it is below the share. Repeated is true for
	// requests that were sent before.
	Sample   float64
	Repeated bool

	side side
}

// Choice is a target that was chosen.
type Choice struct {
	ID, Addr, Zone string
	// Born is the start of the incarnation that was chosen, Version its version. Cold
	// is true during its warm-up.
	Born    int64
	Version string
	Cold    bool
	// Probe is true if the target is unhealthy, Owned if this host is one of its
	// owners.
	Probe, Owned bool
	// InFlight is the number of requests in flight at the target from all hosts,
	// without this one. SinceAccepted is the time since the target last accepted
	// a request that succeeded or is still in flight, -1 if none is known.
	InFlight      int
	SinceAccepted clock.Millis
	// Unused is set if the target was chosen because it had got no requests.
	Unused *UnusedTarget
}

// maxQueuedAtTarget is the number of requests beyond its slots up to which a
// target gets more. Further requests wait at the host, where they can go to the
// target that has capacity first.
const maxQueuedAtTarget = 4

// Run initializes the pool.
func (p *Pool) Run() {
	p.targets = map[string]*target{}
	p.byKey = map[uint32]*target{}
	p.SetHosts(nil)
}

// SetTargets sets the targets of the service and the evacuated zones, which get
// no new requests.
func (p *Pool) SetTargets(now clock.Millis, l []catalog.Target, evacuated map[string]bool) {
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
		t.banned = p.rollout.Bans(c)
	}
	for id, t := range p.targets {
		if !seen[id] {
			delete(p.targets, id)
			delete(p.byKey, t.key)
		}
	}
	for z := range p.evacuated {
		if !evacuated[z] {
			p.restartCold(now, z)
		}
	}
	p.evacuated = map[string]bool{}
	for z := range evacuated {
		p.evacuated[z] = true
	}
	p.order = p.order[:0]
	for _, t := range p.targets {
		p.order = append(p.order, t)
	}
	// Each host has its own order, so that hosts without observations do not all
	// begin with the same target.
	sort.Slice(p.order, func(i, j int) bool { return p.orderHash(p.order[i].ID) < p.orderHash(p.order[j].ID) })
	p.assign()
}

// orderHash returns the hash by which this host orders targets.
func (p *Pool) orderHash(id string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(p.Self + "/" + id))
	return h.Sum64()
}

// Key returns the hash of a target's ID that stands for it in messages between
// hosts.
func Key(id string) uint32 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(id))
	return h.Sum32()
}

// usable reports whether a request may be sent to t now.
func (p *Pool) usable(now clock.Millis, t *target, a Request) bool {
	return p.obstacle(now, t, a) == ""
}

// obstacle returns the reason why a request must not be sent to t now, "" if there is
// none.
func (p *Pool) obstacle(now clock.Millis, t *target, a Request) Obstacle {
	if o := p.outOfUse(t); o != "" {
		return o
	}
	if now < t.pausedUntil {
		return Paused
	}
	if !p.onSide(t, a) {
		return OtherVersion
	}
	for _, id := range a.Avoid {
		if id == t.ID {
			return Tried
		}
	}
	if b := t.totalInFlight(now); b >= t.slots()+maxQueuedAtTarget || a.FreeSlotOnly && b >= t.slots() {
		return Full
	}
	if t.successesNeeded > 0 && !p.mayUseUnhealthy(t, a) {
		return Unhealthy
	}
	if t.cold(now) && !p.hasColdCapacity(now, t) {
		return Cold
	}
	return ""
}

// mayUseUnhealthy reports whether this host may send a request to an unhealthy
// target. Owners do, since they know of each other's requests there; other hosts
// of the zone do only if one success is missing. A request that is not
// idempotent is refused rather than sent to a target that needs
// maxSuccessesNeeded successes. If no target is healthy, all may be tried.
func (p *Pool) mayUseUnhealthy(t *target, a Request) bool {
	if !p.anyHealthy {
		return true
	}
	if !t.owned {
		return t.Zone == p.Zone && t.successesNeeded <= secondHandSuccessesNeeded
	}
	return a.Idempotent || t.successesNeeded < maxSuccessesNeeded
}

// updateAnyHealthy updates whether any target is healthy.
func (p *Pool) updateAnyHealthy() {
	p.anyHealthy = false
	for _, t := range p.order {
		if t.successesNeeded == 0 && p.inUse(t) {
			p.anyHealthy = true
		}
	}
}

// Pick chooses a target for a request and counts the request there; the caller
// must call Done at its end. Pick returns false if no target can handle it now.
func (p *Pool) Pick(now clock.Millis, a Request) (Choice, bool) {
	p.updateAnyHealthy()
	for _, a.side = range p.sides(a) {
		if c, ok := p.pick(now, p.prepare(a)); ok {
			return c, true
		}
	}
	return Choice{}, false
}

// prepare returns a request for the targets of its side.
func (p *Pool) prepare(a Request) Request {
	if a.side == newSide {
		// No request waits at a target of the new version for another one.
		a.FreeSlotOnly = true
		p.updateTrials()
	}
	return a
}

// pick chooses a target of a side.
func (p *Pool) pick(now clock.Millis, a Request) (Choice, bool) {
	if a.Idempotent && a.Retryable {
		p.probeRequestAt, p.hasProbes = now, true
	}
	t, why := p.choose(now, a)
	if t == nil {
		return Choice{}, false
	}
	c := Choice{ID: t.ID, Addr: t.Addr, Zone: t.Zone, Born: t.Born, Version: t.Version, Cold: t.cold(now), Probe: t.successesNeeded > 0, Owned: t.owned, InFlight: t.totalInFlight(now), SinceAccepted: timeSince(now, t.lastAcceptedAt(now))}
	if why == unusedLongest {
		t.trying = true
		c.Unused = &UnusedTarget{Idle: timeSince(now, t.requestedAt), Unserved: p.UnservedShare(now)}
	}
	t.inFlight++
	t.changed = true
	t.start(now)
	if t.successesNeeded > 0 {
		t.probing = true
		t.probeAt = now + minProbePause
	}
	return c, true
}

// criterion is what a target is chosen by, as operators see it.
type criterion string

const (
	unusedLongest     criterion = "unused"
	oldestObservation criterion = "oldestObservation"
	lowestCost        criterion = "lowestCost"
)

// choose returns the target for a request, nil if there is none, and what it is
// chosen by.
func (p *Pool) choose(now clock.Millis, a Request) (*target, criterion) {
	if t := p.unused(now, a); t != nil {
		return t, unusedLongest
	}
	if a.Idempotent && a.Retryable {
		if t := p.probe(now, a); t != nil {
			return t, oldestObservation
		}
	}
	return p.cheapest(now, a), lowestCost
}

// probe returns the target to be probed by a request that can be sent again, nil
// if there is none. Of the usable targets that this host owns and that have a
// free slot, it returns the one with the oldest observation. An unhealthy target
// must also be due for a probe.
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

// cheapest returns the usable target with the lowest cost, nil if there is none.
func (p *Pool) cheapest(now clock.Millis, a Request) *target {
	var best *target
	lowest := 0.0
	for _, t := range p.order {
		if !p.usable(now, t, a) {
			continue
		}
		c := p.cost(now, t, a, nil)
		if best == nil || c < lowest {
			best, lowest = t, c
		}
	}
	return best
}

// AverageLatency returns the service's average latency, zero if none is known.
func (p *Pool) AverageLatency() clock.Millis { return clock.Millis(p.averageLatency) }

// Unhealthy returns the number of unhealthy targets and the number of all.
func (p *Pool) Unhealthy() (unhealthy, all int) {
	for _, t := range p.order {
		if t.successesNeeded > 0 {
			unhealthy++
		}
	}
	return unhealthy, len(p.order)
}
