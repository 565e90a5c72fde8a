package replica

import "maps"

// Copy returns a deep copy.
func (m Members) Copy() Members {
	return Members{Voters: maps.Clone(m.Voters), Learners: maps.Clone(m.Learners)}
}

// Promote returns a copy in which learner id is a voter.
func (m Members) Promote(id string) Members {
	n := m.Copy()
	n.Voters[id] = n.Learners[id]
	delete(n.Learners, id)
	return n
}

// Without returns a copy without replica id.
func (m Members) Without(id string) Members {
	n := m.Copy()
	delete(n.Voters, id)
	delete(n.Learners, id)
	return n
}

// WithLearner returns a copy to which learner id at addr is added.
func (m Members) WithLearner(id, addr string) Members {
	n := m.Copy()
	if n.Learners == nil {
		n.Learners = map[string]string{}
	}
	n.Learners[id] = addr
	return n
}

// Quorum returns the number of voters that form a majority.
func (m Members) Quorum() int { return len(m.Voters)/2 + 1 }

// Address returns the address of a voter or learner, empty if id is neither.
func (m Members) Address(id string) string {
	if a, ok := m.Voters[id]; ok {
		return a
	}
	return m.Learners[id]
}
