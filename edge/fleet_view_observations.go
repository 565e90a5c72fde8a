package edge

import (
	"github.com/carawayrack/carawayrack/balance"
	"github.com/carawayrack/carawayrack/clock"
	"github.com/carawayrack/carawayrack/coordinator"
	"github.com/carawayrack/carawayrack/healthcheck"
)

// activeHosts returns the hosts that take requests: those of the local zone,
// or of all zones.
func (v *fleetView) activeHosts(all bool) []coordinator.Host {
	v.mu.Lock()
	defer v.mu.Unlock()
	if !all {
		return coordinator.Active(v.fleet.Hosts, v.zone)
	}
	return v.active()
}

// active returns the hosts of all zones that take requests.
func (v *fleetView) active() []coordinator.Host {
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
func (v *fleetView) activeCount() int {
	v.mu.Lock()
	defer v.mu.Unlock()
	return len(v.active())
}

// takeChanges returns the observations of the targets whose state has changed
// since the last call, by the hosts that need them.
func (v *fleetView) takeChanges(now clock.Millis) map[coordinator.Host][]balance.Observation {
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

// gather collects observations from the pools of all services.
func (v *fleetView) gather(of func(*balance.Pool) []balance.Observation) []balance.Observation {
	v.mu.Lock()
	defer v.mu.Unlock()
	var l []balance.Observation
	for _, p := range v.pools {
		l = append(l, of(p)...)
	}
	return l
}

// takeHealthChanges returns the observations of the targets that this host owns
// first and whose health differs from what was last sent to other zones. It marks
// them as sent.
func (v *fleetView) takeHealthChanges(now clock.Millis) []balance.Observation {
	return v.gather(func(p *balance.Pool) []balance.Observation { return p.TakeHealthChanges(now) })
}

// firstOwned returns the observations of the serving targets that this host owns
// first.
func (v *fleetView) firstOwned(now clock.Millis) []balance.Observation {
	return v.gather(func(p *balance.Pool) []balance.Observation { return p.FirstOwned(now) })
}

// digest returns the observations of the serving targets of the local zone.
func (v *fleetView) digest(now clock.Millis) []balance.Observation {
	return v.gather(func(p *balance.Pool) []balance.Observation { return p.Digest(now) })
}

// observationOf returns the observation of one target; false if the target is
// unknown.
func (v *fleetView) observationOf(now clock.Millis, service, id string) (balance.Observation, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.pool(service).ObservationOf(now, id)
}

// otherZones returns the hosts of other zones that take requests.
func (v *fleetView) otherZones() []coordinator.Host {
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

// merge applies the observations of another host. For targets that this host
// does not own, those of a digest, and those from hosts of the target's zone,
// replace what this host has observed.
func (v *fleetView) merge(now clock.Millis, kind byte, host string, l []balance.Observation) {
	v.mu.Lock()
	defer v.mu.Unlock()
	zone := v.zoneOf(host)
	for _, e := range l {
		if o, key, age, ok := e.Outcomes(); ok {
			v.mergeOutcomes(now, host, key, o, now-age)
			continue
		}
		for n, p := range v.pools {
			apply := p.Merge
			if kind == kindDigest || p.Authoritative(e, zone) {
				apply = p.Overwrite
			}
			if apply(now, host, e) {
				v.queue(n).Wake()
				break
			}
		}
	}
}

func (v *fleetView) zoneOf(host string) string {
	for _, h := range v.fleet.Hosts {
		if h.ID == host {
			return h.Zone
		}
	}
	return ""
}

// dueHealthChecks returns the health checks that this host should send now.
func (v *fleetView) dueHealthChecks(now clock.Millis) []*healthcheck.Check {
	v.mu.Lock()
	defer v.mu.Unlock()
	var l []*healthcheck.Check
	for n, p := range v.pools {
		if p.Service.HealthPath == "" {
			continue
		}
		for _, c := range p.DueHealthChecks(now) {
			l = append(l, &healthcheck.Check{Service: n, Path: p.Service.HealthPath, Target: c, SentAt: now})
		}
	}
	return l
}

// healthCheckDone records the result of a health check. It reports whether other
// hosts should be told.
func (v *fleetView) healthCheckDone(c *healthcheck.Check, passed bool) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.pool(c.Service).CheckDone(c.Target.ID, c.SentAt, passed)
}
