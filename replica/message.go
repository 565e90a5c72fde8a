package replica

import "github.com/carawayrack/carawayrack/clock"

// Kind is the type of a message between replicas. Its values are sent between
// processes and must not change.
type Kind int

// The kinds of messages. AppendResponse is also the response to
// InstallSnapshot.
const (
	RequestPreVote Kind = iota + 1
	PreVoteResponse
	RequestVote
	VoteResponse
	AppendEntries
	AppendResponse
	InstallSnapshot
	// RejectStaleDisk notifies a replica that its disk lacks entries that it
	// has acknowledged.
	RejectStaleDisk
)

// Message is a message from one replica to another.
type Message struct {
	Kind     Kind
	From, To string
	Term     uint64
	// Index and LogTerm identify the entry before Entries (AppendEntries) or
	// the last entry of a candidate (RequestPreVote, RequestVote). In an
	// AppendResponse, Index is the last entry that matches the leader's log or,
	// if the request was rejected, may match it. In RejectStaleDisk it is the
	// last entry that the replica acknowledged.
	Index, LogTerm uint64
	Commit         uint64
	Entries        []Entry
	// Granted is true in the response to a vote request or an append request
	// that succeeded.
	Granted bool
	// Forgotten is set in the vote of a replica that has restarted: the time for which a
	// leader that it has forgotten may still have a lease.
	Forgotten clock.Millis
	// Round is the number of the leader's broadcast. Responses repeat it, so
	// that those of a majority prove that the leader still led when it sent the
	// broadcast.
	Round uint64
	// Sent is the number of the leader's message; the response repeats it.
	Sent     uint64
	Snapshot *Snapshot
}

// continuedBy reports whether x is an append request of the same leader whose
// entries follow those of m.
func (m Message) continuedBy(x Message) bool {
	if m.Kind != AppendEntries || x.Kind != AppendEntries || m.From != x.From || m.To != x.To || m.Term != x.Term {
		return false
	}
	i, t := m.Index, m.LogTerm
	if k := len(m.Entries); k > 0 {
		i, t = m.Entries[k-1].Index, m.Entries[k-1].Term
	}
	return x.Index == i && x.LogTerm == t && x.Sent > m.Sent
}

// join returns the request m with the entries of x, which continues it. The response
// is that to x.
func (m Message) join(x Message) Message {
	m.Entries = append(m.Entries[:len(m.Entries):len(m.Entries)], x.Entries...)
	m.Commit, m.Round, m.Sent = x.Commit, x.Round, x.Sent
	return m
}

// Entry is one entry of the replicated log. Data is nil in entries that carry
// a change of membership and in the empty entry that starts a leader's term.
type Entry struct {
	Index, Term uint64
	Data        []byte
	Members     *Members
}

// Members is the membership of the group of replicas. Its maps lead from
// replica IDs to addresses.
type Members struct {
	Voters   map[string]string
	Learners map[string]string
}

// Vote is the part of a replica's persistent state that is not in the log: the
// current term and the ID of the candidate that received its vote in that term,
// empty if none.
type Vote struct {
	Term uint64
	For  string
}

// Snapshot replaces the entries of the log up to and including Index.
type Snapshot struct {
	Index, Term uint64
	Members     Members
	Data        []byte
}

// Proof shows that a replica led at some time: at the time At, by the leader's
// clock, no replica led in a higher term, and every acknowledged entry was at
// or below Index.
type Proof struct {
	At    clock.Millis
	Index uint64
	// Sequence is the value of Node.Sequence at that time.
	Sequence uint64
}
