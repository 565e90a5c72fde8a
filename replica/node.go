// Package replica decides what a replica of the configuration log does. It
// follows Raft (Ongaro and Ousterhout, 2014) with pre-vote, check-quorum,
// learners, single-server membership changes and snapshots. It has no clock,
// network or disk of its own.
package replica

import (
	"sort"

	"github.com/carawayrack/carawayrack/clock"
)

// Role is what a replica does at the moment.
type Role string

// The roles of replicas.
const (
	Follower     Role = "follower"
	PreCandidate Role = "preCandidate"
	Candidate    Role = "candidate"
	Leader       Role = "leader"
)

// Node is the decision state of one replica. Its methods must not be called
// concurrently. Messages that it wants sent are collected until Take.
type Node struct {
	ID string
	// ElectionTimeout is the shortest silence after which a replica stands
	// for election, and the longest time a leader goes on unheard.
	ElectionTimeout clock.Millis
	Heartbeat       clock.Millis
	// FirstElectionTimeout is the shortest silence before a replica that has met no
	// leader since its start stands for election, if it is set: then a
	// restarted replica votes at once. It must be left unset where proofs
	// of leadership count beyond the time of their round.
	FirstElectionTimeout clock.Millis
	// CompactAfter is the number of applied entries between snapshots.
	CompactAfter int
	// Random returns a number in [0, n).
	Random  func(n int) int
	Storage Storage
	// Apply receives each committed entry once, in order.
	Apply func(Entry)
	// Capture returns the applied state; Restore replaces it.
	Capture func() []byte
	// Sequence returns a number that identifies the applied state in beats.
	Sequence func() uint64
	Restore  func([]byte)
	// OnViolation reports a broken invariant.
	OnViolation func(error)

	role     Role
	vote     Vote
	leader   string
	snapshot Snapshot
	entries  []Entry
	members  Members
	commit   uint64
	applied  uint64

	heardAt clock.Millis
	// met is true once there was a leader since the start.
	met      bool
	deadline clock.Millis
	votes    map[string]bool
	progress map[string]*progress
	rounds   map[uint64]Proof
	round    uint64
	sentAt   clock.Millis
	beat     Proof
	ledSince clock.Millis
	termBase uint64
	sends    uint64
	expelled bool
	outbox   []Message
}

// Run starts the replica with what its disk holds. Members is the initial
// membership, used only where the disk holds none.
func (n *Node) Run(now clock.Millis, d PersistentState, initial Members) {
	n.role = Follower
	n.vote = d.Vote
	n.snapshot = d.Snapshot
	n.entries = d.Entries
	if len(n.snapshot.Members.Voters) == 0 {
		n.snapshot.Members = initial.Copy()
	}
	if n.snapshot.Index > 0 {
		n.Restore(n.snapshot.Data)
	}
	n.commit = n.snapshot.Index
	n.applied = n.snapshot.Index
	n.reviewMembers()
	// A restarted replica may have confirmed a leader just before.
	n.heardAt = now
	if n.FirstElectionTimeout > 0 {
		n.heardAt = now - n.ElectionTimeout
	}
	n.resetDeadline(now)
}

// Role returns the current role.
func (n *Node) Role() Role { return n.role }

// Term returns the current term.
func (n *Node) Term() uint64 { return n.vote.Term }

// LeaderID returns the ID of the known leader or an empty text.
func (n *Node) LeaderID() string { return n.leader }

// Members returns the membership in use.
func (n *Node) Members() Members { return n.members.Copy() }

// Commit returns the index of the last committed entry.
func (n *Node) Commit() uint64 { return n.commit }

// Last returns the index and term of the last entry.
func (n *Node) Last() (uint64, uint64) {
	if k := len(n.entries); k > 0 {
		return n.entries[k-1].Index, n.entries[k-1].Term
	}
	return n.snapshot.Index, n.snapshot.Term
}

// TakeMessages returns the messages to send and forgets them.
func (n *Node) TakeMessages() []Message {
	m := n.outbox
	n.outbox = nil
	return m
}

func (n *Node) send(m Message) {
	m.From = n.ID
	if m.Term == 0 {
		m.Term = n.vote.Term
	}
	n.outbox = append(n.outbox, m)
}

func (n *Node) term(i uint64) (uint64, bool) {
	if i == n.snapshot.Index {
		return n.snapshot.Term, true
	}
	first := n.snapshot.Index + 1
	if i < first || i >= first+uint64(len(n.entries)) {
		return 0, false
	}
	return n.entries[i-first].Term, true
}

func (n *Node) slice(from uint64) []Entry {
	first := n.snapshot.Index + 1
	if from < first || from-first > uint64(len(n.entries)) {
		return nil
	}
	return append([]Entry(nil), n.entries[from-first:]...)
}

// reviewMembers takes the membership of the newest entry that carries one.
func (n *Node) reviewMembers() {
	n.members = n.snapshot.Members
	for i := len(n.entries) - 1; i >= 0; i-- {
		if m := n.entries[i].Members; m != nil {
			n.members = *m
			return
		}
	}
}

func (n *Node) isVoter() bool {
	_, ok := n.members.Voters[n.ID]
	return ok
}

func (n *Node) others() []string {
	l := make([]string, 0, len(n.members.Voters)+len(n.members.Learners))
	for id := range n.members.Voters {
		if id != n.ID {
			l = append(l, id)
		}
	}
	for id := range n.members.Learners {
		if id != n.ID {
			l = append(l, id)
		}
	}
	sort.Strings(l)
	return l
}

func (n *Node) resetDeadline(now clock.Millis) {
	e := n.ElectionTimeout
	if n.FirstElectionTimeout > 0 && !n.met {
		e = n.FirstElectionTimeout
	}
	n.deadline = now + e + clock.Millis(n.Random(int(e)))
}

// save makes the vote and entries durable. A replica that cannot write its
// disk must not go on: Storage reports and ends the process.
func (n *Node) save(e []Entry) bool {
	return n.Storage.Save(n.vote, e) == nil
}

// Tick lets time pass.
func (n *Node) Tick(now clock.Millis) {
	if n.role == Leader {
		n.tickLeader(now)
		return
	}
	if now >= n.deadline && n.isVoter() && !n.expelled {
		n.standPreVote(now)
	}
}

// Step handles a message.
func (n *Node) Step(now clock.Millis, m Message) {
	if m.To != n.ID || n.expelled {
		return
	}
	if m.Term > n.vote.Term && m.Kind != RequestPreVote && !(m.Kind == PreVoteResponse && m.Granted) {
		if m.Kind == RequestVote && n.heardLeader(now) {
			return
		}
		n.follow(now, m.Term, "")
	}
	switch m.Kind {
	case RequestPreVote, RequestVote:
		n.stepAsk(now, m)
	case PreVoteResponse, VoteResponse:
		n.stepGive(now, m)
	case AppendEntries:
		n.stepAppend(now, m)
	case InstallSnapshot:
		n.stepInstall(now, m)
	case AppendResponse:
		n.stepAppended(now, m)
	case RejectStaleDisk:
		n.stepRejoin(m)
	}
}

func (n *Node) heardLeader(now clock.Millis) bool {
	if n.role == Leader {
		return true
	}
	return now-n.heardAt < n.ElectionTimeout
}

// follow becomes a follower in the given term.
func (n *Node) follow(now clock.Millis, term uint64, leader string) {
	if term > n.vote.Term {
		n.vote = Vote{Term: term}
		if !n.save(nil) {
			return
		}
	}
	n.role = Follower
	n.leader = leader
	n.met = n.met || leader != ""
	n.resetDeadline(now)
}
