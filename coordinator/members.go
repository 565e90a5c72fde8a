package coordinator

import (
	"maps"
	"slices"
	"sort"

	"go.uber.org/zap"

	"github.com/carawayrack/carawayrack/catalog"
	"github.com/carawayrack/carawayrack/clock"
	"github.com/carawayrack/carawayrack/replica"
)

// reviewMembers runs at every tick. It updates the lender's address of the
// leader. At the leader it also proposes the next membership change, if one is
// due.
func (r *Replica) reviewMembers(now clock.Millis) {
	r.lender.leaderAddr = r.leaderAddr()
	r.lender.setProcesses(len(r.fleet.lastFleet.Cores))
	if r.node.Role() != replica.Leader {
		return
	}
	m := r.node.Members()
	if id := r.promotable(now, m); id != "" {
		r.proposeMembers(now, m.Promote(id), "promoted learner", id)
		return
	}
	if id := r.removable(now, m); id != "" {
		event := "removed voter"
		if r.isLeaving(now, id) {
			event = "voter left"
		}
		r.proposeMembers(now, m.Without(id), event, id)
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

// removable returns a voter to remove, empty if there is none: it is leaving, or
// it is lost. A voter is lost if it does not respond and its machine has another
// voter, because it came back with an empty disk, or if it has not responded for
// long. minVoters always stay.
func (r *Replica) removable(now clock.Millis, m replica.Members) string {
	if len(m.Voters) <= minVoters {
		return ""
	}
	limit := removeLostAfter
	if len(m.Voters)%2 == 0 {
		limit = removeSurplusAfter
	}
	for _, id := range sortedKeys(m.Voters) {
		if r.leaves(now, m, id) {
			return id
		}
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

// leaves reports whether a voter is leaving and its removal makes the majority
// smaller: with an even number of voters by itself, with an odd one if another
// voter is absent too, which is removed next.
func (r *Replica) leaves(now clock.Millis, m replica.Members, id string) bool {
	if len(m.Voters) <= minVoters || !r.isLeaving(now, id) {
		return false
	}
	if len(m.Voters)%2 == 0 {
		return true
	}
	for o := range m.Voters {
		if o != id && (r.isLeaving(now, o) || r.node.SinceResponse(now, o) > removeSurplusAfter) {
			return true
		}
	}
	return false
}

// isLeaving reports whether a process has asked to leave within leaveHold.
func (r *Replica) isLeaving(now clock.Millis, id string) bool {
	at, ok := r.leaving[id]
	return ok && now-at < leaveHold
}

// reviewTargets notes at the leader, every targetReviewInterval, which targets have
// services that the configuration lacks.
func (r *Replica) reviewTargets(now clock.Millis) {
	if r.node.Role() != replica.Leader || now-r.targetsReviewedAt < targetReviewInterval {
		return
	}
	r.targetsReviewedAt = now
	m := r.state.ToUnlist()
	if len(m) == 0 {
		return
	}
	b, err := catalog.Change{Unlist: m}.Encode()
	if err != nil {
		r.Log.Error("encoding unlisted targets failed", zap.Error(err))
		return
	}
	// A proposal that fails is made again at the next review.
	if _, err := r.node.Propose(now, b); err == nil {
		r.Log.Info("unlisted targets", zap.Strings("targets", slices.Sorted(maps.Keys(m))), zap.Uint64("version", r.state.Version))
	}
}

// handleLeave handles the request of a process to leave the voters. An empty ID
// stands for this process.
func (r *Replica) handleLeave(now clock.Millis, a LeaveArgs) LeaveReply {
	if a.ID == "" {
		a.ID = r.ID
	}
	m := r.node.Members()
	_, voter := m.Voters[a.ID]
	p := LeaveReply{ID: r.ID}
	if r.node.Role() != replica.Leader {
		p.Leader = r.leaderAddr()
		// A leader that has removed itself is a follower without a vote. Without a
		// leader nobody can remove a voter, and minVoters stay anyway.
		stays := p.Leader == "" && len(m.Voters) <= minVoters
		p.Done = a.ID == r.ID && (!voter || stays)
		return p
	}
	r.leaving[a.ID] = now
	p.Done = !r.node.MembershipChangePending() && (!voter || !r.leaves(now, m, a.ID))
	return p
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

// admit makes a process a learner, unless it is leaving, and drops other learners
// on the same machine.
func (r *Replica) admit(now clock.Millis, id, addr string) {
	if r.isLeaving(now, id) {
		return
	}
	delete(r.leaving, id)
	m := r.node.Members()
	n := m.WithLearner(id, addr)
	for o := range m.Learners {
		if o != id && machineOf(o) == machineOf(id) {
			n = n.Without(o)
		}
	}
	r.proposeMembers(now, n, "admitted learner", id)
}
