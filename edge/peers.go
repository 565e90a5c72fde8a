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

// changedEvidence returns what has changed, by the hosts to tell.
func (v *view) changedEvidence(now clock.Millis) map[coordinator.Host][]balance.Observation {
	v.mu.Lock()
	defer v.mu.Unlock()
	by := map[string][]balance.Observation{}
	for _, p := range v.pools {
		for h, l := range p.TakeChanges(now) {
			by[h] = append(by[h], l...)
		}
	}
	m := map[coordinator.Host][]balance.Observation{}
	for _, h := range v.fleet.Hosts {
		if l := by[h.ID]; l != nil {
			m[h] = l
		}
	}
	return m
}

// gather collects evidence from the pools of all services.
func (v *view) gather(of func(*balance.Pool) []balance.Observation) []balance.Observation {
	v.mu.Lock()
	defer v.mu.Unlock()
	var l []balance.Observation
	for _, p := range v.pools {
		l = append(l, of(p)...)
	}
	return l
}

// turned returns evidence on the targets that this host owns first and on
// which other zones must change their mind.
func (v *view) turned(now clock.Millis) []balance.Observation {
	return v.gather(func(p *balance.Pool) []balance.Observation { return p.TakeHealthChanges(now) })
}

// owned returns the evidence on the targets that this host owns first.
func (v *view) owned(now clock.Millis) []balance.Observation {
	return v.gather(func(p *balance.Pool) []balance.Observation { return p.FirstOwned(now) })
}

// digest returns the evidence on the targets of the own zone.
func (v *view) digest(now clock.Millis) []balance.Observation {
	return v.gather(func(p *balance.Pool) []balance.Observation { return p.Digest(now) })
}

func (v *view) evidenceOf(now clock.Millis, service, id string) (balance.Observation, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.pool(service).ObservationOf(now, id)
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
func (v *view) learn(now clock.Millis, kind byte, host string, l []balance.Observation) {
	v.mu.Lock()
	defer v.mu.Unlock()
	zone := v.zoneOf(host)
	for _, e := range l {
		for n, p := range v.pools {
			take := p.Merge
			if kind == digest || p.Authoritative(e, zone) {
				take = p.Overwrite
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
