package edge

import (
	"github.com/carawayrack/carawayrack/coordinator"
)

const (
	// minAddresses is the number of addresses that callers should have to choose
	// from.
	minAddresses = 2
	// maxAddresses bounds a list that includes hosts of other zones.
	maxAddresses = 64
)

// Resolve returns the addresses that callers in a zone should use: those of
// the hosts of their zone, and those of other zones if the zone has few hosts
// or is evacuated. Hosts of other zones prefer targets of their own zones. If
// all zones are evacuated, it returns the hosts of all of them.
func (h *Host) Resolve(zone string) []string {
	h.view.mu.Lock()
	defer h.view.mu.Unlock()
	var l []string
	if !h.view.evacuatedZones[zone] {
		l = appendCallers(l, coordinator.Active(h.view.fleet.Hosts, zone))
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
	if l = appendCallers(l, others); len(l) == 0 {
		l = appendCallers(l, h.view.active())
	}
	return l[:min(len(l), maxAddresses)]
}

func appendCallers(l []string, hosts []coordinator.Host) []string {
	for _, x := range hosts {
		l = append(l, x.Callers)
	}
	return l
}
