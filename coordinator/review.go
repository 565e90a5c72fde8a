package coordinator

import (
	"sort"

	"go.uber.org/zap"

	"github.com/carawayrack/carawayrack/clock"
	"github.com/carawayrack/carawayrack/replica"
)

// review does the periodic work.
func (r *Replica) review(now clock.Millis) {
	r.lender.leader = r.leaderAddr()
	if r.node.Role() != replica.Leader {
		return
	}
	m := r.node.Members()
	if id := r.promotable(now, m); id != "" {
		r.change(now, m.Promote(id), "promoted learner", id)
		return
	}
	if id := r.removable(now, m); id != "" {
		r.change(now, m.Without(id), "removed voter", id)
	}
}

func (r *Replica) change(now clock.Millis, m replica.Members, what, id string) {
	if r.node.ProposeMembers(now, m) == nil {
		r.Log.Info(what, zap.String("replica", id), zap.Int("voters", len(m.Voters)))
	}
}

// promotable returns a learner that holds every committed entry.
func (r *Replica) promotable(now clock.Millis, m replica.Members) string {
	for _, id := range ids(m.Learners) {
		if r.node.CaughtUp(id) && r.node.SinceResponse(now, id) < heartbeat*2 {
			return id
		}
	}
	return ""
}

// removable returns a voter that is lost: its machine came back with an empty
// disk, or it has been silent for long.
func (r *Replica) removable(now clock.Millis, m replica.Members) string {
	if len(m.Voters) <= minVoters {
		return ""
	}
	limit := lostSilence
	if len(m.Voters)%2 == 0 {
		limit = surplusSilence
	}
	for _, id := range ids(m.Voters) {
		if id == r.node.ID {
			continue
		}
		quiet := r.node.SinceResponse(now, id)
		if quiet > limit || (quiet > electionTimeout && reborn(m, id)) {
			return id
		}
	}
	return ""
}

// reborn reports whether the machine of a voter has another voter.
func reborn(m replica.Members, id string) bool {
	for o := range m.Voters {
		if o != id && nameOf(o) == nameOf(id) {
			return true
		}
	}
	return false
}

func ids(m map[string]string) []string {
	l := make([]string, 0, len(m))
	for id := range m {
		l = append(l, id)
	}
	sort.Strings(l)
	return l
}

// admit makes a process that asks for it a learner.
func (r *Replica) admit(now clock.Millis, id, addr string) {
	m := r.node.Members()
	n := m.WithLearner(id, addr)
	for o := range m.Learners {
		if o != id && nameOf(o) == nameOf(id) {
			n = n.Without(o)
		}
	}
	r.change(now, n, "admitted learner", id)
}
