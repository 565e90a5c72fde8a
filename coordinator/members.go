package coordinator

import (
	"sort"

	"go.uber.org/zap"

	"github.com/carawayrack/carawayrack/clock"
	"github.com/carawayrack/carawayrack/replica"
)

// reviewMembers runs at every tick. It updates the lender's address of the
// leader. At the leader it also proposes the next membership change, if one is
// due.
func (r *Replica) reviewMembers(now clock.Millis) {
	r.lender.leaderAddr = r.leaderAddr()
	if r.node.Role() != replica.Leader {
		return
	}
	m := r.node.Members()
	if id := r.promotable(now, m); id != "" {
		r.proposeMembers(now, m.Promote(id), "promoted learner", id)
		return
	}
	if id := r.removable(now, m); id != "" {
		r.proposeMembers(now, m.Without(id), "removed voter", id)
	}
}

// proposeMembers proposes a membership and logs event unless the proposal is
// rejected.
func (r *Replica) proposeMembers(now clock.Millis, m replica.Members, event, id string) {
	if r.node.ProposeMembers(now, m) == nil {
		r.Log.Info(event, zap.String("replica", id), zap.Int("voters", len(m.Voters)))
	}
}

// promotable returns a learner that holds every committed entry and has
// responded within two heartbeats, empty if there is none.
func (r *Replica) promotable(now clock.Millis, m replica.Members) string {
	for _, id := range sortedKeys(m.Learners) {
		if r.node.CaughtUp(id) && r.node.SinceResponse(now, id) < heartbeat*2 {
			return id
		}
	}
	return ""
}

// removable returns a voter that is lost, empty if there is none: it does not
// respond and its machine has another voter, because it came back with an empty
// disk, or it has not responded for long. minVoters always stay.
func (r *Replica) removable(now clock.Millis, m replica.Members) string {
	if len(m.Voters) <= minVoters {
		return ""
	}
	limit := removeLostAfter
	if len(m.Voters)%2 == 0 {
		limit = removeSurplusAfter
	}
	for _, id := range sortedKeys(m.Voters) {
		if id == r.node.ID {
			continue
		}
		silence := r.node.SinceResponse(now, id)
		if silence > limit || (silence > electionTimeout && hasSuccessor(m, id)) {
			return id
		}
	}
	return ""
}

// hasSuccessor reports whether there is another voter on the machine of voter
// id.
func hasSuccessor(m replica.Members, id string) bool {
	for o := range m.Voters {
		if o != id && machineOf(o) == machineOf(id) {
			return true
		}
	}
	return false
}

func sortedKeys(m map[string]string) []string {
	l := make([]string, 0, len(m))
	for id := range m {
		l = append(l, id)
	}
	sort.Strings(l)
	return l
}

// admit makes a process a learner, and drops other learners on the same
// machine.
func (r *Replica) admit(now clock.Millis, id, addr string) {
	m := r.node.Members()
	n := m.WithLearner(id, addr)
	for o := range m.Learners {
		if o != id && machineOf(o) == machineOf(id) {
			n = n.Without(o)
		}
	}
	r.proposeMembers(now, n, "admitted learner", id)
}
