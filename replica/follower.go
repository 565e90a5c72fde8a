package replica

import "github.com/carawayrack/carawayrack/clock"

func (n *Node) stepAppendEntries(now clock.Millis, m Message) {
	if !n.acceptLeader(now, m) {
		return
	}
	r := Message{Kind: AppendResponse, To: m.From, Round: m.Round, Sent: m.Sent}
	if t, ok := n.termAt(m.Index); m.Index > n.snapshot.Index && (!ok || t != m.LogTerm) {
		i, _ := n.Last()
		r.Index = min(i, m.Index-1)
		n.send(r)
		return
	}
	if !n.storeEntries(m.Entries) {
		return
	}
	r.Granted = true
	r.Index = m.Index + uint64(len(m.Entries))
	n.commitTo(min(m.Commit, r.Index))
	n.send(r)
}

// acceptLeader makes the replica a follower of the sender. If the sender's term
// is old, it responds with the current term and returns false.
func (n *Node) acceptLeader(now clock.Millis, m Message) bool {
	if m.Term < n.vote.Term {
		n.send(Message{Kind: AppendResponse, To: m.From})
		return false
	}
	n.becomeFollower(now, m.Term, m.From)
	n.leaderContactAt = now
	return true
}

// storeEntries appends the entries that are new and drops stored entries that
// conflict with them. It returns false if they conflict with committed entries
// or cannot be saved.
func (n *Node) storeEntries(l []Entry) bool {
	for k, e := range l {
		if e.Index <= n.snapshot.Index {
			continue
		}
		if t, ok := n.termAt(e.Index); ok && t == e.Term {
			continue
		}
		if e.Index <= n.commit {
			n.OnViolation(Violation{Invariant: "leader's log conflicts with the committed log", Index: e.Index})
			return false
		}
		keep := e.Index - n.snapshot.Index - 1
		n.entries = append(n.entries[:keep:keep], l[k:]...)
		n.updateMembers()
		return n.save(l[k:])
	}
	return true
}

func (n *Node) stepInstallSnapshot(now clock.Millis, m Message) {
	if !n.acceptLeader(now, m) {
		return
	}
	s := m.Snapshot
	if s.Index > n.commit && !n.installSnapshot(*s) {
		return
	}
	n.send(Message{Kind: AppendResponse, To: m.From, Granted: true, Index: s.Index, Round: m.Round, Sent: m.Sent})
}

// installSnapshot replaces the log by the snapshot and keeps the entries that
// follow it if the log matches the snapshot. It returns false if it cannot be saved.
func (n *Node) installSnapshot(s Snapshot) bool {
	keep := []Entry(nil)
	if t, ok := n.termAt(s.Index); ok && t == s.Term {
		keep = n.entriesFrom(s.Index + 1)
	}
	if !n.saveSnapshot(s, keep) {
		return false
	}
	n.snapshot = s
	n.entries = keep
	n.commit, n.applied = s.Index, s.Index
	n.Restore(s.Data)
	n.updateMembers()
	return true
}

// commitTo commits and applies the entries up to and including index i.
func (n *Node) commitTo(i uint64) {
	if i <= n.commit {
		return
	}
	n.commit = i
	for n.applied < n.commit {
		n.applied++
		n.Apply(n.entries[n.applied-n.snapshot.Index-1])
	}
	n.compact()
}

// compact replaces the applied entries by a snapshot once there are at least
// CompactAfter of them.
func (n *Node) compact() {
	k := n.applied - n.snapshot.Index
	if int(k) < n.CompactAfter {
		return
	}
	t, _ := n.termAt(n.applied)
	s := Snapshot{Index: n.applied, Term: t, Members: n.membersAt(n.applied), Data: n.Capture()}
	keep := n.entriesFrom(n.applied + 1)
	if !n.saveSnapshot(s, keep) {
		return
	}
	n.snapshot, n.entries = s, keep
}

// membersAt returns the membership as of index i.
func (n *Node) membersAt(i uint64) Members {
	m := n.snapshot.Members
	for _, e := range n.entries {
		if e.Index <= i && e.Members != nil {
			m = *e.Members
		}
	}
	return m
}

// stepRejectStaleDisk stops a replica whose disk lacks entries that it has
// acknowledged. It may take part again only under a new ID.
func (n *Node) stepRejectStaleDisk(m Message) {
	if m.Term != n.vote.Term || m.From != n.leader {
		return
	}
	n.halted = true
	i, _ := n.Last()
	n.OnViolation(StaleDisk{ID: n.ID, Last: i, Acked: m.Index})
}
