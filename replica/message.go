package replica

import "github.com/carawayrack/carawayrack/clock"

// Kind tells messages between replicas apart.
type Kind int

// The kinds of messages.
const (
	RequestPreVote Kind = iota + 1
	PreVoteResponse
	RequestVote
	VoteResponse
	AppendEntries
	AppendResponse
	InstallSnapshot
	// RejectStaleDisk tells a replica that its disk is older than its answers.
	RejectStaleDisk
)

// Message is a message from one replica to another.
type Message struct {
	Kind     Kind
	From, To string
	Term     uint64
	// Index and LogTerm identify the entry before Entries (Append), the last
	// entry of a candidate (AskVote), or the last matching entry (Appended).
	Index, LogTerm uint64
	Commit         uint64
	Entries        []Entry
	// Granted answers votes and appends.
	Granted bool
	// Round numbers the leader's broadcasts, so that an answer proves when
	// the leader still led.
	Round uint64
	// Sent numbers the leader's messages; answers repeat it.
	Sent     uint64
	Snapshot *Snapshot
}

// Entry is one entry of the replicated log. Data is nil in entries that carry
// members or mark a new leader.
type Entry struct {
	Index, Term uint64
	Data        []byte
	Members     *Members
}

// Members is the membership of the group of replicas, by replica ID. The
// values are addresses.
type Members struct {
	Voters   map[string]string
	Learners map[string]string
}

// Vote is what a replica must not forget: its term and whom it voted for.
type Vote struct {
	Term uint64
	For  string
}

// Snapshot replaces the log up to Index.
type Snapshot struct {
	Index, Term uint64
	Members     Members
	Data        []byte
}

// Proof is a proof of leadership: at the time At no other leader existed, and
// every acknowledged entry was at or below Index.
type Proof struct {
	At    clock.Millis
	Index uint64
	// Sequence is what the applied state said of itself at that time.
	Sequence uint64
}
