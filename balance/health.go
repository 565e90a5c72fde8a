package balance

import (
	"github.com/carawayrack/carawayrack/clock"
)

// HealthChange is a change of what the host believes of a target.
type HealthChange struct {
	Target  string
	Healthy bool
	// Cause is the outcome that led to it, Host the host that saw it, empty
	// for this one.
	Cause  Outcome
	SeenBy string
	// SincePrevious is the time since the target's trust changed before.
	SincePrevious clock.Millis
	// FirstOwner is true if this host owns the target first.
	FirstOwner bool
}

// Done notes how a request ended that Pick had counted. It reports whether
// the target gained or lost trust by it.
func (p *Pool) Done(now clock.Millis, id string, r Result) (turned bool) {
	t := p.targets[id]
	if t == nil {
		return false
	}
	trusted := t.successesNeeded == 0
	t.inFlight = max(0, t.inFlight-1)
	t.probing = false
	t.changed = true
	if r.Load.Known {
		t.load, t.loadAt = r.Load, now
	}
	if r.Cold > 0 {
		t.coldUntil = now + r.Cold
	}
	p.applyResult(now, t, r)
	return trusted != (t.successesNeeded == 0)
}

// Overdue notes that a target has not answered a request in the usual time.
// It reports whether the target lost trust by it.
func (p *Pool) Overdue(now clock.Millis, id string) (turned bool) {
	t := p.targets[id]
	if t == nil {
		return false
	}
	trusted := t.successesNeeded == 0
	defer p.notifyHealthChange(now, t, trusted, TimedOut, "")
	t.recordFailure(now, 1)
	t.changed = true
	return trusted
}

// notifyHealthChange tells of a change of trust.
func (p *Pool) notifyHealthChange(now clock.Millis, t *target, before bool, o Outcome, host string) {
	if before == (t.successesNeeded == 0) {
		return
	}
	if p.OnHealthChange != nil {
		p.OnHealthChange(now, HealthChange{
			Target: t.ID, Healthy: !before, Cause: o, SeenBy: host, SincePrevious: now - t.healthChangedAt, FirstOwner: p.isFirstOwner(t),
		})
	}
	t.healthChangedAt = now
}

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
		t.load, t.loadAt = Load{Known: true, Running: t.slots() + maxQueuedAtTarget}, now
	}
}

// recordLatency averages latencies of the target and of the service.
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
