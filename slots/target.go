package slots

import "github.com/carawayrack/carawayrack/clock"

// target is what the keeper knows of one target.
type target struct {
	ann         Announcement
	announcedAt clock.Millis
	gone        bool

	// limit is the number of requests that the target gets at a time.
	limit  int
	grants map[GrantID]*activeGrant
	// lastGrant is the number of the last grant.
	lastGrant uint64
	// warm targets have shown that they bear all their slots.
	warm          bool
	successes     int
	limitRaisedAt clock.Millis

	ejectedUntil clock.Millis
	ejections    int
	ejectedAt    clock.Millis
	// probation lasts from the return of an ejected target to its first
	// successes.
	probation bool

	stats targetStats
}

// inUse is the number of its slots that are granted.
func (t *target) inUse() int { return len(t.grants) }

func (t *target) leaving() bool { return t.ann.State == Leaving || t.gone }

func (t *target) ejected(now clock.Millis) bool { return now < t.ejectedUntil }

// targetStats sums up how requests on a target went.
type targetStats struct {
	// consecutiveFailures counts failures without a success between them; hosts are those
	// that reported them.
	consecutiveFailures int
	failingHosts        map[string]bool
	lastSuccess         clock.Millis
	lastSuccessByHost   map[string]clock.Millis
	// failureRate is the share of failureRate in per mille, smoothed.
	failureRate int
	samples     int
	// latency is the smoothed time to the first byte in microseconds.
	latency        int64
	latencySamples int
	// consecutiveSlow counts answers far above the service's usual latency.
	consecutiveSlow int
	// diedAt maps the fingerprints under which connections diedAt lately.
	diedAt map[string]clock.Millis
	// paths are the failures in a row for each host.
	paths map[string]*path
}

// path is what is known of a pair of host and target.
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

const (
	failureWeight = 10
	latencyWeight = 8
)

func (e *targetStats) recordResult(failed bool) {
	v := 0
	if failed {
		v = 1000
	}
	e.samples++
	e.failureRate += (v - e.failureRate) / min(e.samples, failureWeight)
}

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

// otherHostSucceeded reports whether another host had a success since a time.
func (e *targetStats) otherHostSucceeded(host string, since clock.Millis) bool {
	for h, at := range e.lastSuccessByHost {
		if h != host && at >= since {
			return true
		}
	}
	return false
}
