package coordinator

import (
	"github.com/carawayrack/carawayrack/catalog"
	"github.com/carawayrack/carawayrack/clock"
	"github.com/carawayrack/carawayrack/replica"
	"github.com/carawayrack/carawayrack/rollout"
)

// Host is an entry host as it is listed in a Fleet.
type Host struct {
	ID   string
	Zone string
	// Callers is its address for callers, Peer the one for other hosts.
	Callers, Peer string
	// Leaving is true while the host drains: callers are not sent to it.
	Leaving bool
	// Narrow is true if the traffic of a zone would fill the host's link:
	// callers are spread over all narrow hosts.
	Narrow bool
}

// Core is a control process.
type Core struct{ Addr, Zone string }

// ExchangeArgs is the request of a host's periodic exchange.
type ExchangeArgs struct {
	Host Host
	// Sequence is the sequence of the state that the host holds, Hosts the
	// digest of the Fleet that it holds. Both are zero if it has none.
	Sequence uint64
	Hosts    uint64
	// Deltas is true if the host accepts a FleetChange and changes with a Delta.
	Deltas bool
	// Wants are the tokens to prefetch, by account.
	Wants map[string]int
	// Returns are borrowed tokens that the host did not spend, by account.
	Returns map[string]int
	// Spent are the tokens that the host has spent of its own part of the rates since the
	// exchange that got the last reply, by account; SpentRound is the number of such
	// exchanges, SpentFor the time since the last one.
	Spent      map[string]int
	SpentRound uint64
	SpentFor   clock.Millis
	// Rollouts are the host's counts of the running roll-outs, Instance tells its
	// runs apart.
	Rollouts []rollout.ServiceReport
	Instance uint64
}

// ExchangeReply is the response to ExchangeArgs.
type ExchangeReply struct {
	// Known is true if this process has a proof of how current its state is,
	// and its state is not older than the host's. Otherwise Update and Fleet
	// are not set. Age is the age of the proof.
	Known  bool
	Age    clock.Millis
	Update Update
	// Fleet and FleetChange are nil if the host's list is current, otherwise one of
	// them is set.
	Fleet       *Fleet
	FleetChange *FleetChange
	// Grants are the tokens lent, by account.
	Grants map[string]int
	// LenderAge is the time since a leader could last lend tokens, as far as this process
	// knows.
	LenderAge clock.Millis
}

// Fleet lists the hosts and the control processes. Digest identifies the list.
type Fleet struct {
	Hosts  []Host
	Cores  []Core
	Digest uint64
}

// Update brings a host's state to Sequence: by Changes, each an encoded
// catalog.Change, or by the whole State, encoded and packed by
// catalog.Compress. Neither is set if the host's state is current.
type Update struct {
	Sequence uint64
	Changes  [][]byte
	State    []byte
}

// BorrowArgs is a request for tokens that are needed at once.
type BorrowArgs struct {
	Account string
	Tokens  int
	// Ahead is the number of tokens to prefetch beyond those needed now.
	Ahead int
}

// BorrowReply is the response to BorrowArgs.
type BorrowReply struct {
	// Tokens is the number of tokens lent.
	Tokens int
	// Wait is the time until there are tokens again.
	Wait clock.Millis
	// Known is false if the process could not decide, because it does not lead
	// and has not enough tokens of the account in its cache.
	Known bool
	// Leader is the address of the process to send the request to instead,
	// empty if none is known.
	Leader string
}

// ReportArgs is the periodic report of a control process to the leader.
type ReportArgs struct {
	ID, Addr, Zone string
	// Digest is the digest of Hosts, the hosts that exchange with the sender.
	// Hosts is not set if the leader already has them.
	Digest uint64
	Hosts  []Host
	// Fleet is the digest of the Fleet that the sender holds. Deltas is true if it
	// accepts a FleetChange.
	Fleet  uint64
	Deltas bool
	// Wants are the tokens to prefetch, Returns the borrowed tokens that
	// were not spent, by account.
	Wants, Returns map[string]int
	// Spent are the tokens that the sender's hosts have spent of their own parts.
	Spent map[string]int
	// Silent are the sender's hosts without an exchange for silentAfter, Leaving those
	// that are about to stop.
	Silent, Leaving []string
	// Rollouts are the counts that hosts have sent since the last report.
	Rollouts []rollout.HostReport
}

// ReportReply is the response to ReportArgs. Without Led, only LeaderID, Leader
// and Member are set.
type ReportReply struct {
	// LeaderID and Leader are the replica ID and the address of the leader, empty
	// if unknown.
	LeaderID, Leader string
	// Led is true if the response comes from the leader.
	Led bool
	// Held is the digest of the sender's hosts that the leader holds.
	Held uint64
	// Proven is false if the leader has no proof yet.
	Proven bool
	// Age is the age of the proof that nothing beyond Sequence was accepted.
	Age      clock.Millis
	Sequence uint64
	// Fleet and FleetChange are nil if the sender's list is current, otherwise one
	// of them is set.
	Fleet       *Fleet
	FleetChange *FleetChange
	// Grants are the tokens lent, by account.
	Grants map[string]int
	// LenderAge is the time since the leader, or one before it, could last lend tokens.
	LenderAge clock.Millis
	// Member is true if the sender is a voter or learner at its address.
	Member bool
}

// LeaveArgs is the request of a process that stops to be removed from the
// voters.
type LeaveArgs struct{ ID string }

// LeaveReply is the response to LeaveArgs. Done is true once the process may
// end: it is no voter, or removing it would not make the majority smaller. ID is
// the replica ID of the process that responds, Leader the address to send the
// request to if that process does not lead, empty if unknown.
type LeaveReply struct {
	Done       bool
	ID, Leader string
}

// ProposeArgs is a request to append an encoded catalog.Change to the log.
type ProposeArgs struct{ Data []byte }

// ProposeReply is the response to ProposeArgs. Accepted is true if the change
// was committed; otherwise its outcome may be unknown. Superseded is true if it
// then had no effect; see catalog.State.Superseded. Sequence is that of the state
// with the change. If Leader is the address of another process, nothing was
// appended, and the request can be sent to that address.
type ProposeReply struct {
	Accepted   bool
	Superseded bool
	Sequence   uint64
	Leader     string
}

// The messages to the replica actor. Those that expect a response are sent with
// request.
type (
	tick    struct{}
	deliver struct{ Messages []replica.Message }
	propose struct{ Data []byte }
	// flush handles what has arrived in the meantime; see Replica.flush.
	flush    struct{}
	exchange struct{ Args ExchangeArgs }
	borrow   struct{ Args BorrowArgs }
	loan     struct {
		Account string
		Tokens  int
		Wait    clock.Millis
	}
	report        struct{ Args ReportArgs }
	prepareReport struct{}
	reportResult  struct {
		SentAt clock.Millis
		Reply  ReportReply
	}
	announcement struct{ Target catalog.Target }
	readDocument struct{ Confirmed bool }
	awaitProof   struct{ Since clock.Millis }
	readSuspect  struct{ Fingerprint uint64 }
	leave        struct{ Args LeaveArgs }
	dumpState    struct{}
)

// preparedReport is the next report with the addresses to try in turn. Led is
// true if this process leads and must not report.
type preparedReport struct {
	To   []string
	Args ReportArgs
	Led  bool
}

// currentDocument is the configuration in force, the revisions of the zones and the
// last roll-outs by service.
// Document is compressed, and nil if there is no configuration.
type currentDocument struct {
	Version       uint64
	Document      []byte
	ZoneRevisions map[string]uint64
	Rollouts      map[string]catalog.Rollout
}

// announcementReply says whether an announcement must be proposed, and whether its
// service is unlisted. Known is the last announcement of the target, Core the
// address of a control process in its zone.
type announcementReply struct {
	NeedsChange bool
	Unlisted    bool
	Known       catalog.Target
	Core        string
}
