package balance

import (
	"github.com/carawayrack/carawayrack/clock"
)

// HealthChange is a change between healthy and unhealthy of a target as this
// host sees it.
type HealthChange struct {
	// Target is the target's ID.
	Target string
	// Healthy is the state after the change.
	Healthy bool
	// Cause is the outcome of the request that led to the change: TimedOut also
	// if the request is overdue, Broken if another host reported the change.
	// SeenBy is the ID of that host, empty if this host saw the change itself.
	Cause  Outcome
	SeenBy string
	// SincePrevious is the time since the previous change, -1 if there was none.
	SincePrevious clock.Millis
	// FirstOwner is true if this host is the target's first owner.
	FirstOwner bool
}

// Done records the result of a request for which Pick chose the target. It
// reports whether the target became healthy or unhealthy by it.
func (p *Pool) Done(now clock.Millis, id string, r Result) (healthChanged bool) {
	t := p.targets[id]
	if t == nil {
		return false
	}
	healthy := t.successesNeeded == 0
	t.inFlight = max(0, t.inFlight-1)
	if t.probing && r.Outcome != Served && r.Outcome != Cancelled {
		t.failedTrials++
	}
	t.probing, t.trying = false, false
	t.changed = true
	if r.Load.Known {
		t.load, t.loadAt = r.Load, now
	}
	if r.Cold > 0 {
		t.coldUntil = now + r.Cold
	}
	p.applyResult(now, t, r)
	return healthy != (t.successesNeeded == 0)
}

// Overdue records that a target has not responded to a request within the usual
// time. It reports whether the target became unhealthy by it.
func (p *Pool) Overdue(now clock.Millis, id string) (healthChanged bool) {
	t := p.targets[id]
	if t == nil {
		return false
	}
	healthy := t.successesNeeded == 0
	defer p.notifyHealthChange(now, t, healthy, TimedOut, "")
	t.recordFailure(now, 1)
	t.changed = true
	return healthy
}

// notifyHealthChange calls OnHealthChange if the target's health differs from
// wasHealthy.
func (p *Pool) notifyHealthChange(now clock.Millis, t *target, wasHealthy bool, o Outcome, host string) {
	if wasHealthy == (t.successesNeeded == 0) {
		return
	}
	if p.OnHealthChange != nil {
		p.OnHealthChange(now, HealthChange{
			Target: t.ID, Healthy: !wasHealthy, Cause: o, SeenBy: host, SincePrevious: timeSince(now, t.healthChangedAt), FirstOwner: p.isFirstOwner(t),
		})
	}
	t.healthChangedAt = now
}

// applyResult updates the target's health, latency and load by the result of a
// request.
func (p *Pool) applyResult(now clock.Millis, t *target, r Result) {
	defer p.notifyHealthChange(now, t, t.successesNeeded == 0, r.Outcome, "")
	switch r.Outcome {
	case Served:
		if t.connRefused {
			t.connRefused = false
			t.coldUntil = max(t.coldUntil, now+p.Service.WarmUp)
		}
		t.recordSuccess(now - r.Took)
		p.recordLatency(t, float64(r.Took))
	case Failed:
		// Two successes are needed after the first failure in a row, one more
		// after each further one.
		t.recordFailure(now, min(t.consecutiveFailures+2, maxSuccessesNeeded))
	case Broken, TimedOut:
		t.recordFailure(now, maxSuccessesNeeded)
	case Silent:
		t.recordFailure(now, maxSuccessesNeeded)
		t.pathSuspected = true
	case Unreached:
		t.connRefused = true
		t.recordFailure(now, maxSuccessesNeeded)
	case Misdirected:
		t.misdirected = true
	case Shed:
		if now < t.pausedUntil {
			// The pause says how long the target is full.
			return
		}
		// The target counts as full for loadMaxAge.
		t.load, t.loadAt = Load{Known: true, Running: t.slots() + maxQueuedAtTarget}, now
	}
}

// recordLatency updates the average latencies of the target and the service by
// one response.
func (p *Pool) recordLatency(t *target, took float64) {
	if t.latency == 0 {
		t.latency = took
	}
	if p.averageLatency == 0 {
		p.averageLatency = took
	}
	t.latency += latencyWeight * (took - t.latency)
	p.averageLatency += latencyWeight / 4 * (took - p.averageLatency)
}
