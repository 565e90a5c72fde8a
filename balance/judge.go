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
	trusted := t.lacks == 0
	t.mine = max(0, t.mine-1)
	t.probing = false
	t.changed = true
	if r.Load.Known {
		t.load, t.loadAt = r.Load, now
	}
	if r.Cold > 0 {
		t.coldUntil = now + r.Cold
	}
	p.judge(now, t, r)
	return trusted != (t.lacks == 0)
}

// Overdue notes that a target has not answered a request in the usual time.
// It reports whether the target lost trust by it.
func (p *Pool) Overdue(now clock.Millis, id string) (turned bool) {
	t := p.targets[id]
	if t == nil {
		return false
	}
	trusted := t.lacks == 0
	defer p.believe(now, t, trusted, TimedOut, "")
	t.fail(now, 1)
	t.changed = true
	return trusted
}

// believe tells of a change of trust.
func (p *Pool) believe(now clock.Millis, t *target, before bool, o Outcome, host string) {
	if before == (t.lacks == 0) {
		return
	}
	if p.OnHealthChange != nil {
		p.OnHealthChange(now, HealthChange{
			Target: t.ID, Healthy: !before, Cause: o, SeenBy: host, SincePrevious: now - t.turnedAt, FirstOwner: p.first(t),
		})
	}
	t.turnedAt = now
}

func (p *Pool) judge(now clock.Millis, t *target, r Result) {
	defer p.believe(now, t, t.lacks == 0, r.Outcome, "")
	switch r.Outcome {
	case Served:
		if t.refused {
			t.refused = false
			t.coldUntil = max(t.coldUntil, now+p.Service.WarmUp)
		}
		t.succeed(now - r.Took)
		p.timed(t, float64(r.Took))
	case Failed:
		t.fail(now, min(t.fails+2, trustedAfter))
	case Broken, TimedOut:
		t.fail(now, trustedAfter)
	case Silent:
		t.fail(now, trustedAfter)
		t.path = true
	case Unreached:
		t.refused = true
		t.fail(now, trustedAfter)
	case Misdirected:
		t.gone = true
	case Shed:
		t.load, t.loadAt = Load{Known: true, Running: t.slots() + queueBeyond}, now
	}
}

// timed averages latencies of the target and of the service.
func (p *Pool) timed(t *target, took float64) {
	if t.latency == 0 {
		t.latency = took
	}
	if p.typical == 0 {
		p.typical = took
	}
	t.latency += latencyWeight * (took - t.latency)
	p.typical += latencyWeight / 4 * (took - p.typical)
}
