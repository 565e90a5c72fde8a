package balance

import (
	"slices"
	"sort"
)

const (
	// SmallZoneHosts is the number of hosts of a zone up to which each of them owns
	// every target of the zone.
	SmallZoneHosts = 6
	// targetsPerHost is the number of targets of a service that a host of a larger
	// zone should own: enough to have one at hand while others fail.
	targetsPerHost = 8
	// coldOwners is the largest number of hosts that use a cold target.
	coldOwners = 3
)

// SetHosts takes over the IDs of the hosts of the own zone that take
// requests. A host that is not one of them, but is sent requests by callers
// that do not know yet, owns targets all the same.
func (p *Pool) SetHosts(l []string) {
	listed := slices.Contains(l, p.Self)
	h := slices.Clone(l)
	if !listed {
		h = append(h, p.Self)
	}
	if p.listed == listed && slices.Equal(h, p.hosts) {
		return
	}
	p.hosts, p.listed = h, listed
	for _, t := range p.targets {
		t.ranking = nil
	}
	p.assign()
}

// assign finds the owners of each target of the zone: the hosts that use it
// first and tell each other of every request there. Owning few targets, each
// host knows these well however many hosts and targets there are.
func (p *Pool) assign() {
	here := 0
	for _, t := range p.order {
		if t.Zone == p.Zone {
			here++
		}
	}
	n := p.ownerCount(here)
	for _, t := range p.order {
		t.owners, t.owned = nil, false
		if t.Zone != p.Zone {
			continue
		}
		if t.ranking == nil {
			t.ranking = p.rankHosts(t.ID)
		}
		t.owners = t.ranking[:min(n, len(t.ranking))]
		t.owned = slices.Contains(t.owners, p.Self)
	}
}

// ownerCount returns the number of owners of a target where a zone has so many
// targets of the service.
func (p *Pool) ownerCount(targets int) int {
	n := len(p.hosts)
	if n <= SmallZoneHosts || targets == 0 {
		return n
	}
	return min(max((targetsPerHost*n+targets-1)/targets, coldOwners), n)
}

// rankHosts returns the hosts by the hash of their IDs together with a target's
// (rendezvous hashing): a host that comes or goes moves few targets.
func (p *Pool) rankHosts(id string) []string {
	l := slices.Clone(p.hosts)
	k := make(map[string]uint32, len(l))
	for _, h := range l {
		k[h] = Key(id + "/" + h)
	}
	sort.Slice(l, func(i, j int) bool {
		if k[l[i]] != k[l[j]] {
			return k[l[i]] < k[l[j]]
		}
		return l[i] < l[j]
	})
	return l
}

// isFirstOwner reports whether this host is the isFirstOwner owner of a target: it tells the
// rest of the zone of it.
func (p *Pool) isFirstOwner(t *target) bool { return len(t.owners) > 0 && t.owners[0] == p.Self }

// LargeZone reports whether hosts of the zone own only some of its targets.
func (p *Pool) LargeZone() bool { return len(p.hosts) > SmallZoneHosts }
