package coordinator

import (
	"hash/fnv"
	"sort"

	"github.com/carawayrack/carawayrack/clock"
)

// fleetTable is what a control process knows of the other processes. Each
// tells the leader which hosts it hears, and the leader tells all of them the
// whole list.
type fleetTable struct {
	Settings Settings

	hosts map[string]*hostRow
	// cores holds what each control process reported, at the leader.
	cores   map[string]*coreRow
	leading bool
	ledAt   clock.Millis
	// lastFleet is the last list of the leader, held is the digest of this
	// process's hosts that the leader has.
	lastFleet   *Fleet
	ackedDigest uint64
}

type hostRow struct {
	host Host
	at   clock.Millis
}

type coreRow struct {
	core   Core
	digest uint64
	hosts  []Host
	at     clock.Millis
}

func (t *fleetTable) run() {
	t.hosts = map[string]*hostRow{}
	t.cores = map[string]*coreRow{}
	t.lastFleet = &Fleet{Cores: []Core{{t.Settings.Peer, t.Settings.Zone}}}
}

func (t *fleetTable) setLeading(now clock.Millis, leading bool) {
	t.leading, t.ledAt = leading, now
	t.cores = map[string]*coreRow{}
	t.ackedDigest = 0
}

// recordHost notes an exchange with a host.
func (t *fleetTable) recordHost(now clock.Millis, h Host) {
	t.hosts[h.ID] = &hostRow{h, now}
}

// directHosts returns the hosts that this process hears.
func (t *fleetTable) directHosts(now clock.Millis) ([]Host, uint64) {
	l := make([]Host, 0, len(t.hosts))
	for id, x := range t.hosts {
		if now-x.at > hostTimeout {
			delete(t.hosts, id)
			continue
		}
		if !x.host.Leaving {
			l = append(l, x.host)
		}
	}
	sortHosts(l)
	return l, digest(l, nil)
}

func sortHosts(l []Host) {
	sort.Slice(l, func(i, j int) bool { return l[i].ID < l[j].ID })
}

func digest(l []Host, cores []Core) uint64 {
	h := fnv.New64a()
	write := func(s string) { _, _ = h.Write(append([]byte(s), 0)) }
	for _, x := range l {
		write(x.ID)
		write(x.Callers)
		write(x.Peer)
		write(x.Zone)
	}
	for _, x := range cores {
		write(x.Addr)
	}
	return h.Sum64() | 1
}

// report notes what another control process said.
func (t *fleetTable) report(now clock.Millis, a ReportArgs) uint64 {
	x := t.cores[a.ID]
	if x == nil {
		x = &coreRow{}
		t.cores[a.ID] = x
	}
	x.core = Core{a.Addr, a.Zone}
	x.at = now
	if a.Hosts != nil || a.Digest == digest(nil, nil) {
		x.hosts, x.digest = a.Hosts, a.Digest
	}
	return x.digest
}

// list returns the whole fleet as far as it is known here.
func (t *fleetTable) list(now clock.Millis) *Fleet {
	if !t.leading {
		return t.lastFleet
	}
	l, _ := t.directHosts(now)
	seen := map[string]bool{}
	for _, h := range l {
		seen[h.ID] = true
	}
	cores := []Core{{t.Settings.Peer, t.Settings.Zone}}
	for id, x := range t.cores {
		if now-x.at > reportTimeout {
			delete(t.cores, id)
			continue
		}
		cores = append(cores, x.core)
		for _, h := range x.hosts {
			if r := t.hosts[h.ID]; !seen[h.ID] && (r == nil || !r.host.Leaving) {
				l = append(l, h)
				seen[h.ID] = true
			}
		}
	}
	// A new leader waits for the others before it overrules the last list.
	if now-t.ledAt < reportTimeout && len(l) < len(t.lastFleet.Hosts) {
		return t.lastFleet
	}
	sortHosts(l)
	sort.Slice(cores, func(i, j int) bool { return cores[i].Addr < cores[j].Addr })
	t.lastFleet = &Fleet{Hosts: l, Cores: cores, Digest: digest(l, cores)}
	return t.lastFleet
}

// coreIn returns the address of a control process in a zone, first this one.
func (t *fleetTable) coreIn(zone string) string {
	if zone == t.Settings.Zone {
		return t.Settings.Peer
	}
	for _, c := range t.lastFleet.Cores {
		if c.Zone == zone {
			return c.Addr
		}
	}
	return ""
}

// hostsPerZone is the number of hosts of a zone that callers are sent to: the
// fewer, the more each knows of the targets.
const hostsPerZone = 3

// Active returns the hosts of a zone that callers are sent to.
func Active(l []Host, zone string) []Host {
	var r []Host
	for _, h := range l {
		if h.Zone == zone && !h.Leaving && (h.Narrow || len(r) < hostsPerZone) {
			r = append(r, h)
		}
	}
	return r
}
