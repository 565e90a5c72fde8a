package control

import (
	"sort"

	"github.com/carawayrack/carawayrack/api"
	"github.com/carawayrack/carawayrack/clock"
	"github.com/carawayrack/carawayrack/config"
)

const (
	// rosterBatch is the time for which registrations are gathered.
	rosterBatch = 300 * clock.Millis(1)
	// fenceMargin covers clock drift and delays beyond the freshness limit.
	fenceMargin = 300 * clock.Millis(1)
)

// hostTable is what the leader knows of the hosts, and decides on the roster.
type hostTable struct {
	Settings Settings

	rows map[string]*hostRow
	// grownAt is when the last host registered that was not known.
	grownAt    clock.Millis
	since      clock.Millis
	busyUntil  uint64
	settled    clock.Millis
	acceptedAt clock.Millis
	rosterAt   uint64
}

type hostRow struct {
	host     config.Host
	sequence uint64
	heardAt  clock.Millis
}

// reset forgets everything, since another replica leads.
func (t *hostTable) reset() { *t = hostTable{Settings: t.Settings} }

func (t *hostTable) heard(now clock.Millis, a api.FollowArgs) {
	if t.rows == nil {
		t.rows = map[string]*hostRow{}
	}
	if t.rows[a.Host.ID] == nil {
		t.grownAt = now
	}
	t.rows[a.Host.ID] = &hostRow{host: a.Host, sequence: a.Sequence, heardAt: now}
}

func (t *hostTable) acked() map[string]uint64 {
	m := map[string]uint64{}
	for id, r := range t.rows {
		m[id] = r.sequence
	}
	return m
}

// fence is the time after which a host that does not hold an accepted change
// has stopped serving keyed routes.
func (t *hostTable) fence() clock.Millis {
	return t.Settings.Freshness + t.Settings.Freshness/10 + fenceMargin
}

// held reports whether a majority of each roster, and whether every host,
// acknowledged a sequence.
func (t *hostTable) held(s *config.State, sequence uint64) (majority, all bool) {
	majority, all = true, true
	for _, m := range s.JointRoster() {
		k := 0
		for id := range m {
			if r := t.rows[id]; r != nil && r.sequence >= sequence {
				k++
			}
		}
		majority = majority && (2*k > len(m) || len(m) == 0)
		all = all && k == len(m)
	}
	return majority, all
}

// proposed delays the next plan until sequence is applied.
func (t *hostTable) proposed(sequence uint64) { t.busyUntil = sequence }

// plan returns the next edits of the roster, none if it is as it should be.
func (t *hostTable) plan(now clock.Millis, s *config.State) []config.Edit {
	if t.since == 0 {
		t.since = now
	}
	if s.Sequence < t.busyUntil {
		return nil
	}
	if s.PreviousHosts != nil {
		return t.planSettle(now, s)
	}
	t.rosterAt, t.acceptedAt = 0, 0
	e := append(t.arrivals(s), t.losses(now, s)...)
	if len(e) == 0 {
		t.settled = now
		return nil
	}
	if now-t.settled < rosterBatch || t.founding(now, s) {
		return nil
	}
	return e
}

// founding reports whether the first roster must wait: it consists of the
// hosts that start together, which alone are known to have forgotten nothing.
func (t *hostTable) founding(now clock.Millis, s *config.State) bool {
	return s.InitialHosts == nil && now-t.grownAt < t.Settings.BootstrapWait
}

// planSettle ends a roster change once no host goes by the roster before it.
func (t *hostTable) planSettle(now clock.Millis, s *config.State) []config.Edit {
	if t.rosterAt == 0 {
		t.rosterAt = s.Sequence
	}
	held, all := t.held(s, t.rosterAt)
	if held && t.acceptedAt == 0 {
		t.acceptedAt = now
	}
	if all || (t.acceptedAt > 0 && now >= t.acceptedAt+t.fence()) {
		return []config.Edit{{FinishRosterChange: true}}
	}
	return nil
}

func (t *hostTable) arrivals(s *config.State) []config.Edit {
	var e []config.Edit
	for _, id := range t.ids() {
		h := t.rows[id].host
		o, ok := s.Hosts[id]
		h.Restarts = o.Restarts
		if !ok || o != h {
			e = append(e, config.Edit{PutHost: &h})
		}
	}
	return e
}

func (t *hostTable) losses(now clock.Millis, s *config.State) []config.Edit {
	var e []config.Edit
	for id := range s.Hosts {
		at := t.since
		if r := t.rows[id]; r != nil {
			at = r.heardAt
		}
		if now-at >= t.Settings.RemoveAfter {
			delete(t.rows, id)
			e = append(e, config.Edit{RemoveHost: id})
		}
	}
	return e
}

func (t *hostTable) ids() []string {
	l := make([]string, 0, len(t.rows))
	for id := range t.rows {
		l = append(l, id)
	}
	sort.Strings(l)
	return l
}
