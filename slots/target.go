package slots

import "github.com/carawayrack/carawayrack/clock"

// target is the state of one target.
type target struct {
	ann         Announcement
	announcedAt clock.Millis
	// gone is true if there were neither announcements nor successes for
	// announceTimeout, until the next announcement.
	gone bool

	// limit is the number of concurrent requests that the target may have.
	limit  int
	grants map[GrantID]*activeGrant
	// lastGrant is the value of the pool's grantCount after the target's last
	// grant.
	lastGrant uint64
	// warm is true once the limit was raised to all announced slots. successes
	// counts the successes that were not slow since the limit was last raised or
	// reset.
	warm          bool
	successes     int
	limitRaisedAt clock.Millis

	ejectedUntil clock.Millis
	// ejections counts the ejections that make the next one longer.
	ejections int
	ejectedAt clock.Millis
	// probation lasts from an ejection until the limit is first raised
	// afterwards.
	probation bool

	stats targetStats
}

// inUse returns the number of granted slots.
func (t *target) inUse() int { return len(t.grants) }

func (t *target) leaving() bool { return t.ann.State == Leaving || t.gone }

func (t *target) ejected(now clock.Millis) bool { return now < t.ejectedUntil }

// targetStats summarizes the outcomes of requests on a target.
type targetStats struct {
	// consecutiveFailures counts the failures since the last success,
	// failingHosts are the hosts that reported them.
	consecutiveFailures int
	failingHosts        map[string]bool
	lastSuccess         clock.Millis
	lastSuccessByHost   map[string]clock.Millis
	// failureRate is the smoothed share of failures in per mille.
	failureRate int
	samples     int
	// latency is the smoothed time to the first byte in microseconds.
	latency        int64
	latencySamples int
	// consecutiveSlow counts the slow responses since the last one that was not.
	consecutiveSlow int
	// diedAt holds, by fingerprint, when a connection last broke during a
	// request.
	diedAt map[string]clock.Millis
	// paths holds the state of the path from each host.
	paths map[string]*path
}

// path is the state of the path from a host to a target.
type path struct {
	consecutiveFailures int
	avoidUntil          clock.Millis
	timesAvoided        int
}

func newStats() targetStats {
	return targetStats{
		failingHosts: map[string]bool{}, lastSuccessByHost: map[string]clock.Millis{},
		diedAt: map[string]clock.Millis{}, paths: map[string]*path{},
	}
}

// A new sample counts for one part in failureWeight or latencyWeight of the
// smoothed value.
const (
	failureWeight = 10
	latencyWeight = 8
)

// recordResult updates the failure rate.
func (e *targetStats) recordResult(failed bool) {
	v := 0
	if failed {
		v = 1000
	}
	e.samples++
	e.failureRate += (v - e.failureRate) / min(e.samples, failureWeight)
}

// recordLatency updates the smoothed latency.
func (e *targetStats) recordLatency(d clock.Millis) {
	v := int64(d) * 1000
	e.latencySamples++
	e.latency += (v - e.latency) / int64(min(e.latencySamples, latencyWeight))
}

func (e *targetStats) path(host string) *path {
	p := e.paths[host]
	if p == nil {
		p = &path{}
		e.paths[host] = p
	}
	return p
}

// otherHostSucceeded reports whether another host had a success at or after since.
func (e *targetStats) otherHostSucceeded(host string, since clock.Millis) bool {
	for h, at := range e.lastSuccessByHost {
		if h != host && at >= since {
			return true
		}
	}
	return false
}
