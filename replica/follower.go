package replica

import "github.com/carawayrack/carawayrack/clock"

func (n *Node) stepAppend(now clock.Millis, m Message) {
	if !n.accept(now, m) {
		return
	}
	r := Message{Kind: AppendResponse, To: m.From, Round: m.Round, Sent: m.Sent}
	if t, ok := n.term(m.Index); m.Index > n.snapshot.Index && (!ok || t != m.LogTerm) {
		i, _ := n.Last()
		r.Index = min(i, m.Index-1)
		n.send(r)
		return
	}
	if !n.store(m.Entries) {
		return
	}
	r.Granted = true
	r.Index = m.Index + uint64(len(m.Entries))
	n.commitTo(min(m.Commit, r.Index))
	n.send(r)
}

// accept follows the sender if it leads in this term, and tells it otherwise.
func (n *Node) accept(now clock.Millis, m Message) bool {
	if m.Term < n.vote.Term {
		n.send(Message{Kind: AppendResponse, To: m.From})
		return false
	}
	n.follow(now, m.Term, m.From)
	n.heardAt = now
	return true
}

// store appends the entries that are new and drops those they contradict.
func (n *Node) store(l []Entry) bool {
	for k, e := range l {
		if e.Index <= n.snapshot.Index {
			continue
		}
		if t, ok := n.term(e.Index); ok && t == e.Term {
			continue
		}
		if e.Index <= n.commit {
			n.OnViolation(Violation{Invariant: "committed entry contradicted", Index: e.Index})
			return false
		}
		keep := e.Index - n.snapshot.Index - 1
		n.entries = append(n.entries[:keep:keep], l[k:]...)
		n.reviewMembers()
		return n.save(l[k:])
	}
	return true
}

func (n *Node) stepInstall(now clock.Millis, m Message) {
	if !n.accept(now, m) {
		return
	}
	s := m.Snapshot
	if s.Index > n.commit {
		n.install(*s)
	}
	n.send(Message{Kind: AppendResponse, To: m.From, Granted: true, Index: s.Index, Round: m.Round, Sent: m.Sent})
}

func (n *Node) install(s Snapshot) {
	keep := []Entry(nil)
	if t, ok := n.term(s.Index); ok && t == s.Term {
		keep = n.slice(s.Index + 1)
	}
	if n.Storage.SaveSnapshot(s, n.vote, keep) != nil {
		return
	}
	n.snapshot = s
	n.entries = keep
	n.commit, n.applied = s.Index, s.Index
	n.Restore(s.Data)
	n.reviewMembers()
}

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

// compact replaces applied entries by a snapshot once there are many.
func (n *Node) compact() {
	k := n.applied - n.snapshot.Index
	if int(k) < n.CompactAfter {
		return
	}
	t, _ := n.term(n.applied)
	s := Snapshot{Index: n.applied, Term: t, Members: n.membersAt(n.applied), Data: n.Capture()}
	keep := n.slice(n.applied + 1)
	if n.Storage.SaveSnapshot(s, n.vote, keep) != nil {
		return
	}
	n.snapshot, n.entries = s, keep
}

func (n *Node) membersAt(i uint64) Members {
	m := n.snapshot.Members
	for _, e := range n.entries {
		if e.Index <= i && e.Members != nil {
			m = *e.Members
		}
	}
	return m
}

// stepRejoin stops a replica whose disk lost what it acknowledged. It takes
// part again only under a new identity.
func (n *Node) stepRejoin(m Message) {
	if m.Term != n.vote.Term || m.From != n.leader {
		return
	}
	n.expelled = true
	i, _ := n.Last()
	n.OnViolation(StaleDisk{ID: n.ID, Last: i, Acked: m.Index})
}
