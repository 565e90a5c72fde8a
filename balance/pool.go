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
	hosts    []string
	listed   bool
	targets  map[string]*target
	order    []*target
	byKey    map[uint32]*target
	zonesOut map[string]bool
	typical  float64
	// trusted is true if any target is trusted.
	trusted bool
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

// queueBeyond is the number of requests that a target holds beyond its slots
// before no more are sent there: the rest waits where it can go to the target
// that has room first.
const queueBeyond = 4

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
			t = &target{key: Key(c.ID), peers: map[string]peerCount{}}
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
	for z := range p.zonesOut {
		if !zonesOut[z] {
			p.returned(now, z)
		}
	}
	p.zonesOut = map[string]bool{}
	for z := range zonesOut {
		p.zonesOut[z] = true
	}
	p.order = p.order[:0]
	for _, t := range p.targets {
		p.order = append(p.order, t)
	}
	// Each host has an order of its own, so that hosts that know nothing yet
	// do not all begin with the same target.
	sort.Slice(p.order, func(i, j int) bool { return p.rank(p.order[i].ID) < p.rank(p.order[j].ID) })
	p.assign()
}

// rank orders targets for this host.
func (p *Pool) rank(id string) uint64 {
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
	if t.gone || t.Phase != catalog.Serving || p.zonesOut[t.Zone] {
		return false
	}
	for _, id := range a.Avoid {
		if id == t.ID {
			return false
		}
	}
	if b := t.busy(now); b >= t.slots()+queueBeyond || a.FreeSlotOnly && b >= t.slots() {
		return false
	}
	if t.lacks > 0 && !p.bears(t, a) {
		return false
	}
	return !t.cold(now) || p.coldRoom(now, t)
}

// bears reports whether a target that is not trusted gets a request of this
// host: hosts of its zone know of each other's, and a request that must not be
// repeated is rather refused than failed. Without any trusted target all are
// tried.
func (p *Pool) bears(t *target, a Request) bool {
	if !p.trusted {
		return true
	}
	if !t.own {
		return t.Zone == p.Zone && t.lacks <= hearsay
	}
	return a.Idempotent || t.lacks < trustedAfter
}

// review finds out whether any target is trusted.
func (p *Pool) review() {
	p.trusted = false
	for _, t := range p.order {
		if t.lacks == 0 && t.Phase == catalog.Serving && !t.gone && !p.zonesOut[t.Zone] {
			p.trusted = true
		}
	}
}

// Pick chooses a target and counts the request there; Done must follow. It
// reports false if no target has room.
func (p *Pool) Pick(now clock.Millis, a Request) (Choice, bool) {
	p.review()
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
	c := Choice{ID: t.ID, Addr: t.Addr, Zone: t.Zone, Probe: t.lacks > 0, Owned: t.own, InFlight: t.busy(now), SinceSuccess: now - t.seenAt(now)}
	t.mine++
	t.changed = true
	t.starts = append(t.starts, now)
	if t.lacks > 0 {
		t.probing = true
		t.retryAt = now + firstRetry
	}
	return c, true
}

// probe returns an own target that a request which can be sent again should go
// to: a sick one whose time has come, or the one not heard
// from for longest.
func (p *Pool) probe(now clock.Millis, a Request) *target {
	var best *target
	for _, t := range p.order {
		if !t.own || !p.usable(now, t, a) {
			continue
		}
		if t.lacks > 0 && (t.probing || now < t.retryAt) {
			continue
		}
		if t.busy(now) >= t.slots() {
			continue
		}
		if best == nil || t.heardAt() < best.heardAt() {
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
func (p *Pool) AverageLatency() clock.Millis { return clock.Millis(p.typical) }

// Unhealthy returns the number of targets that are not trusted, and of all.
func (p *Pool) Unhealthy() (sick, all int) {
	for _, t := range p.order {
		if t.lacks > 0 {
			sick++
		}
	}
	return sick, len(p.order)
}
