package control

import (
	"sort"

	"github.com/carawayrack/carawayrack/api"
	"github.com/carawayrack/carawayrack/clock"
	"github.com/carawayrack/carawayrack/config"
)

const (
	// rosterBatch is the time for which registrations are collected into one
	// roster change.
	rosterBatch = 300 * clock.Millis(1)
	// fenceMargin covers clock drift and delays beyond the freshness limit.
	fenceMargin = 300 * clock.Millis(1)
)

// hostTable records the registrations of hosts with the leader and determines the
// roster edits that follow from them.
type hostTable struct {
	Settings Settings

	rows map[string]*hostRow
	// lastNewHostAt is the last time at which an unknown host registered.
	lastNewHostAt clock.Millis
	// leaderSince is when this replica first called plan as leader.
	leaderSince clock.Millis
	// pendingSequence is the sequence of the last proposed roster change.
	pendingSequence uint64
	// settledAt is when the roster last needed no edit.
	settledAt clock.Millis
	// majorityAt is when majorities of both rosters had acknowledged
	// rosterSequence, 0 if they have not.
	majorityAt clock.Millis
	// rosterSequence is the sequence at which the roster change in progress was
	// first seen, 0 if there is none.
	rosterSequence uint64
}

// hostRow is the last registration of a host.
type hostRow struct {
	host       config.Host
	sequence   uint64
	lastSeenAt clock.Millis
}

// reset discards all registrations. It is called while this replica does not lead.
func (t *hostTable) reset() { *t = hostTable{Settings: t.Settings} }

// record stores the registration of a host.
func (t *hostTable) record(now clock.Millis, a api.FollowArgs) {
	if t.rows == nil {
		t.rows = map[string]*hostRow{}
	}
	if t.rows[a.Host.ID] == nil {
		t.lastNewHostAt = now
	}
	t.rows[a.Host.ID] = &hostRow{host: a.Host, sequence: a.Sequence, lastSeenAt: now}
}

// acked returns the acknowledged sequence of each host.
func (t *hostTable) acked() map[string]uint64 {
	m := map[string]uint64{}
	for id, r := range t.rows {
		m[id] = r.sequence
	}
	return m
}

// fenceTime is the time after which a host that has not received an accepted
// change has stopped serving routes that require a key.
func (t *hostTable) fenceTime() clock.Millis {
	return t.Settings.Freshness + t.Settings.Freshness/10 + fenceMargin
}

// acknowledged reports whether a majority of the hosts of each roster, and whether
// every host, has acknowledged sequence. There are two rosters while the roster
// changes.
func (t *hostTable) acknowledged(s *config.State, sequence uint64) (majority, all bool) {
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

// proposed delays further edits until sequence is applied.
func (t *hostTable) proposed(sequence uint64) { t.pendingSequence = sequence }

// plan returns the next edits of the roster, or none if nothing is to be changed
// yet.
func (t *hostTable) plan(now clock.Millis, s *config.State) []config.Edit {
	if t.leaderSince == 0 {
		t.leaderSince = now
	}
	if s.Sequence < t.pendingSequence {
		return nil
	}
	if s.PreviousHosts != nil {
		return t.planFinish(now, s)
	}
	t.rosterSequence, t.majorityAt = 0, 0
	e := append(t.additions(s), t.removals(now, s)...)
	if len(e) == 0 {
		t.settledAt = now
		return nil
	}
	if now-t.settledAt < rosterBatch || t.bootstrapping(now, s) {
		return nil
	}
	return e
}

// bootstrapping reports whether the first roster must wait for more hosts. It
// consists of the hosts that start together. Only these are known not to have
// lost any state of their shards.
func (t *hostTable) bootstrapping(now clock.Millis, s *config.State) bool {
	return s.InitialHosts == nil && now-t.lastNewHostAt < t.Settings.BootstrapWait
}

// planFinish returns the edit that ends a roster change once no host uses the
// previous roster: every host has acknowledged the change, or fenceTime has
// passed since majorities did.
func (t *hostTable) planFinish(now clock.Millis, s *config.State) []config.Edit {
	if t.rosterSequence == 0 {
		t.rosterSequence = s.Sequence
	}
	majority, all := t.acknowledged(s, t.rosterSequence)
	if majority && t.majorityAt == 0 {
		t.majorityAt = now
	}
	if all || (t.majorityAt > 0 && now >= t.majorityAt+t.fenceTime()) {
		return []config.Edit{{FinishRosterChange: true}}
	}
	return nil
}

// additions returns the edits for new and changed hosts.
func (t *hostTable) additions(s *config.State) []config.Edit {
	var e []config.Edit
	for _, id := range t.sortedIDs() {
		h := t.rows[id].host
		o, ok := s.Hosts[id]
		h.Restarts = o.Restarts
		if !ok || o != h {
			e = append(e, config.Edit{PutHost: &h})
		}
	}
	return e
}

// removals returns the edits for hosts that have not registered for
// Settings.RemoveAfter. That time starts again with a new leader.
func (t *hostTable) removals(now clock.Millis, s *config.State) []config.Edit {
	var e []config.Edit
	for id := range s.Hosts {
		at := t.leaderSince
		if r := t.rows[id]; r != nil {
			at = r.lastSeenAt
		}
		if now-at >= t.Settings.RemoveAfter {
			delete(t.rows, id)
			e = append(e, config.Edit{RemoveHost: id})
		}
	}
	return e
}

func (t *hostTable) sortedIDs() []string {
	l := make([]string, 0, len(t.rows))
	for id := range t.rows {
		l = append(l, id)
	}
	sort.Strings(l)
	return l
}
