package coordinator

import (
	"github.com/carawayrack/carawayrack/catalog"
	"github.com/carawayrack/carawayrack/clock"
	"github.com/carawayrack/carawayrack/replica"
)

// Host is an entry host.
type Host struct {
	ID   string
	Zone string
	// Callers is the address for callers, Peer the one for other hosts.
	Callers, Peer string
	// Leaving hosts are not given out to callers.
	Leaving bool
	// Narrow hosts have a link that a zone's traffic would fill: callers are
	// spread over all of them.
	Narrow bool
}

// Core is a control process.
type Core struct{ Addr, Zone string }

// ExchangeArgs is what a host says in its periodic exchange.
type ExchangeArgs struct {
	Host Host
	// Sequence is the state that the host holds; Hosts is the digest of the
	// list of hosts and cores that it holds.
	Sequence uint64
	Hosts    uint64
	// Wants are tokens to borrow ahead, by account.
	Wants map[string]int
	// Returns are tokens that were lent and not spent, by account.
	Returns map[string]int
}

// ExchangeReply answers ExchangeArgs.
type ExchangeReply struct {
	// Known is true if this process has proof of how current it is. Age is
	// the age of that proof.
	Known  bool
	Age    clock.Millis
	Update Update
	// Fleet is nil if the host's list is current.
	Fleet  *Fleet
	Grants map[string]int
}

// Fleet lists the processes.
type Fleet struct {
	Hosts  []Host
	Cores  []Core
	Digest uint64
}

// Update leads from one state to a later one, by changes or as a whole. State
// is compressed.
type Update struct {
	Sequence uint64
	Changes  [][]byte
	State    []byte
}

// BorrowArgs asks for tokens at once.
type BorrowArgs struct {
	Account string
	Tokens  int
	// Ahead are tokens beyond those that are needed now.
	Ahead int
}

// BorrowReply answers BorrowArgs.
type BorrowReply struct {
	Tokens int
	// Wait is the time until there are tokens again.
	Wait clock.Millis
	// Known is false if nobody could say.
	Known bool
	// Leader is the address to ask instead.
	Leader string
}

// ReportArgs is what a control process tells the leader.
type ReportArgs struct {
	ID, Addr, Zone string
	// Digest identifies Hosts, which are left out if the leader has them.
	Digest uint64
	Hosts  []Host
	// Fleet is the digest of the list that the process holds.
	Fleet uint64
	// Wants and Returns are tokens to borrow and to give back, by account.
	Wants, Returns map[string]int
}

// ReportReply answers ReportArgs.
type ReportReply struct {
	LeaderID, Leader string
	// Led is true if the answer comes from the leader.
	Led bool
	// Held is the digest of the hosts that the leader knows of the sender.
	Held uint64
	// Proven is false if the leader has no proof yet.
	Proven bool
	// Age is the age of the proof that nothing beyond Sequence was accepted.
	Age      clock.Millis
	Sequence uint64
	Fleet    *Fleet
	Grants   map[string]int
	// Member is false if the sender must ask for admission.
	Member bool
}

// ProposeArgs hands a change to the leader.
type ProposeArgs struct{ Data []byte }

// ProposeReply answers ProposeArgs.
type ProposeReply struct {
	Accepted bool
	Sequence uint64
	Leader   string
}

// The messages to the replica actor.
type (
	tick     struct{}
	deliver  struct{ Messages []replica.Message }
	propose  struct{ Data []byte }
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
	dumpState    struct{}
)

// preparedReport is the next report and where it goes.
type preparedReport struct {
	To   []string
	Args ReportArgs
	Led  bool
}

// currentDocument is the configuration in force.
type currentDocument struct {
	Version  uint64
	Document []byte
}

// announcementReply tells whether an announcement must be proposed, and the address
// of a control process in the target's zone.
type announcementReply struct {
	NeedsChange bool
	Known       catalog.Target
	Core        string
}
