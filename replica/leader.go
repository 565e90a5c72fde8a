package replica

import (
	"sort"

	"github.com/carawayrack/carawayrack/clock"
)

// progress is what the leader knows of another replica's log.
type progress struct {
	// nextIndex is the first entry that was not sent yet, matchIndex the last
	// one that the replica is known to store.
	nextIndex, matchIndex uint64
	// ackedRound is the newest round that the replica has responded to.
	ackedRound uint64
	responseAt clock.Millis
	// sentAtMatch is the number of the last message sent when matchIndex rose.
	// A rejection of a later message that reports a lower index shows that the
	// replica's disk has lost entries.
	sentAtMatch uint64
}

func (n *Node) becomeLeader(now clock.Millis) {
	n.role = Leader
	n.leader = n.ID
	n.sawLeader = true
	n.progress = map[string]*progress{}
	n.ended = map[string]bool{}
	n.rounds = map[uint64]Proof{}
	n.proof = Proof{}
	n.leadingAt = now
	n.roundAt, n.leaseFrom, n.leadingSince = 0, max(now, n.forgotten), now
	i, _ := n.Last()
	n.termStart = i + 1
	// A leader may only commit entries of its own term. Committing an empty one
	// commits all entries before it.
	n.appendEntry(now, Entry{})
}

// Propose appends an entry with data and returns its index, 0 if it could not
// be saved. The error is NotLeader.
func (n *Node) Propose(now clock.Millis, data []byte) (uint64, error) {
	if n.role != Leader {
		return 0, NotLeader{Leader: n.leader}
	}
	return n.appendEntry(now, Entry{Data: data}), nil
}

// ProposeAll appends an entry for each element of data, with one write and one
// message to each other replica. It returns the index of the first entry, 0 if they
// could not be saved; the others follow it. The error is NotLeader.
func (n *Node) ProposeAll(now clock.Millis, data [][]byte) (uint64, error) {
	if n.role != Leader {
		return 0, NotLeader{Leader: n.leader}
	}
	l := make([]Entry, len(data))
	for k, b := range data {
		l[k].Data = b
	}
	return n.appendEntries(now, l), nil
}

// ProposeMembers appends a change of membership. The error is NotLeader or
// MembershipChangePending; it is nil also if the change could not be saved.
func (n *Node) ProposeMembers(now clock.Millis, m Members) error {
	if n.role != Leader {
		return NotLeader{Leader: n.leader}
	}
	if n.MembershipChangePending() || n.commit < n.termStart {
		return MembershipChangePending{}
	}
	c := m.Copy()
	n.appendEntry(now, Entry{Members: &c})
	return nil
}

// MembershipChangePending reports whether the log holds a change of membership
// that is not committed.
func (n *Node) MembershipChangePending() bool {
	for _, e := range n.entries {
		if e.Index > n.commit && e.Members != nil {
			return true
		}
	}
	return false
}

// appendEntry appends an entry in the leader's term and returns its index, 0 if
// it could not be saved.
func (n *Node) appendEntry(now clock.Millis, e Entry) uint64 {
	return n.appendEntries(now, []Entry{e})
}

// appendEntries appends entries in the leader's term and returns the index of the
// first one, 0 if there are none or they could not be saved.
func (n *Node) appendEntries(now clock.Millis, l []Entry) uint64 {
	if len(l) == 0 {
		return 0
	}
	i, _ := n.Last()
	for k := range l {
		l[k].Index, l[k].Term = i+1+uint64(k), n.vote.Term
	}
	n.entries = append(n.entries, l...)
	if !n.save(l) {
		return 0
	}
	n.updateMembers()
	n.broadcast(now)
	n.advanceCommit(now)
	return l[0].Index
}

func (n *Node) tickLeader(now clock.Millis) {
	if now-n.confirmedAt() > n.ElectionTimeout {
		n.becomeFollower(now, n.vote.Term, "")
		return
	}
	if now-n.broadcastAt >= n.Heartbeat {
		n.broadcast(now)
	}
}

// confirmedAt returns the latest time at which a majority is known to have
// followed this leader.
func (n *Node) confirmedAt() clock.Millis {
	if n.proof.At > n.leadingAt {
		return n.proof.At
	}
	return n.leadingAt
}

// Lease returns the time in which no other replica has a lease, by this replica's clock: the
// voters of a majority have responded to it and grant no other vote before the end. Both
// are zero if this replica does not lead, or no majority has responded to it yet.
func (n *Node) Lease() (from, until clock.Millis) {
	if n.role != Leader || n.roundAt == 0 {
		return 0, 0
	}
	if n.Followed() {
		return n.leadingSince, n.roundAt + n.ElectionTimeout
	}
	return n.leaseFrom, n.roundAt + n.ElectionTimeout
}

// Followed reports whether the replica leads and all voters have responded to it, or have ended.
// No former leader is left then.
func (n *Node) Followed() bool {
	for id := range n.members.Voters {
		if id != n.ID && !n.ended[id] && (n.progress[id] == nil || n.progress[id].responseAt == 0) {
			return false
		}
	}
	return n.role == Leader
}

// NoteProcess tells a leader that a process with an ID runs at an address. A voter of another ID
// at that address has ended: its machine has lost its disk.
func (n *Node) NoteProcess(id, addr string) {
	if addr == "" || n.role != Leader {
		return
	}
	for v, a := range n.members.Voters {
		if v != id && a == addr {
			n.ended[v] = true
		}
	}
}

// LastProof returns the newest proof of leadership, zero if there is none or the
// replica is not the leader.
func (n *Node) LastProof() Proof {
	if n.role != Leader {
		return Proof{}
	}
	return n.proof
}

// broadcast starts a round: it sends append entries to all other replicas, also
// as a heartbeat.
func (n *Node) broadcast(now clock.Millis) {
	n.round++
	n.broadcastAt = now
	n.rounds[n.round] = Proof{At: now, Index: n.commit, Sequence: n.Sequence()}
	for _, id := range n.otherIDs() {
		n.sendEntries(id)
	}
	n.updateProof()
}

func (n *Node) progressOf(id string) *progress {
	p := n.progress[id]
	if p == nil {
		i, _ := n.Last()
		p = &progress{nextIndex: i + 1}
		n.progress[id] = p
	}
	return p
}

// sendEntries sends the entries that were not sent to the replica yet, or the
// snapshot if they are compacted. It does not wait for responses to earlier
// messages: if one is lost, the replica rejects the next one and the leader
// sends the entries again.
func (n *Node) sendEntries(id string) {
	p := n.progressOf(id)
	n.messagesSent++
	if p.nextIndex <= n.snapshot.Index {
		s := n.snapshot
		n.send(Message{Kind: InstallSnapshot, To: id, Snapshot: &s, Round: n.round, Sent: n.messagesSent})
		p.nextIndex = s.Index + 1
		return
	}
	t, _ := n.termAt(p.nextIndex - 1)
	l := n.entriesFrom(p.nextIndex)
	n.send(Message{
		Kind: AppendEntries, To: id, Index: p.nextIndex - 1, LogTerm: t,
		Entries: l, Commit: n.commit, Round: n.round, Sent: n.messagesSent,
	})
	p.nextIndex += uint64(len(l))
}

func (n *Node) stepAppendResponse(now clock.Millis, m Message) {
	if n.role != Leader || m.Term != n.vote.Term {
		return
	}
	p := n.progressOf(m.From)
	p.responseAt = now
	if m.Round > p.ackedRound {
		p.ackedRound = m.Round
	}
	if m.Granted {
		if m.Index > p.matchIndex {
			p.matchIndex = m.Index
			p.sentAtMatch = n.messagesSent
		}
		p.nextIndex = max(p.nextIndex, p.matchIndex+1)
		n.updateProof()
		n.advanceCommit(now)
		return
	}
	n.updateProof()
	if m.Index < p.matchIndex && m.Sent > p.sentAtMatch {
		n.send(Message{Kind: RejectStaleDisk, To: m.From, Index: p.matchIndex})
		return
	}
	p.nextIndex = max(min(p.nextIndex-1, m.Index+1), p.matchIndex+1)
	n.sendEntries(m.From)
}

// updateProof takes the proof of the newest round that a majority has responded
// to, and drops older rounds.
func (n *Node) updateProof() {
	l := make([]uint64, 0, len(n.members.Voters))
	for id := range n.members.Voters {
		if id == n.ID {
			l = append(l, n.round)
			continue
		}
		l = append(l, n.progressOf(id).ackedRound)
	}
	r := quorumValue(l, n.members.Quorum())
	if p, ok := n.rounds[r]; ok {
		n.roundAt = max(n.roundAt, p.At)
		if p.Index >= n.termStart {
			n.proof = p
		} else if p.At > n.leadingAt {
			n.leadingAt = p.At
		}
	}
	for k := range n.rounds {
		if k < r {
			delete(n.rounds, k)
		}
	}
}

// advanceCommit commits the entries of this term that a majority has stored, and
// all before them. A leader that has thereby removed itself steps down. The other
// replicas learn of the commit at once, or with the entries of waiting proposals.
func (n *Node) advanceCommit(now clock.Millis) {
	l := make([]uint64, 0, len(n.members.Voters))
	last, _ := n.Last()
	for id := range n.members.Voters {
		if id == n.ID {
			l = append(l, last)
			continue
		}
		l = append(l, n.progressOf(id).matchIndex)
	}
	i := quorumValue(l, n.members.Quorum())
	if t, ok := n.termAt(i); !ok || t != n.vote.Term || i <= n.commit {
		return
	}
	n.commitTo(i)
	if n.role == Leader && !n.isVoter() {
		n.becomeFollower(now, n.vote.Term, "")
	}
	if n.role != Leader || n.ProposalsWaiting != nil && n.ProposalsWaiting() {
		return
	}
	n.broadcast(now)
}

// quorumValue returns the largest value that at least q elements of l reach, 0
// if there are fewer than q elements.
func quorumValue(l []uint64, q int) uint64 {
	if q > len(l) || q == 0 {
		return 0
	}
	sort.Slice(l, func(i, j int) bool { return l[i] > l[j] })
	return l[q-1]
}

// CaughtUp reports whether a replica stores every committed entry. It is false
// if this replica is not the leader.
func (n *Node) CaughtUp(id string) bool {
	return n.role == Leader && n.progress[id] != nil && n.progress[id].matchIndex >= n.commit
}

// SinceResponse returns the time since the last response of a replica, or since
// about the start of the leader's term if that is later. It is 0 if this
// replica does not lead or has not sent anything to the other one yet.
func (n *Node) SinceResponse(now clock.Millis, id string) clock.Millis {
	p := n.progress[id]
	if n.role != Leader || p == nil {
		return 0
	}
	return now - max(p.responseAt, n.leadingAt)
}

// ConfirmLeadership starts a round at once, to get a newer proof of leadership.
// It has no effect on a replica that does not lead.
func (n *Node) ConfirmLeadership(now clock.Millis) {
	if n.role == Leader {
		n.broadcast(now)
	}
}
