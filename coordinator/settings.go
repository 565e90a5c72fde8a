package coordinator

import (
	"strings"

	"github.com/carawayrack/carawayrack/clock"
	"github.com/carawayrack/carawayrack/rollout"
)

// Settings are the settings of a control process.
type Settings struct {
	Zone string
	// Data is the folder for the replica's log.
	Data string
	// Peer is the address for hosts and other control processes.
	Peer string
	// Seeds are the addresses of control processes that may be running.
	Seeds []string
	// Bootstrap is true when the whole fleet starts for the first time.
	Bootstrap bool
	// Secret authenticates the processes of the fleet to each other.
	Secret string
	// MaxConfigAge is the age of a proof from which hosts take no requests, and so use no
	// tokens of their own part.
	MaxConfigAge clock.Millis
	// Rollouts are the bounds of roll-outs.
	Rollouts rollout.Settings
}

// Timing and bounds of the control processes.
const (
	electionTimeout = 800 * clock.Millis(1)
	// firstElectionTimeout is the shortest time after the start until a replica
	// that has had no contact with a leader campaigns.
	firstElectionTimeout = 40 * clock.Millis(1)
	heartbeat            = 200 * clock.Millis(1)
	// compactAfter is the number of applied log entries between snapshots.
	compactAfter   = 512
	tickInterval   = 25 * clock.Millis(1)
	reportInterval = 200 * clock.Millis(1)
	// proofRetryDelay is the pause before the next report after the leader
	// responded without a proof.
	proofRetryDelay = 20 * clock.Millis(1)
	// hostTimeout is the time without an exchange after which callers are no
	// longer sent to a host.
	hostTimeout = 1500 * clock.Millis(1)
	// reportTimeout is the time without a report after which the leader drops
	// a control process and the hosts that it reported.
	reportTimeout = 2500 * clock.Millis(1)
	// callTimeout bounds a report to another control process, and the time that
	// a read waits for a proof.
	callTimeout = 800 * clock.Millis(1)
	// firstProofWait is how long an exchange waits for the first proof, so that
	// the host does not have to repeat it.
	firstProofWait = 200 * clock.Millis(1)
	// requestTimeout bounds a request to the replica, also that of another
	// control process.
	requestTimeout = 900 * clock.Millis(1)
	// leaseMargin is the part of its lease in which a leader lends no tokens any more. It
	// covers clocks of different speed and what hosts do until they know of it.
	leaseMargin = 300 * clock.Millis(1)
	// silentAfter is the time without an exchange or a report after which the leader
	// takes a host as one that may use its own part of the rates.
	silentAfter = 500 * clock.Millis(1)
	// takeoverTokens are the tokens with which the bucket of an account begins at a new
	// leader, beside those of the time between two leases that hosts have not used.
	takeoverTokens = 5
	// removeSurplusAfter and removeLostAfter are the times without a response
	// after which a voter is removed: with an even number of voters, where
	// removing it makes the majority smaller, and with an odd one.
	removeSurplusAfter = 1 * clock.Second
	removeLostAfter    = 12 * clock.Second
	// leaveTimeout bounds how long a stopping process waits until it is no
	// longer a voter. It includes the election of a new leader.
	leaveTimeout  = 3 * clock.Second
	leaveInterval = 50 * clock.Millis(1)
	// leaveHold is the time after a request to leave in which the leader does
	// not admit the sender again: a report may have been under way.
	leaveHold = 2 * clock.Second
	// targetReviewInterval is the time between two reviews of the targets whose services
	// are not listed. Targets announce themselves about every second.
	targetReviewInterval = 500 * clock.Millis(1)
	// minVoters is the number of voters at which none is removed.
	minVoters = 3
	// maxRecentChanges is the number of changes kept to send hosts updates
	// instead of the whole state.
	maxRecentChanges = 4096
)

// machineOf returns the machine name in a replica ID.
func machineOf(id string) string {
	n, _, _ := strings.Cut(id, ".")
	return n
}

// machineName returns the machine name that the replica IDs of the process at
// addr begin with. It contains no dot, since a dot ends the name within an ID.
func machineName(addr string) string {
	return strings.NewReplacer(".", "-", ":", "_").Replace(addr)
}
