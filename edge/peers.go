package edge

import (
	"github.com/carawayrack/carawayrack/balance"
	"github.com/carawayrack/carawayrack/clock"
	"github.com/carawayrack/carawayrack/coordinator"
)

// peers returns the hosts that take requests: of the own zone, or of all.
func (v *view) peers(all bool) []coordinator.Host {
	v.mu.Lock()
	defer v.mu.Unlock()
	if !all {
		return coordinator.Active(v.fleet.Hosts, v.zone)
	}
	return v.active()
}

// active returns the hosts of all zones that take requests.
func (v *view) active() []coordinator.Host {
	var l []coordinator.Host
	seen := map[string]bool{}
	for _, h := range v.fleet.Hosts {
		if !seen[h.Zone] {
			seen[h.Zone] = true
			l = append(l, coordinator.Active(v.fleet.Hosts, h.Zone)...)
		}
	}
	return l
}

// activeCount returns the number of hosts that take requests.
func (v *view) activeCount() int {
	v.mu.Lock()
	defer v.mu.Unlock()
	return len(v.active())
}

const (
	// minAddresses is the number of addresses that callers should have to
	// choose from.
	minAddresses = 2
	maxAddresses = 64
)

// Resolve returns the addresses that callers in a zone should use: those of
// their zone, and others where these are few or the zone is out. A host of
// another zone has targets of its own zone at hand.
func (h *Host) Resolve(zone string) []string {
	h.view.mu.Lock()
	defer h.view.mu.Unlock()
	var l []string
	if !h.view.zonesOut[zone] {
		l = callers(l, coordinator.Active(h.view.fleet.Hosts, zone))
	}
	if len(l) >= minAddresses {
		return l
	}
	var others []coordinator.Host
	for _, x := range h.view.active() {
		if x.Zone != zone && !h.view.zonesOut[x.Zone] {
			others = append(others, x)
		}
	}
	if l = callers(l, others); len(l) == 0 {
		l = callers(l, h.view.active())
	}
	return l[:min(len(l), maxAddresses)]
}

func callers(l []string, hosts []coordinator.Host) []string {
	for _, x := range hosts {
		l = append(l, x.Callers)
	}
	return l
}

func (v *view) changedEvidence(now clock.Millis) []balance.Evidence {
	v.mu.Lock()
	defer v.mu.Unlock()
	var l []balance.Evidence
	for _, p := range v.pools {
		l = append(l, p.Changed(now)...)
	}
	return l
}

func (v *view) evidenceOf(now clock.Millis, service, id string) (balance.Evidence, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.pool(service).Of(now, id)
}

// digest returns the evidence on the targets of the own zone.
func (v *view) digest(now clock.Millis) []balance.Evidence {
	v.mu.Lock()
	defer v.mu.Unlock()
	var l []balance.Evidence
	for _, p := range v.pools {
		l = append(l, p.Digest(now)...)
	}
	return l
}

// otherZones returns the hosts of other zones that take requests.
func (v *view) otherZones() []coordinator.Host {
	v.mu.Lock()
	defer v.mu.Unlock()
	var l []coordinator.Host
	for _, h := range v.active() {
		if h.Zone != v.zone {
			l = append(l, h)
		}
	}
	return l
}

// learn takes over evidence of another host.
func (v *view) learn(now clock.Millis, kind byte, host string, l []balance.Evidence) {
	v.mu.Lock()
	defer v.mu.Unlock()
	zone := v.zoneOf(host)
	for _, e := range l {
		for n, p := range v.pools {
			take := p.Learn
			if kind == digest || zone != v.zone && p.From(e, zone) {
				take = p.Adopt
			}
			if take(now, host, e) {
				v.queue(n).Wake()
				break
			}
		}
	}
}

func (v *view) zoneOf(host string) string {
	for _, h := range v.fleet.Hosts {
		if h.ID == host {
			return h.Zone
		}
	}
	return ""
}
