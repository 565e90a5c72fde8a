package control

import (
	"go.uber.org/zap"

	"github.com/carawayrack/carawayrack/clock"
	"github.com/carawayrack/carawayrack/replica"
	"github.com/carawayrack/carawayrack/wal"
	"github.com/carawayrack/carawayrack/wire"
)

// bootstrapID returns the ID of the bootstrap replica with the given name.
func bootstrapID(name string) string { return wal.BootstrapID(name) }

// isBootstrapID reports whether id is that of a bootstrap replica.
func isBootstrapID(id string) bool { return id == wal.BootstrapID(nameOf(id)) }

// join admits a replica as a learner if this replica leads.
func (r *Replica) join(now clock.Millis, a JoinArgs) JoinReply {
	m := r.node.Members()
	p := JoinReply{Started: r.node.Commit() > 0, LeaderID: r.node.LeaderID(), Leader: m.Address(r.node.LeaderID())}
	p.Member = m.Address(a.ID) == a.Addr
	if p.Member || r.node.Role() != replica.Leader || a.ID == "" || a.Addr == "" {
		return p
	}
	n := m.WithLearner(a.ID, a.Addr)
	if _, voter := m.Voters[a.ID]; voter {
		return p
	}
	// Each replica name has one data folder, so an earlier learner of the same
	// name no longer exists.
	for id := range m.Learners {
		if id != a.ID && nameOf(id) == nameOf(a.ID) {
			n = n.Without(id)
		}
	}
	if err := r.node.ProposeMembers(now, n); err == nil {
		r.Log.Info("admitted learner", zap.String("replica", a.ID), zap.String("addr", a.Addr))
	}
	return p
}

// FindStarted returns the address of a bootstrap replica that can be reached
// and holds a committed log, or "" if there is none.
func FindStarted(s Settings) string {
	p := &wire.Pool{Secret: s.Secret}
	for _, a := range s.Replicas {
		var r JoinReply
		if a != s.Peer && p.Get(a).Call("Replica.Join", JoinArgs{}, &r, requestTimeout) == nil && r.Started {
			return a
		}
	}
	return ""
}
