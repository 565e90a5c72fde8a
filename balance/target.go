package balance

import (
	"github.com/carawayrack/carawayrack/catalog"
	"github.com/carawayrack/carawayrack/clock"
)

const (
	// minProbePause and maxProbePause bound the pause before an unhealthy target
	// is probed by an idempotent request.
	minProbePause = 250 * clock.Millis(1)
	maxProbePause = 500 * clock.Millis(1)
	// maxSuccessesNeeded is the largest number of successes that a target needs
	// to be healthy again, for example after its connection broke.
	maxSuccessesNeeded = 4
	// loadMaxAge is how long the load that a target reported is used.
	loadMaxAge = 150 * clock.Millis(1)
	// peerMaxAge is how long the number of requests in flight that another host
	// reported is used.
	peerMaxAge = 2 * clock.Second
	// latencyWeight is the weight of a response in a target's average latency.
	latencyWeight = 0.2
)

// target is a target with its health and load as this host knows them.
type target struct {
	catalog.Target
	key uint32
	// inFlight is the number of this host's requests in flight, peerInFlight
	// that of each other host by its ID.
	inFlight     int
	peerInFlight map[string]peerCount
	// okAt is when the last request of any host was sent that is known to have
	// succeeded or, if another host reported it, to have been accepted; failAt
	// is the time of the last known failure of any host.
	okAt, failAt clock.Millis
	// successesNeeded is the number of successes after which the target is
	// healthy again, 0 if it is healthy. consecutiveFailures counts failures
	// since the last success.
	successesNeeded, consecutiveFailures int
	// probeAt is when an unhealthy target may be probed.
	probeAt clock.Millis
	// reportedUnhealthy is true if the target was last reported to other zones
	// as unhealthy.
	reportedUnhealthy bool
	// reportsLeft is the number of times that this is still to be reported.
	reportsLeft int
	// pathSuspected is true if the last failure may be one of the network path
	// between this host and the target.
	pathSuspected bool
	// healthChangedAt is when the target last became healthy or unhealthy.
	healthChangedAt clock.Millis
	// probing is true while a request probes the unhealthy target.
	probing bool
	// requestedAt is when the last request was sent by any host, as far as this host
	// knows, trying true while a request tries the target because it was unused.
	requestedAt clock.Millis
	trying      bool
	// checking is true while this host checks the unhealthy target; the last check
	// began at checkedAt. failedTrials counts the failures of requests that were
	// sent to it since it became unhealthy.
	// checked is true if a check, not a request, showed the last success.
	checking     bool
	checked      bool
	checkedAt    clock.Millis
	failedTrials int
	// latency is the average latency in milliseconds.
	latency float64
	// load is the load that the target last reported, at loadAt.
	load      Load
	loadAt    clock.Millis
	coldUntil clock.Millis
	// connRefused is true from a refused connection to the next success, which
	// starts a warm-up: the target was restarted.
	connRefused bool
	// leaving is true once the target has said in a response that it leaves.
	leaving bool
	// pausedUntil is the end of the time in which the target wants no requests of
	// this host.
	pausedUntil clock.Millis
	// misdirected is true if another target was found at the address.
	misdirected bool
	// ranking holds the hosts of the zone in the order of rankHosts, owners the
	// first of them; owned is true if this host is one of the owners.
	ranking, owners []string
	owned           bool
	// starts holds the times at which this host sent requests in the last second, and
	// the last one before.
	starts []clock.Millis
	// banned is true if its version was rolled back.
	banned bool
	// trial is true if the target gets requests while its version has a small share.
	trial bool
	// changed is true if the target changed after the last call of TakeChanges.
	changed bool
}

// peerCount is the number n of requests in flight that a host reported at the
// time at.
type peerCount struct {
	n  int
	at clock.Millis
}

// totalInFlight returns the number of requests in flight at the target from all
// hosts, or the load that it reported if that is higher.
func (t *target) totalInFlight(now clock.Millis) int {
	n := t.inFlight
	for _, c := range t.peerInFlight {
		if now-c.at <= peerMaxAge {
			n += c.n
		}
	}
	if t.load.Known && now-t.loadAt <= loadMaxAge {
		n = max(n, t.load.Running+t.load.Waiting)
	}
	return n
}

// setPeerInFlight sets the number of requests in flight that another host reported, and
// forgets old numbers. A larger number than before shows a new request.
func (t *target) setPeerInFlight(now clock.Millis, host string, n int) {
	if c := t.peerInFlight[host]; n > c.n || n > 0 && now-c.at > peerMaxAge {
		t.requestedAt = now
	}
	t.peerInFlight[host] = peerCount{n, now}
	for h, c := range t.peerInFlight {
		if now-c.at > peerMaxAge {
			delete(t.peerInFlight, h)
		}
	}
}

// slots returns the number of requests that the target runs at a time, at least
// 1.
func (t *target) slots() int {
	if t.Slots > 0 {
		return t.Slots
	}
	return 1
}

func (t *target) cold(now clock.Millis) bool { return now < t.coldUntil }

// start records that a request is sent.
func (t *target) start(now clock.Millis) {
	k := 0
	for k+1 < len(t.starts) && now-t.starts[k+1] >= clock.Second {
		k++
	}
	t.starts = append(t.starts[k:], now)
	t.requestedAt = now
}

// startedLastSecond returns the number of requests that this host sent to the
// target in the last second.
func (t *target) startedLastSecond(now clock.Millis) int {
	n := len(t.starts)
	if n > 0 && now-t.starts[0] >= clock.Second {
		n--
	}
	for k := len(t.starts) - n; n > 0 && now-t.starts[k] >= clock.Second; k++ {
		n--
	}
	return n
}

// recordSuccess records a success of a request that was sent at sentAt. It does
// not clear failures after that time.
func (t *target) recordSuccess(sentAt clock.Millis) {
	t.okAt = max(t.okAt, sentAt)
	if sentAt <= t.failAt {
		return
	}
	t.consecutiveFailures = 0
	t.checked = false
	if t.successesNeeded > 0 {
		t.successesNeeded--
	}
	if t.successesNeeded == 0 {
		t.failedTrials = 0
	}
	t.probeAt = 0
}

// acceptedAfter is the time without a failure after which a request in flight
// counts as accepted by its target.
const acceptedAfter = 10 * clock.Millis(1)

// lastAcceptedAt returns when the target last accepted a request, as far as this
// host knows: one that succeeded or is still in flight.
func (t *target) lastAcceptedAt(now clock.Millis) clock.Millis {
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

// recordFailure records a failure after which the target needs at least
// successesNeeded successes to be healthy again.
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

// lastObservedAt returns the time of the last known success or failure.
func (t *target) lastObservedAt() clock.Millis { return max(t.okAt, t.failAt) }
