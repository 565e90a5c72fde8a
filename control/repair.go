package control

import (
	"sort"

	"go.uber.org/zap"

	"github.com/carawayrack/carawayrack/clock"
	"github.com/carawayrack/carawayrack/replica"
)

// repair replaces lost voters. A replacement is promoted before the lost voter is
// removed, so that a majority of the voters stays available at every step.
type repair struct {
	Settings Settings
	Log      *zap.Logger

	// votersWanted is the number of voters that repair maintains.
	votersWanted int
}

// review proposes at most one membership change.
func (p *repair) review(now clock.Millis, n *replica.Node) {
	m := n.Members()
	p.votersWanted = max(len(p.Settings.Replicas), 1)
	lost := p.lost(now, n, m)
	if lost == "" {
		return
	}
	if len(m.Voters) > p.votersWanted {
		p.propose(now, n, m.Without(lost), "removed lost voter", lost)
		return
	}
	if id := p.replacement(n, m, lost); id != "" {
		p.propose(now, n, m.Promote(id), "promoted learner", id)
	}
}

// propose proposes the members m and logs what for the replica id. A failed
// proposal is repeated by a later review.
func (p *repair) propose(now clock.Millis, n *replica.Node, m replica.Members, what, id string) {
	if err := n.ProposeMembers(now, m); err != nil {
		return
	}
	p.Log.Info(what, zap.String("replica", id), zap.Int("voters", len(m.Voters)))
}

// lost returns a voter whose replica has come back with a new identity and that
// has not responded for the election timeout, or one that has not responded for
// Settings.RepairAfter. It returns "" if there is none.
func (p *repair) lost(now clock.Millis, n *replica.Node, m replica.Members) string {
	for _, id := range sorted(m.Voters) {
		if id == n.ID {
			continue
		}
		if p.hasNewIdentity(m, id) && n.SinceResponse(now, id) > p.Settings.ElectionTimeout {
			return id
		}
		if n.SinceResponse(now, id) > p.Settings.RepairAfter {
			return id
		}
	}
	return ""
}

// hasNewIdentity reports whether the replica of a voter has come back with a new
// identity, as it does after its data folder was lost or set aside.
func (p *repair) hasNewIdentity(m replica.Members, id string) bool {
	for o := range m.Learners {
		if nameOf(o) == nameOf(id) {
			return true
		}
	}
	for o := range m.Voters {
		if o != id && nameOf(o) == nameOf(id) {
			return true
		}
	}
	return false
}

// replacement returns a learner that has every committed entry, preferably the
// one with the name of the lost voter. It returns "" if there is none.
func (p *repair) replacement(n *replica.Node, m replica.Members, lost string) string {
	best := ""
	for _, id := range sorted(m.Learners) {
		if !n.CaughtUp(id) {
			continue
		}
		if nameOf(id) == nameOf(lost) {
			return id
		}
		best = id
	}
	return best
}

// sorted returns the keys of m in order.
func sorted(m map[string]string) []string {
	l := make([]string, 0, len(m))
	for id := range m {
		l = append(l, id)
	}
	sort.Strings(l)
	return l
}
