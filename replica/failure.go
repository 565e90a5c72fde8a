package replica

import "fmt"

// NotLeader is the error of a proposal to a replica that does not lead.
type NotLeader struct {
	// Leader is the ID of the leader, empty if unknown.
	Leader string
}

// Error describes the failure.
func (e NotLeader) Error() string { return "not the leader; leader is " + e.Leader }

// MembershipChangePending is the error of a membership change while another one has
// not been committed.
type MembershipChangePending struct{}

// Error describes the failure.
func (MembershipChangePending) Error() string { return "a membership change is under way" }

// StaleDisk is the failure of a replica whose disk lacks entries that it has
// acknowledged: an older copy of the disk was put back.
type StaleDisk struct {
	ID          string
	Last, Acked uint64
}

// Error describes the failure.
func (e StaleDisk) Error() string {
	return fmt.Sprintf("replica %s acknowledged entry %d but its disk ends at %d", e.ID, e.Acked, e.Last)
}

// Violation is a broken invariant of the replicated log.
type Violation struct {
	Invariant string
	Index     uint64
}

// Error describes the failure.
func (e Violation) Error() string { return fmt.Sprintf("%s at entry %d", e.Invariant, e.Index) }
