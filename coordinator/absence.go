package coordinator

import "github.com/carawayrack/carawayrack/clock"

// OwnShare is the share of each account's rate that all hosts together use of their own
// parts while they cannot borrow tokens.
const OwnShare = 0.7

const (
	// absenceInterval is the time between two updates of absence.
	absenceInterval = 200 * clock.Millis(1)
	// unknownHostsFor is how long a new leader without a list of hosts, which has just
	// started, takes all of them as absent: they may still use the former leader.
	unknownHostsFor = 1 * clock.Second
)

// absence follows, at the leader, the hosts that may be using their own parts of the rates:
// those without contact for silentAfter, until they take no requests any more. What they
// may spend must not be lent to others.
type absence struct {
	// MaxAge is the time after its last contact at which a host takes no more requests.
	MaxAge clock.Millis

	// contactAt is when the leader last had contact with a host, by its ID.
	contactAt map[string]clock.Millis
	parts     map[string]absentPart
	updatedAt clock.Millis
}

// absentPart is the part of a host that is absent, as a share of the rates.
type absentPart struct {
	share float64
	until clock.Millis
}

// lead begins anew at a new leader. Hosts that no process reports within silentAfter count
// as absent since then.
func (a *absence) lead(now clock.Millis, hosts []Host) {
	a.contactAt, a.parts, a.updatedAt = map[string]clock.Millis{}, map[string]absentPart{}, now
	for _, h := range active(hosts) {
		a.contactAt[h.ID] = now
	}
	if len(hosts) == 0 {
		a.parts[""] = absentPart{OwnShare, now + unknownHostsFor}
	}
}

// forgetUnknown ends the absence of unknown hosts, since no former leader is left for them.
func (a *absence) forgetUnknown() { delete(a.parts, "") }

// update takes the times of the last contacts, the hosts that stop and the list of hosts. It
// returns what absent hosts may have spent since the last update, in seconds of a rate.
func (a *absence) update(now clock.Millis, contacts map[string]clock.Millis, leaving map[string]bool, hosts []Host) float64 {
	passed := float64(now-a.updatedAt) / 1000
	a.updatedAt = now
	spent := 0.0
	for id, p := range a.parts {
		spent += p.share * passed
		if contacts[id] > a.contactAt[id] || now >= p.until || leaving[id] {
			delete(a.parts, id)
		}
	}
	for id, at := range contacts {
		a.contactAt[id] = max(a.contactAt[id], at)
	}
	// A host that has said that it stops uses no part of its own after its end.
	for id := range leaving {
		if now-a.contactAt[id] > silentAfter {
			delete(a.contactAt, id)
		}
	}
	l := active(hosts)
	for _, h := range l {
		at, known := a.contactAt[h.ID]
		if _, absent := a.parts[h.ID]; !known || absent || now-at <= silentAfter || now-at >= a.MaxAge {
			continue
		}
		// Its part counts from its last contact on.
		p := absentPart{OwnShare / float64(len(l)), at + a.MaxAge}
		a.parts[h.ID] = p
		spent += p.share * float64(now-at) / 1000
	}
	for id, at := range a.contactAt {
		if now-at >= a.MaxAge {
			delete(a.contactAt, id)
		}
	}
	return spent
}

// active returns the hosts of all zones that callers are sent to.
func active(hosts []Host) []Host {
	var l []Host
	seen := map[string]bool{}
	for _, h := range hosts {
		if !seen[h.Zone] {
			seen[h.Zone] = true
			l = append(l, Active(hosts, h.Zone)...)
		}
	}
	return l
}

// contacts returns the times of the last contacts with hosts, directly or through other
// control processes, and the hosts that are about to stop.
func (t *fleetTable) contacts() (at map[string]clock.Millis, leaving map[string]bool) {
	at, leaving = map[string]clock.Millis{}, map[string]bool{}
	for id, x := range t.hosts {
		at[id] = x.at
		if x.host.Leaving {
			leaving[id] = true
		}
	}
	for _, c := range t.cores {
		silent := map[string]bool{}
		for _, id := range c.silent {
			silent[id] = true
		}
		for _, h := range c.hosts {
			if !silent[h.ID] {
				at[h.ID] = max(at[h.ID], c.at)
			}
		}
		for _, id := range c.leaving {
			leaving[id] = true
		}
	}
	return at, leaving
}

// silentHosts returns the hosts of this process without an exchange for silentAfter, and
// those that are about to stop.
func (t *fleetTable) silentHosts(now clock.Millis) (silent, leaving []string) {
	for id, x := range t.hosts {
		if x.host.Leaving {
			leaving = append(leaving, id)
		} else if now-x.at > silentAfter {
			silent = append(silent, id)
			x.counted = true
		}
	}
	return silent, leaving
}

// reviewAbsence takes what absent hosts may have spent off the leader's buckets.
func (r *Replica) reviewAbsence(now clock.Millis) {
	if !r.lender.leading || now-r.absence.updatedAt < absenceInterval {
		return
	}
	if r.node.Followed() {
		r.absence.forgetUnknown()
	}
	at, leaving := r.fleet.contacts()
	r.lender.debitAll(now, r.absence.update(now, at, leaving, r.fleet.lastFleet.Hosts))
	for id := range r.absence.parts {
		if x := r.fleet.hosts[id]; x != nil {
			x.counted = true
		}
	}
}
