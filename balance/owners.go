package balance

import (
	"slices"
	"sort"
)

const (
	// SmallZoneHosts is the largest number of hosts of a small zone, in which each
	// host owns every target of the zone.
	SmallZoneHosts = 6
	// targetsPerHost is the number of targets of a service that a host of a larger
	// zone should own: enough for one to be usable while others fail.
	targetsPerHost = 8
	// coldOwners is the largest number of hosts that use a cold target, and the
	// smallest number of owners of a target in a large zone.
	coldOwners = 3
)

// SetHosts sets the IDs of the active hosts of the local zone, which accept
// requests. A host that is not one of them but still gets requests, from callers
// with a stale list of hosts, owns targets all the same.
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

// assign sets the owners of each target of the local zone: the hosts that prefer
// it and report each of their requests there to each other. As each host owns
// few targets, it has current observations of them however many hosts and
// targets there are.
func (p *Pool) assign() {
	local := 0
	for _, t := range p.order {
		if t.Zone == p.Zone {
			local++
		}
	}
	n := p.ownerCount(local)
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

// ownerCount returns the number of owners of each target if the zone has the
// given number of targets of the service.
func (p *Pool) ownerCount(targets int) int {
	n := len(p.hosts)
	if n <= SmallZoneHosts || targets == 0 {
		return n
	}
	return min(max((targetsPerHost*n+targets-1)/targets, coldOwners), n)
}

// rankHosts returns the hosts in the order of the hash of their ID and the
// target's ID (rendezvous hashing): the owners of few targets change when a host
// joins or leaves.
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

// isFirstOwner reports whether this host is the first owner of a target. The
// first owner reports on the target to the hosts that do not own it.
func (p *Pool) isFirstOwner(t *target) bool { return len(t.owners) > 0 && t.owners[0] == p.Self }

// LargeZone reports whether the local zone has more than SmallZoneHosts hosts, so
// that each may own only some of its targets.
func (p *Pool) LargeZone() bool { return len(p.hosts) > SmallZoneHosts }
