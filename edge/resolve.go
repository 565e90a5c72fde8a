package edge

import (
	"github.com/carawayrack/carawayrack/coordinator"
)

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
	if !h.view.evacuatedZones[zone] {
		l = callers(l, coordinator.Active(h.view.fleet.Hosts, zone))
	}
	if len(l) >= minAddresses {
		return l
	}
	var others []coordinator.Host
	for _, x := range h.view.active() {
		if x.Zone != zone && !h.view.evacuatedZones[x.Zone] {
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
