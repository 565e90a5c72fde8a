// Package replica implements Raft (Ongaro and Ousterhout, 2014) for the log that
// the control processes replicate, with pre-vote, check-quorum, learners,
// single-server membership changes and snapshots. It has no clock, network or
// disk of its own: the caller passes the time, sends the messages and stores the
// state.
package replica

import (
	"sort"

	"github.com/carawayrack/carawayrack/clock"
)

// Role is the role of a replica in its current term.
type Role string

// The roles of replicas.
const (
	Follower     Role = "follower"
	PreCandidate Role = "preCandidate"
	Candidate    Role = "candidate"
	Leader       Role = "leader"
)

// Node is the state machine of one replica. Its methods must not be called
// concurrently. Messages to send are collected until TakeMessages. Times are in
// milliseconds of this replica's clock.
type Node struct {
	ID string
	// ElectionTimeout is the shortest time without contact with a leader after
	// which a replica campaigns, and the longest time that a leader remains
	// leader without being confirmed by a majority.
	ElectionTimeout clock.Millis
	// Heartbeat is the interval between a leader's broadcasts.
	Heartbeat clock.Millis
	// FirstElectionTimeout, if set, replaces ElectionTimeout until the replica
	// has contact with a leader for the first time since its start, and lets a
	// restarted replica grant votes at once. It doubles with each term that begins
	// in that time, up to ElectionTimeout. A proof of leadership then says nothing of
	// the time after its time At; see Lease for what does.
	FirstElectionTimeout clock.Millis
	// CompactAfter is the number of applied entries after which a snapshot
	// replaces them.
	CompactAfter int
	// Random returns a number in [0, n).
	Random  func(n int) int
	Storage Storage
	// Apply is called once for each committed entry, in order.
	Apply func(Entry)
	// Capture returns the applied state for a snapshot; Restore replaces the
	// applied state by that of a snapshot.
	Capture func() []byte
	// Sequence returns the sequence number of the applied state, for proofs of
	// leadership.
	Sequence func() uint64
	Restore  func([]byte)
	// ProposalsWaiting, if set, reports whether the owner will call ProposeAll shortly.
	// The message with those entries then also carries a new commit index.
	ProposalsWaiting func() bool
	// OnViolation is called with a Violation or StaleDisk error.
	OnViolation func(error)

	role     Role
	vote     Vote
	leader   string
	snapshot Snapshot
	entries  []Entry
	// members is the newest membership in the log, committed or not.
	members Members
	commit  uint64
	applied uint64

	// leaderContactAt is when the last message from a leader arrived.
	leaderContactAt clock.Millis
	// startTerm is the term at the start.
	startTerm uint64
	// sawLeader is true once the replica has known a leader since its start.
	sawLeader        bool
	electionDeadline clock.Millis
	votes            map[string]bool
	progress         map[string]*progress
	// rounds holds, by number of the broadcast, the proof that responses of a
	// majority will confirm.
	rounds      map[uint64]Proof
	round       uint64
	broadcastAt clock.Millis
	// proof is the newest confirmed proof of this term.
	proof Proof
	// leadingAt is the time of the election, or of the newest confirmed round
	// that started before an entry of this term was committed: such a round
	// shows that the replica led, but is no proof, since its index may be below
	// entries acknowledged by an earlier leader.
	leadingAt clock.Millis
	// termStart is the index of the first entry of the leader's term.
	termStart uint64
	// roundAt is when the newest round that a majority has responded to was sent, zero
	// if there is none in this term. leaseFrom is when no former leader has a lease any more.
	roundAt   clock.Millis
	leaseFrom clock.Millis
	// leadingSince is the time of the election.
	leadingSince clock.Millis
	// ended holds the voters whose process has ended, as the leader knows by another one at
	// their address.
	ended map[string]bool
	// startedAt is when the replica started. forgotten is the end of the longest lease that
	// a voter of the present election may have forgotten with a restart.
	startedAt clock.Millis
	forgotten clock.Millis
	// messagesSent counts the append and snapshot messages of this replica.
	messagesSent uint64
	// halted is set when a write to the disk has failed, or the leader has rejected
	// the disk: what this replica holds in memory may not be on it. The replica then
	// neither campaigns nor leads nor handles messages. Its owner starts it again
	// from the disk.
	halted bool
	outbox []Message
}

// Run starts the replica with the state of its disk. Initial is the membership
// used and stored if the disk holds none, which is so on disks of earlier versions.
func (n *Node) Run(now clock.Millis, d PersistentState, initial Members) {
	n.role = Follower
	n.startedAt = now
	n.vote = d.Vote
	n.startTerm = d.Vote.Term
	n.snapshot = d.Snapshot
	n.entries = d.Entries
	if len(n.snapshot.Members.Voters) == 0 && len(initial.Voters) > 0 {
		n.snapshot.Members = initial.Copy()
		n.saveSnapshot(n.snapshot, n.entries)
	}
	if n.snapshot.Index > 0 {
		n.Restore(n.snapshot.Data)
	}
	n.commit = n.snapshot.Index
	n.applied = n.snapshot.Index
	n.updateMembers()
	// The replica may have responded to a leader just before it restarted, so
	// it grants no vote during the first election timeout.
	n.leaderContactAt = now
	if n.FirstElectionTimeout > 0 {
		n.leaderContactAt = now - n.ElectionTimeout
	}
	n.resetElectionDeadline(now)
}

// Role returns the current role.
func (n *Node) Role() Role { return n.role }

// Term returns the current term.
func (n *Node) Term() uint64 { return n.vote.Term }

// LeaderID returns the ID of the current leader, empty if unknown.
func (n *Node) LeaderID() string { return n.leader }

// Members returns a copy of the membership in use, which may not be committed
// yet.
func (n *Node) Members() Members { return n.members.Copy() }

// Commit returns the index of the last committed entry.
func (n *Node) Commit() uint64 { return n.commit }

// Last returns the index and term of the last entry of the log, or of the
// snapshot if no entry follows it.
func (n *Node) Last() (uint64, uint64) {
	if k := len(n.entries); k > 0 {
		return n.entries[k-1].Index, n.entries[k-1].Term
	}
	return n.snapshot.Index, n.snapshot.Term
}

// TakeMessages returns the messages to send and empties the outbox.
func (n *Node) TakeMessages() []Message {
	m := n.outbox
	n.outbox = nil
	return m
}

// send adds a message to the outbox, in the current term if none is set.
func (n *Node) send(m Message) {
	m.From = n.ID
	if m.Term == 0 {
		m.Term = n.vote.Term
	}
	n.outbox = append(n.outbox, m)
}

// termAt returns the term of the entry at index i, false if the log does not
// hold it.
func (n *Node) termAt(i uint64) (uint64, bool) {
	if i == n.snapshot.Index {
		return n.snapshot.Term, true
	}
	first := n.snapshot.Index + 1
	if i < first || i >= first+uint64(len(n.entries)) {
		return 0, false
	}
	return n.entries[i-first].Term, true
}

// entriesFrom returns a copy of the entries at and after index from.
func (n *Node) entriesFrom(from uint64) []Entry {
	first := n.snapshot.Index + 1
	if from < first || from-first > uint64(len(n.entries)) {
		return nil
	}
	return append([]Entry(nil), n.entries[from-first:]...)
}

// updateMembers sets the membership to that of the newest entry that carries
// one, or of the snapshot. Raft uses it before it is committed.
func (n *Node) updateMembers() {
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

func (n *Node) otherIDs() []string {
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

// maxDoublings keeps the doubled FirstElectionTimeout from overflowing. 2^16 ms is more
// than a minute.
const maxDoublings = 16

func (n *Node) resetElectionDeadline(now clock.Millis) {
	e := n.ElectionTimeout
	if n.FirstElectionTimeout > 0 && !n.sawLeader {
		// An election that takes longer than the timeout never ends: the next one
		// begins first. Syncs on a busy machine take longer than 40 ms.
		e = min(e, n.FirstElectionTimeout<<min(n.vote.Term-n.startTerm, maxDoublings))
	}
	n.electionDeadline = now + e + clock.Millis(n.Random(int(e)))
}

// save makes the vote and entries durable and reports whether it did. After a failure
// the replica is halted.
func (n *Node) save(e []Entry) bool {
	return n.haltAfter(n.Storage.Save(n.vote, e))
}

// saveSnapshot replaces what the disk holds and reports whether it did. After a
// failure the replica is halted.
func (n *Node) saveSnapshot(s Snapshot, e []Entry) bool {
	return n.haltAfter(n.Storage.SaveSnapshot(s, n.vote, e))
}

// haltAfter halts the replica after an error and reports whether there was none.
func (n *Node) haltAfter(err error) bool {
	if err != nil {
		n.halted = true
		n.role, n.leader = Follower, ""
	}
	return err == nil
}

// Tick starts an election or broadcasts a heartbeat if one is due. A leader steps
// down if no majority has confirmed it for longer than ElectionTimeout. A replica without
// a vote forgets a leader of which it has not heard for that long.
func (n *Node) Tick(now clock.Millis) {
	if n.role == Leader {
		n.tickLeader(now)
		return
	}
	if now < n.electionDeadline || n.halted {
		return
	}
	if n.isVoter() {
		n.preCampaign(now)
		return
	}
	// The next leader may not know this replica, which then has to find it.
	n.leader = ""
}

// Step handles a message from another replica.
func (n *Node) Step(now clock.Millis, m Message) {
	if m.To != n.ID || n.halted {
		return
	}
	if m.Term > n.vote.Term && m.Kind != RequestPreVote && !(m.Kind == PreVoteResponse && m.Granted) {
		if m.Kind == RequestVote && n.hasRecentLeader(now) {
			return
		}
		n.becomeFollower(now, m.Term, "")
	}
	switch m.Kind {
	case RequestPreVote, RequestVote:
		n.stepVoteRequest(now, m)
	case PreVoteResponse, VoteResponse:
		n.stepVoteResponse(now, m)
	case AppendEntries:
		n.stepAppendEntries(now, m)
	case InstallSnapshot:
		n.stepInstallSnapshot(now, m)
	case AppendResponse:
		n.stepAppendResponse(now, m)
	case RejectStaleDisk:
		n.stepRejectStaleDisk(m)
	}
}

// StepAll handles messages that arrived together, in order. Append requests that
// continue each other are handled as one: their entries take one write and one
// response.
func (n *Node) StepAll(now clock.Millis, l []Message) {
	for i := 0; i < len(l); {
		m := l[i]
		for i++; i < len(l) && m.continuedBy(l[i]); i++ {
			m = m.join(l[i])
		}
		n.Step(now, m)
	}
}

// hasRecentLeader reports whether the replica leads, or received a message from a
// leader within the last ElectionTimeout: then it grants no vote.
func (n *Node) hasRecentLeader(now clock.Millis) bool {
	if n.role == Leader {
		return true
	}
	return now-n.leaderContactAt < n.ElectionTimeout
}

// becomeFollower makes the replica a follower in the given term. Leader is empty
// if unknown.
func (n *Node) becomeFollower(now clock.Millis, term uint64, leader string) {
	if term > n.vote.Term {
		n.vote = Vote{Term: term}
		if !n.save(nil) {
			return
		}
	}
	n.role = Follower
	n.leader = leader
	n.sawLeader = n.sawLeader || leader != ""
	n.resetElectionDeadline(now)
}
