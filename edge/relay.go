package edge

import (
	"sync"

	"github.com/carawayrack/carawayrack/balance"
	"github.com/carawayrack/carawayrack/clock"
	"github.com/carawayrack/carawayrack/coordinator"
)

const (
	// relaysPerZone is the number of hosts of a large zone that pass on what hosts
	// of other zones report. Each change then crosses the border of a zone once for
	// each report, not once for each host.
	relaysPerZone = 16
	// relayInterval is the shortest time between two reports of a relay.
	relayInterval = 250 * clock.Millis(1)
	// relayBudget is the number of bytes a second that a relay sends. Beyond it
	// reports become rarer; each has only the newest observation of a target.
	relayBudget = 15_000
	// maxRelayed is the number of observations in one report.
	maxRelayed = 20
)

// relay collects observations that hosts of other zones reported, for the hosts
// of the local zone.
type relay struct {
	mu      sync.Mutex
	pending map[uint32]relayed
	// nextAt is the earliest time of the next report.
	nextAt clock.Millis
}

// relayed is an observation that was reported at the time at.
type relayed struct {
	observation balance.Observation
	at          clock.Millis
}

// add replaces what was pending of the targets.
func (r *relay) add(now clock.Millis, l []balance.Observation) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.pending == nil {
		r.pending = map[uint32]relayed{}
	}
	for _, e := range l {
		// The requests in flight are those of the reporting host only.
		e.InFlight = 0
		r.pending[e.Key] = relayed{e, now}
	}
}

// take returns what is to be reported now, nothing before the next report is due.
// The ages of observations include the time that they were pending.
func (r *relay) take(now clock.Millis) []balance.Observation {
	r.mu.Lock()
	defer r.mu.Unlock()
	if now < r.nextAt {
		return nil
	}
	var l []balance.Observation
	for k, x := range r.pending {
		if len(l) == maxRelayed {
			break
		}
		l = append(l, x.observation.Older(now-x.at))
		delete(r.pending, k)
	}
	return l
}

// sent records that n bytes were sent at a time.
func (r *relay) sent(now clock.Millis, n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.nextAt = now + max(relayInterval, clock.Millis(n)*clock.Second/relayBudget)
}

// relayFor returns the host of each other zone to report to in the given round.
// Small zones have no relay: all their hosts are returned.
func relayFor(l []coordinator.Host, self string, round int) []coordinator.Host {
	by := map[string][]coordinator.Host{}
	for _, h := range l {
		by[h.Zone] = append(by[h.Zone], h)
	}
	var r []coordinator.Host
	for _, hosts := range by {
		if len(hosts) <= balance.SmallZoneHosts {
			r = append(r, hosts...)
			continue
		}
		k := min(relaysPerZone, len(hosts))
		r = append(r, hosts[(int(balance.Key(self)%uint32(k))+round)%k])
	}
	return r
}

// byteBudget limits the bytes a second of one kind of message.
type byteBudget struct {
	// rate is in bytes a second, depth in bytes.
	rate, depth float64
	left        float64
	at          clock.Millis
	started     bool
}

// spend takes n bytes. It reports false, and takes nothing, if there are fewer.
func (b *byteBudget) spend(now clock.Millis, n int) bool {
	if !b.started {
		b.left, b.started = b.depth, true
	}
	b.left = min(b.depth, b.left+b.rate*float64(now-b.at)/float64(clock.Second))
	b.at = now
	if b.left < float64(n) {
		return false
	}
	b.left -= float64(n)
	return true
}
