package balance

import (
	"github.com/carawayrack/carawayrack/clock"
)

// Belief is a change of what the host believes of a target.
type Belief struct {
	Target  string
	Trusted bool
	// Cause is the outcome that led to it, Host the host that saw it, empty
	// for this one.
	Cause Outcome
	Host  string
	// Since is the time since the target's trust changed before.
	Since clock.Millis
}

// Done notes how a request ended that Pick had counted.
func (p *Pool) Done(now clock.Millis, id string, r Result) {
	t := p.targets[id]
	if t == nil {
		return
	}
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
}

// Overdue notes that a target has not answered a request in the usual time.
func (p *Pool) Overdue(now clock.Millis, id string) {
	if t := p.targets[id]; t != nil {
		defer p.believe(now, t, t.lacks == 0, TimedOut, "")
		t.fail(now, 1)
		t.changed = true
	}
}

// believe tells of a change of trust.
func (p *Pool) believe(now clock.Millis, t *target, before bool, o Outcome, host string) {
	if p.Believe == nil || before == (t.lacks == 0) {
		return
	}
	p.Believe(now, Belief{Target: t.ID, Trusted: !before, Cause: o, Host: host, Since: now - t.turnedAt})
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
