package balance

import (
	"github.com/carawayrack/carawayrack/catalog"
	"github.com/carawayrack/carawayrack/clock"
)

const (
	// firstRetry and lastRetry bound the pause before a sick target is tried
	// again with a request that may be repeated.
	firstRetry = 250 * clock.Millis(1)
	lastRetry  = 500 * clock.Millis(1)
	// trustedAfter is the number of answers in a row that clear a target
	// whose connection broke.
	trustedAfter = 4
	// loadAge is how long a reported load counts.
	loadAge = 150 * clock.Millis(1)
	// peerAge is how long the count of another host counts.
	peerAge = 2 * clock.Second
	// latencyWeight is the weight of a new answer in the average latency.
	latencyWeight = 0.2
)

// target is what a host knows of one target.
type target struct {
	catalog.Target
	key uint32
	// mine counts this host's requests there, peers those of other hosts.
	mine  int
	peers map[string]peerCount
	// okAt and failAt are the times of the last answer and the last failure
	// that any host is known to have had.
	okAt, failAt clock.Millis
	// lacks is the number of answers that must come before the target is
	// trusted again; fails counts failures in a row.
	lacks, fails int
	retryAt      clock.Millis
	// farSick is true if other zones were told that the target is sick.
	farSick bool
	// path is true if the last failure may be one of the way there.
	path bool
	// turnedAt is when trust was gained or lost last.
	turnedAt  clock.Millis
	probing   bool
	latency   float64
	load      Load
	loadAt    clock.Millis
	coldUntil clock.Millis
	// refused is true after a connection was refused, until an answer.
	refused bool
	gone    bool
	// ranking holds the hosts of the zone by their claim to the target, owners
	// the first of them, own whether this host is one.
	ranking, owners []string
	own             bool
	starts          []clock.Millis
	changed         bool
}

type peerCount struct {
	n  int
	at clock.Millis
}

// busy returns the number of requests that the target is known to hold.
func (t *target) busy(now clock.Millis) int {
	n := t.mine
	for h, c := range t.peers {
		if now-c.at > peerAge {
			delete(t.peers, h)
			continue
		}
		n += c.n
	}
	if t.load.Known && now-t.loadAt <= loadAge {
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

// startedWithin counts the requests that were sent in the last second.
func (t *target) startedWithin(now clock.Millis) int {
	k := 0
	for k < len(t.starts) && now-t.starts[k] >= clock.Second {
		k++
	}
	t.starts = t.starts[k:]
	return len(t.starts)
}

// succeed notes an answer to a request that was sent at a time: it tells
// nothing of failures since then.
func (t *target) succeed(sentAt clock.Millis) {
	t.okAt = max(t.okAt, sentAt)
	if sentAt <= t.failAt {
		return
	}
	t.fails = 0
	if t.lacks > 0 {
		t.lacks--
	}
	t.retryAt = 0
}

// acceptedAfter is the time without a failure after which a request that is
// under way counts as taken by its target.
const acceptedAfter = 10 * clock.Millis(1)

// seenAt is the time at which the target was last known to take a request.
func (t *target) seenAt(now clock.Millis) clock.Millis {
	at := t.okAt
	if t.lacks > 0 || t.mine == 0 {
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

// fail notes a failure; lacks is the number of answers that clear it.
func (t *target) fail(now clock.Millis, lacks int) {
	t.failAt = max(t.failAt, now)
	t.path = false
	t.fails++
	t.lacks = max(t.lacks, lacks)
	pause := firstRetry
	for i := 1; i < t.fails && pause < lastRetry; i++ {
		pause = pause * 3 / 2
	}
	t.retryAt = now + min(pause, lastRetry)
}

func (t *target) heardAt() clock.Millis { return max(t.okAt, t.failAt) }
