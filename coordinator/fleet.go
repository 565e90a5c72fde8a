package coordinator

import (
	"hash/fnv"
	"sort"

	"github.com/carawayrack/carawayrack/catalog"
	"github.com/carawayrack/carawayrack/clock"
)

// fleetTable tracks the hosts and control processes. Each control process
// reports its direct hosts, those that exchange with it, to the leader. The
// leader merges the reports and sends the whole list to all control processes.
type fleetTable struct {
	Settings Settings

	// hosts holds the direct hosts by ID.
	hosts map[string]*hostRow
	// cores holds the last report of each control process by replica ID. Only
	// the leader fills it.
	cores   map[string]*coreRow
	leading bool
	// ledAt is when the role last changed: at the leader, when it began to lead.
	ledAt clock.Millis
	// lastFleet is the last list that the leader made. ackedDigest is the digest
	// of this process's direct hosts that the leader holds, zero if none.
	lastFleet   *Fleet
	ackedDigest uint64
	// history holds former lists. madeAt is when the leader last made a list.
	history fleetHistory
	madeAt  clock.Millis
}

// hostRow is a host with the time of its last exchange.
type hostRow struct {
	host Host
	at   clock.Millis
	// instance, spentRound and spent are those of the last exchange.
	instance   uint64
	spentRound uint64
	spent      map[string]int
	// counted is true once the leader takes the host as absent, or has been told that it is
	// silent: it then counts what the host spends alone.
	counted bool
}

// coreRow is a control process with the hosts and the time of its last report.
// The digest is that of hosts.
type coreRow struct {
	core   Core
	digest uint64
	hosts  []Host
	at     clock.Millis
	// silent and leaving are as in the last report.
	silent, leaving []string
}

func (t *fleetTable) run() {
	t.hosts = map[string]*hostRow{}
	t.cores = map[string]*coreRow{}
	t.lastFleet = &Fleet{Cores: []Core{{t.Settings.Peer, t.Settings.Zone}}}
}

// setLeading is called when the role changes. Reports of other control
// processes are dropped, and this process reports its hosts again.
func (t *fleetTable) setLeading(now clock.Millis, leading bool) {
	t.leading, t.ledAt, t.madeAt = leading, now, 0
	t.cores = map[string]*coreRow{}
	t.ackedDigest = 0
}

// countedAfter is the silence after which the leader has counted a host as absent, whichever
// control process it was in touch with.
const countedAfter = silentAfter + reportInterval + absenceInterval

// recordHost records an exchange with a host. It returns the tokens that the host has spent of
// its own part since the last one, none if the leader counts them by itself. Those of a host
// that comes from another control process may be counted twice if it was silent for
// silentAfter to countedAfter.
func (t *fleetTable) recordHost(now clock.Millis, a ExchangeArgs) map[string]int {
	old := t.hosts[a.Host.ID]
	t.hosts[a.Host.ID] = &hostRow{host: a.Host, at: now, instance: a.Instance, spentRound: a.SpentRound, spent: a.Spent}
	if old == nil || old.instance != a.Instance {
		if a.SpentFor > countedAfter {
			return nil
		}
		return a.Spent
	}
	if old.counted {
		return nil
	}
	if old.spentRound != a.SpentRound {
		return a.Spent
	}
	// The host did not get the last reply and sends what it has spent again.
	more := map[string]int{}
	for n, k := range a.Spent {
		if k > old.spent[n] {
			more[n] = k - old.spent[n]
		}
	}
	return more
}

// directHosts returns the hosts whose last exchange with this process was within
// hostTimeout and that are not leaving, and their digest.
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

// digest identifies a list. It is never zero, which stands for no list.
func digest(l []Host, cores []Core) uint64 {
	h := fnv.New64a()
	write := func(s string) { _, _ = h.Write(append([]byte(s), 0)) }
	for _, x := range l {
		write(x.ID)
		write(x.Callers)
		write(x.Peer)
		write(x.Zone)
		if x.Narrow {
			write("narrow")
		}
	}
	for _, x := range cores {
		write(x.Addr)
		write(x.Zone)
	}
	return h.Sum64() | 1
}

// report records the report of another control process. It returns the digest
// of the hosts that are now recorded for the sender.
func (t *fleetTable) report(now clock.Millis, a ReportArgs) uint64 {
	x := t.cores[a.ID]
	if x == nil {
		x = &coreRow{}
		t.cores[a.ID] = x
	}
	x.core = Core{a.Addr, a.Zone}
	x.at = now
	x.silent, x.leaving = a.Silent, a.Leaving
	// gob does not send an empty list. If the sender has no hosts, only the digest
	// shows it.
	if a.Hosts != nil || a.Digest == digest(nil, nil) {
		x.hosts, x.digest = a.Hosts, a.Digest
	}
	return x.digest
}

// listInterval is the shortest time between two lists: making one takes time that
// grows with the number of hosts, and each change is sent to all of them.
const listInterval = 100 * clock.Millis(1)

// list returns all hosts and control processes: at the leader from the reports,
// elsewhere as the leader last sent them.
func (t *fleetTable) list(now clock.Millis) *Fleet {
	if !t.leading {
		return t.lastFleet
	}
	if t.madeAt > 0 && now-t.madeAt < listInterval {
		return t.lastFleet
	}
	t.madeAt = now
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
	// A new leader waits for the other reports before it shortens the last list.
	if now-t.ledAt < reportTimeout && len(l) < len(t.lastFleet.Hosts) {
		return t.lastFleet
	}
	sortHosts(l)
	sort.Slice(cores, func(i, j int) bool { return cores[i].Addr < cores[j].Addr })
	t.lastFleet = &Fleet{Hosts: l, Cores: cores, Digest: digest(l, cores)}
	return t.lastFleet
}

// adopt takes over the list of the leader or a change of it. A change that does
// not follow the last list makes the leader send the whole list.
func (t *fleetTable) adopt(f *Fleet, c *FleetChange) {
	if f == nil && c == nil {
		return
	}
	if f == nil {
		var ok bool
		if f, ok = t.lastFleet.Apply(c); !ok {
			t.lastFleet = &Fleet{Hosts: t.lastFleet.Hosts, Cores: t.lastFleet.Cores}
			return
		}
	}
	t.history.add(t.lastFleet)
	t.lastFleet = f
}

// coreFor returns the address of a control process in a target's zone, preferably of
// this one. It is empty if there is none. Several ones share the targets of their zone,
// and the next announcement of a target leads to another one: a target that announces
// itself here after a failed call is not sent to the same process again and again.
func (t *fleetTable) coreFor(x catalog.Target) string {
	if x.Zone == t.Settings.Zone {
		return t.Settings.Peer
	}
	var l []string
	for _, c := range t.lastFleet.Cores {
		if c.Zone == x.Zone {
			l = append(l, c.Addr)
		}
	}
	if len(l) == 0 {
		return ""
	}
	h := fnv.New64a()
	_, _ = h.Write([]byte(x.ID))
	return l[(h.Sum64()%uint64(len(l))+x.Number)%uint64(len(l))]
}

// hostsPerZone is the number of hosts of a zone that callers are sent to. With
// fewer hosts each one observes more of the requests to a target.
const hostsPerZone = 3

// Active returns the hosts of a zone that callers are sent to, in the order of
// the list and without those that are leaving. Narrow hosts are always
// included, others only while fewer than hostsPerZone are.
func Active(l []Host, zone string) []Host {
	var r []Host
	for _, h := range l {
		if h.Zone == zone && !h.Leaving && (h.Narrow || len(r) < hostsPerZone) {
			r = append(r, h)
		}
	}
	return r
}
