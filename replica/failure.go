package replica

import "fmt"

// NotLeader is the error of a proposal to a replica that is not the leader.
type NotLeader struct {
	// Leader is the ID of the leader, empty if unknown.
	Leader string
}

// Error implements error.
func (e NotLeader) Error() string { return "not the leader; leader is " + e.Leader }

// MembershipChangePending is the error of a membership change that is proposed
// while another one is not committed, or before the leader has committed an
// entry of its own term.
type MembershipChangePending struct{}

// Error implements error.
func (MembershipChangePending) Error() string {
	return "an earlier membership change or the first entry of the term is not committed yet"
}

// StaleDisk is the error of a replica whose disk lacks entries that it has
// acknowledged, for example because an older copy of the disk was restored.
// Last is the index of the last entry on the disk, Acked of the last
// acknowledged one.
type StaleDisk struct {
	ID          string
	Last, Acked uint64
}

// Error implements error.
func (e StaleDisk) Error() string {
	return fmt.Sprintf("replica %s acknowledged entry %d but its disk ends at %d", e.ID, e.Acked, e.Last)
}

// Violation is the error of a broken invariant of the replicated log.
type Violation struct {
	Invariant string
	Index     uint64
}

// Error implements error.
func (e Violation) Error() string { return fmt.Sprintf("%s at entry %d", e.Invariant, e.Index) }
