package balance

import (
	"github.com/carawayrack/carawayrack/catalog"
	"github.com/carawayrack/carawayrack/clock"
)

const (
	// minProbePause and lastRetry bound the pause before a sick target is tried
	// again with a request that may be repeated.
	minProbePause = 250 * clock.Millis(1)
	maxProbePause = 500 * clock.Millis(1)
	// maxSuccessesNeeded is the number of answers in a row that clear a target
	// whose connection broke.
	maxSuccessesNeeded = 4
	// loadMaxAge is how long a reported load counts.
	loadMaxAge = 150 * clock.Millis(1)
	// peerMaxAge is how long the count of another host counts.
	peerMaxAge = 2 * clock.Second
	// latencyWeight is the weight of a new answer in the average latency.
	latencyWeight = 0.2
)

// target is what a host knows of one target.
type target struct {
	catalog.Target
	key uint32
	// inFlight counts this host's requests there, peers those of other hosts.
	inFlight     int
	peerInFlight map[string]peerCount
	// okAt and failAt are the times of the last answer and the last failure
	// that any host is known to have had.
	okAt, failAt clock.Millis
	// successesNeeded is the number of answers that must come before the target is
	// trusted again; consecutiveFailures counts failures in a row.
	successesNeeded, consecutiveFailures int
	probeAt                              clock.Millis
	// reportedUnhealthy is true if other zones were told that the target is sick.
	reportedUnhealthy bool
	// pathSuspected is true if the last failure may be one of the way there.
	pathSuspected bool
	// healthChangedAt is when trust was gained or lost last.
	healthChangedAt clock.Millis
	probing         bool
	latency         float64
	load            Load
	loadAt          clock.Millis
	coldUntil       clock.Millis
	// connRefused is true after a connection was connRefused, until an answer.
	connRefused bool
	misdirected bool
	// ranking holds the hosts of the zone by their claim to the target, owners
	// the first of them, own whether this host is one.
	ranking, owners []string
	owned           bool
	starts          []clock.Millis
	changed         bool
}

type peerCount struct {
	n  int
	at clock.Millis
}

// totalInFlight returns the number of requests that the target is known to hold.
func (t *target) totalInFlight(now clock.Millis) int {
	n := t.inFlight
	for h, c := range t.peerInFlight {
		if now-c.at > peerMaxAge {
			delete(t.peerInFlight, h)
			continue
		}
		n += c.n
	}
	if t.load.Known && now-t.loadAt <= loadMaxAge {
		n = max(n, t.load.Running+t.load.Waiting)
	}
	return n
}

func (t *target) slots() int {
	if t.Slots > 0 {
		return t.Slots
	}
	return 1
}

func (t *target) cold(now clock.Millis) bool { return now < t.coldUntil }

// startedLastSecond counts the requests that were sent in the last second.
func (t *target) startedLastSecond(now clock.Millis) int {
	k := 0
	for k < len(t.starts) && now-t.starts[k] >= clock.Second {
		k++
	}
	t.starts = t.starts[k:]
	return len(t.starts)
}

// recordSuccess notes an answer to a request that was sent at a time: it tells
// nothing of failures since then.
func (t *target) recordSuccess(sentAt clock.Millis) {
	t.okAt = max(t.okAt, sentAt)
	if sentAt <= t.failAt {
		return
	}
	t.consecutiveFailures = 0
	if t.successesNeeded > 0 {
		t.successesNeeded--
	}
	t.probeAt = 0
}

// acceptedAfter is the time without a failure after which a request that is
// under way counts as taken by its target.
const acceptedAfter = 10 * clock.Millis(1)

// lastSuccessAt is the time at which the target was last known to take a request.
func (t *target) lastSuccessAt(now clock.Millis) clock.Millis {
	at := t.okAt
	if t.successesNeeded > 0 || t.inFlight == 0 {
		return at
	}
	for i := len(t.starts) - 1; i >= 0; i-- {
		if s := t.starts[i]; now-s >= acceptedAfter {
			if s > t.failAt {
				at = max(at, s)
			}
			break
		}
	}
	return at
}

// recordFailure notes a failure; lacks is the number of answers that clear it.
func (t *target) recordFailure(now clock.Millis, successesNeeded int) {
	t.failAt = max(t.failAt, now)
	t.pathSuspected = false
	t.consecutiveFailures++
	t.successesNeeded = max(t.successesNeeded, successesNeeded)
	pause := minProbePause
	for i := 1; i < t.consecutiveFailures && pause < maxProbePause; i++ {
		pause = pause * 3 / 2
	}
	t.probeAt = now + min(pause, maxProbePause)
}

func (t *target) lastObservedAt() clock.Millis { return max(t.okAt, t.failAt) }
