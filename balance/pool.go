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
	// Self is the host's ID, Hosts are the IDs of the hosts of its zone that
	// take requests.
	Self  string
	Hosts []string
	// Service holds the limits of the targets' cold start.
	Service catalog.Service
	// Believe is told when a target gains or loses trust, and why.
	Believe func(now clock.Millis, b Belief)

	targets  map[string]*target
	order    []*target
	byKey    map[uint32]*target
	zonesOut map[string]bool
	typical  float64
	// trusted is true if any target is trusted.
	trusted bool
}

// Belief is a change of what the host believes of a target.
type Belief struct {
	Target  string
	Trusted bool
	// Cause is the outcome that led to it, Host the host that saw it, empty
	// for this one.
	Cause Outcome
	Host  string
	// Since is the time since the target's trust changed before.
	Since clock.Millis
}

// Ask describes a request that needs a target.
type Ask struct {
	// Repeatable requests may run more than once.
	Repeatable bool
	// Spare is true if the request can be sent again if it fails now.
	Spare bool
	// Bulky requests are dear to send to another zone.
	Bulky bool
	// Avoid are the targets that were tried.
	Avoid []string
}

// Choice is a target that was chosen.
type Choice struct {
	ID, Addr, Zone string
	// Probe is true if the target is not trusted.
	Probe bool
	// Busy is the number of requests that it was known to hold, Age the time
	// since its last known answer.
	Busy int
	Age  clock.Millis
}

// queueBeyond is the number of requests that a target holds beyond its slots
// before no more are sent there: the rest waits where it can go to the target
// that has room first.
const queueBeyond = 4

// Run prepares the pool.
func (p *Pool) Run() {
	p.targets = map[string]*target{}
	p.byKey = map[uint32]*target{}
}

// Set follows the catalog: the targets of the service and the zones that get
// no new work.
func (p *Pool) Set(now clock.Millis, l []catalog.Target, zonesOut map[string]bool) {
	seen := map[string]bool{}
	for _, c := range l {
		seen[c.ID] = true
		t := p.targets[c.ID]
		if t == nil || t.Born != c.Born {
			t = &target{key: hashKey(c.ID), peers: map[string]peerCount{}}
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
	sort.Slice(p.order, func(i, j int) bool { return p.order[i].ID < p.order[j].ID })
}

// returned treats the targets of a zone that was out as cold: they had no
// work, and what they reported may be old.
func (p *Pool) returned(now clock.Millis, zone string) {
	for _, t := range p.targets {
		if t.Zone == zone {
			t.coldUntil = max(t.coldUntil, now+p.Service.WarmUp)
		}
	}
}

func hashKey(id string) uint32 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(id))
	return h.Sum32()
}

// usable reports whether a request may be sent to t.
func (p *Pool) usable(now clock.Millis, t *target, a Ask) bool {
	if t.gone || t.Phase != catalog.Serving || p.zonesOut[t.Zone] {
		return false
	}
	for _, id := range a.Avoid {
		if id == t.ID {
			return false
		}
	}
	if t.busy(now) >= t.slots()+queueBeyond {
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
func (p *Pool) bears(t *target, a Ask) bool {
	if !p.trusted {
		return true
	}
	return t.Zone == p.Zone && (a.Repeatable || t.lacks < trustedAfter)
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

// Pick chooses a target and counts the request there; Done must follow. It
// reports false if no target has room.
func (p *Pool) Pick(now clock.Millis, a Ask) (Choice, bool) {
	p.review()
	var t *target
	if a.Repeatable && a.Spare {
		t = p.probe(now, a)
	}
	if t == nil {
		t = p.cheapest(now, a)
	}
	if t == nil {
		return Choice{}, false
	}
	c := Choice{ID: t.ID, Addr: t.Addr, Zone: t.Zone, Probe: t.lacks > 0, Busy: t.busy(now), Age: now - t.seenAt(now)}
	t.mine++
	t.changed = true
	t.starts = append(t.starts, now)
	if t.lacks > 0 {
		t.probing = true
		t.retryAt = now + firstRetry
	}
	return c, true
}

// probe returns a target of the own zone that a request which can be sent
// again should go to: a sick one whose time has come, or the one not heard
// from for longest.
func (p *Pool) probe(now clock.Millis, a Ask) *target {
	var best *target
	for _, t := range p.order {
		if t.Zone != p.Zone || !p.usable(now, t, a) {
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
func (p *Pool) cheapest(now clock.Millis, a Ask) *target {
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
	costBulky    = 0.6
	costCold     = 0.1
	costSlow     = 0.1
	costSlowMost = 0.5
)

// costLacks is the risk of a target by the answers that it lacks: each answer
// in a row makes it less likely that the spell goes on.
var costLacks = [trustedAfter + 1]float64{0, 0.06, 0.17, 0.45, costSick}

func (p *Pool) cost(now clock.Millis, t *target, a Ask) float64 {
	c := p.risk(now, t)
	b, s := t.busy(now), t.slots()
	c += costBusy * float64(b)
	if b == s-1 {
		c += costNearFull
	}
	if b >= s {
		c += costQueued * float64(b-s+1) / float64(s)
	}
	if t.Zone != p.Zone {
		c += costZone
		if a.Bulky {
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
	at := t.seenAt(now)
	if at == 0 {
		return costUnknown
	}
	return min(costUnknown, costAge*float64(now-at)/float64(clock.Second))
}

// Done notes how a request ended that Pick had counted.
func (p *Pool) Done(now clock.Millis, id string, r Result) {
	t := p.targets[id]
	if t == nil {
		return
	}
	t.mine = max(0, t.mine-1)
	t.probing = false
	t.changed = true
	if r.Load.Known {
		t.load, t.loadAt = r.Load, now
	}
	if r.Cold > 0 {
		t.coldUntil = now + r.Cold
	}
	p.judge(now, t, r)
}

// Overdue notes that a target has not answered a request in the usual time.
func (p *Pool) Overdue(now clock.Millis, id string) {
	if t := p.targets[id]; t != nil {
		defer p.believe(now, t, t.lacks == 0, TimedOut, "")
		t.fail(now, 1)
		t.changed = true
	}
}

// believe tells of a change of trust.
func (p *Pool) believe(now clock.Millis, t *target, before bool, o Outcome, host string) {
	if p.Believe == nil || before == (t.lacks == 0) {
		return
	}
	p.Believe(now, Belief{Target: t.ID, Trusted: !before, Cause: o, Host: host, Since: now - t.turnedAt})
	t.turnedAt = now
}

func (p *Pool) judge(now clock.Millis, t *target, r Result) {
	defer p.believe(now, t, t.lacks == 0, r.Outcome, "")
	switch r.Outcome {
	case Served:
		if t.refused {
			t.refused = false
			t.coldUntil = max(t.coldUntil, now+p.Service.WarmUp)
		}
		t.succeed(now - r.Took)
		p.timed(t, float64(r.Took))
	case Failed:
		t.fail(now, min(t.fails+2, trustedAfter))
	case Broken, TimedOut:
		t.fail(now, trustedAfter)
	case Unreached:
		t.refused = true
		t.fail(now, trustedAfter)
	case Misdirected:
		t.gone = true
	case Shed:
		t.load, t.loadAt = Load{Known: true, Running: t.slots() + queueBeyond}, now
	}
}

// timed averages latencies of the target and of the service.
func (p *Pool) timed(t *target, took float64) {
	if t.latency == 0 {
		t.latency = took
	}
	if p.typical == 0 {
		p.typical = took
	}
	t.latency += latencyWeight * (took - t.latency)
	p.typical += latencyWeight / 4 * (took - p.typical)
}

// Typical returns the average time of an answer, zero if none is known.
func (p *Pool) Typical() clock.Millis { return clock.Millis(p.typical) }

// Sick returns the number of targets that are not trusted, and of all.
func (p *Pool) Sick() (sick, all int) {
	for _, t := range p.order {
		if t.lacks > 0 {
			sick++
		}
	}
	return sick, len(p.order)
}
