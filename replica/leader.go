package replica

import (
	"sort"

	"github.com/carawayrack/carawayrack/clock"
)

// progress is what the leader knows of another replica.
type progress struct {
	// next is the first entry that was not sent yet, match the last one that
	// the replica is known to store.
	next, match uint64
	round       uint64
	heardAt     clock.Millis
	// sentAtMatch is the number of the last message that was sent when match
	// rose: answers to later messages come from a disk that holds match.
	sentAtMatch uint64
}

func (n *Node) lead(now clock.Millis) {
	n.role = Leader
	n.leader = n.ID
	n.met = true
	n.progress = map[string]*progress{}
	n.rounds = map[uint64]Proof{}
	n.beat = Proof{}
	n.ledSince = now
	i, _ := n.Last()
	n.termBase = i + 1
	// An empty entry of the new term commits all that came before it.
	n.append(now, Entry{})
}

// Propose appends an entry with data. The error is NotLeader.
func (n *Node) Propose(now clock.Millis, data []byte) (uint64, error) {
	if n.role != Leader {
		return 0, NotLeader{Leader: n.leader}
	}
	return n.append(now, Entry{Data: data}), nil
}

// ProposeMembers appends a change of membership. The error is NotLeader or
// MembershipBusy.
func (n *Node) ProposeMembers(now clock.Millis, m Members) error {
	if n.role != Leader {
		return NotLeader{Leader: n.leader}
	}
	if n.membersPending() || n.commit < n.termBase {
		return MembershipChangePending{}
	}
	c := m.Copy()
	n.append(now, Entry{Members: &c})
	return nil
}

func (n *Node) membersPending() bool {
	for _, e := range n.entries {
		if e.Index > n.commit && e.Members != nil {
			return true
		}
	}
	return false
}

func (n *Node) append(now clock.Millis, e Entry) uint64 {
	i, _ := n.Last()
	e.Index, e.Term = i+1, n.vote.Term
	n.entries = append(n.entries, e)
	if !n.save([]Entry{e}) {
		return 0
	}
	n.reviewMembers()
	n.broadcast(now)
	n.advance(now)
	return e.Index
}

func (n *Node) tickLeader(now clock.Millis) {
	if now-n.confirmedAt() > n.ElectionTimeout {
		n.follow(now, n.vote.Term, "")
		return
	}
	if now-n.sentAt >= n.Heartbeat {
		n.broadcast(now)
	}
}

// confirmedAt is the latest time at which a majority still followed.
func (n *Node) confirmedAt() clock.Millis {
	if n.beat.At > n.ledSince {
		return n.beat.At
	}
	return n.ledSince
}

// LastProof returns the newest proof of leadership, zero if there is none.
func (n *Node) LastProof() Proof {
	if n.role != Leader {
		return Proof{}
	}
	return n.beat
}

func (n *Node) broadcast(now clock.Millis) {
	n.round++
	n.sentAt = now
	n.rounds[n.round] = Proof{At: now, Index: n.commit, Sequence: n.Sequence()}
	for _, id := range n.others() {
		n.sendAppend(id)
	}
	n.confirm()
}

func (n *Node) peer(id string) *progress {
	p := n.progress[id]
	if p == nil {
		i, _ := n.Last()
		p = &progress{next: i + 1}
		n.progress[id] = p
	}
	return p
}

// sendAppend sends what a replica has not been sent yet. What is lost on the
// way shows when the replica refuses what follows.
func (n *Node) sendAppend(id string) {
	p := n.peer(id)
	n.sends++
	if p.next <= n.snapshot.Index {
		s := n.snapshot
		n.send(Message{Kind: InstallSnapshot, To: id, Snapshot: &s, Round: n.round, Sent: n.sends})
		p.next = s.Index + 1
		return
	}
	t, _ := n.term(p.next - 1)
	l := n.slice(p.next)
	n.send(Message{
		Kind: AppendEntries, To: id, Index: p.next - 1, LogTerm: t,
		Entries: l, Commit: n.commit, Round: n.round, Sent: n.sends,
	})
	p.next += uint64(len(l))
}

func (n *Node) stepAppended(now clock.Millis, m Message) {
	if n.role != Leader || m.Term != n.vote.Term {
		return
	}
	p := n.peer(m.From)
	p.heardAt = now
	if m.Round > p.round {
		p.round = m.Round
	}
	if m.Granted {
		if m.Index > p.match {
			p.match = m.Index
			p.sentAtMatch = n.sends
		}
		p.next = max(p.next, p.match+1)
		n.confirm()
		n.advance(now)
		return
	}
	n.confirm()
	if m.Index < p.match && m.Sent > p.sentAtMatch {
		n.send(Message{Kind: RejectStaleDisk, To: m.From, Index: p.match})
		return
	}
	p.next = max(min(p.next-1, m.Index+1), p.match+1)
	n.sendAppend(m.From)
}

// confirm finds the newest round that a majority has answered.
func (n *Node) confirm() {
	l := make([]uint64, 0, len(n.members.Voters))
	for id := range n.members.Voters {
		if id == n.ID {
			l = append(l, n.round)
			continue
		}
		l = append(l, n.peer(id).round)
	}
	r := quorumValue(l, n.members.Quorum())
	if b, ok := n.rounds[r]; ok {
		if b.Index >= n.termBase {
			n.beat = b
		} else if b.At > n.ledSince {
			n.ledSince = b.At
		}
	}
	for k := range n.rounds {
		if k < r {
			delete(n.rounds, k)
		}
	}
}

// advance commits what a majority has stored in this term.
func (n *Node) advance(now clock.Millis) {
	l := make([]uint64, 0, len(n.members.Voters))
	last, _ := n.Last()
	for id := range n.members.Voters {
		if id == n.ID {
			l = append(l, last)
			continue
		}
		l = append(l, n.peer(id).match)
	}
	i := quorumValue(l, n.members.Quorum())
	if t, ok := n.term(i); !ok || t != n.vote.Term || i <= n.commit {
		return
	}
	n.commitTo(i)
	if n.role == Leader && !n.isVoter() {
		n.follow(now, n.vote.Term, "")
		return
	}
	n.broadcast(now)
}

func quorumValue(l []uint64, q int) uint64 {
	if q > len(l) || q == 0 {
		return 0
	}
	sort.Slice(l, func(i, j int) bool { return l[i] > l[j] })
	return l[q-1]
}

// CaughtUp reports whether a replica holds every committed entry.
func (n *Node) CaughtUp(id string) bool {
	return n.role == Leader && n.progress[id] != nil && n.progress[id].match >= n.commit
}

// SinceResponse returns how long a replica has not answered the leader.
func (n *Node) SinceResponse(now clock.Millis, id string) clock.Millis {
	p := n.progress[id]
	if n.role != Leader || p == nil {
		return 0
	}
	return now - max(p.heardAt, n.ledSince)
}

// ConfirmLeadership asks the other replicas at once whether this one still leads.
func (n *Node) ConfirmLeadership(now clock.Millis) {
	if n.role == Leader {
		n.broadcast(now)
	}
}
