package coordinator

import (
	"strings"

	"github.com/carawayrack/carawayrack/clock"
)

// Settings are the settings of a control process.
type Settings struct {
	Zone string
	// Data is the folder on this machine's disk.
	Data string
	// Peer is the address for the fleet's own traffic.
	Peer string
	// Seeds are addresses of control processes that may be there.
	Seeds []string
	// Bootstrap is true when the whole fleet starts for the first time.
	Bootstrap bool
	// Secret is presented to other processes of the fleet.
	Secret string
}

// Timing of the control processes.
const (
	electionTimeout = 800 * clock.Millis(1)
	// firstElection is the shortest silence after a start.
	firstElection  = 40 * clock.Millis(1)
	heartbeat      = 200 * clock.Millis(1)
	compactAfter   = 512
	tickInterval   = 25 * clock.Millis(1)
	reportInterval = 200 * clock.Millis(1)
	// provenRetry is the pause after an answer of a leader without proof.
	provenRetry = 20 * clock.Millis(1)
	// hostTimeout is the silence after which a host is not given out to
	// callers any more.
	hostTimeout = 1500 * clock.Millis(1)
	// reportTimeout is the silence after which the hosts that a control
	// process spoke for are forgotten.
	reportTimeout = 2500 * clock.Millis(1)
	callTimeout   = 800 * clock.Millis(1)
	// holdFor is how long a host that asks before there is any proof waits for
	// it, instead of asking again.
	holdFor    = 200 * clock.Millis(1)
	askTimeout = 900 * clock.Millis(1)
	// takeoverShare is the part of an account's burst that a new leader
	// starts with: tokens that the former one lent may still be spent.
	takeoverShare = 0.1
	// takeoverTokens are added to that, a quarter of what the users' quotas
	// allow beyond rate and burst in any window.
	takeoverTokens = 5
	// surplusSilence and lostSilence are how long a voter is silent before
	// it is removed, with a replacement in place and without.
	surplusSilence = 4 * clock.Second
	lostSilence    = 12 * clock.Second
	minVoters      = 3
	changesKept    = 4096
)

// nameOf returns the machine's part of a replica ID.
func nameOf(id string) string {
	n, _, _ := strings.Cut(id, ".")
	return n
}

// machineName turns an address into the machine's part of a replica ID.
func machineName(addr string) string {
	return strings.NewReplacer(".", "-", ":", "_").Replace(addr)
}
