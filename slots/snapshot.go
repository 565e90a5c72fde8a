package slots

import "github.com/carawayrack/carawayrack/clock"

// Snapshot is the part of a pool's state that the leaseholder sends to the other
// members of the group, for the case that one of them becomes leaseholder.
type Snapshot struct {
	Service  string
	Baseline int64
	Targets  []TargetSnapshot
	Crashes  []CrashSnapshot
}

// TargetSnapshot is the state of one target. EjectedFor is the time left of its
// ejection, Latency the smoothed time to the first byte in microseconds, and
// Latencies the number of responses from which Latency was computed.
type TargetSnapshot struct {
	Announcement Announcement
	Limit        int
	Warm         bool
	Probation    bool
	Ejections    int
	EjectedFor   clock.Millis
	Latency      int64
	Latencies    int
}

// CrashSnapshot is the state of one request during which connections to targets
// broke. Targets identify the incarnations of these. RememberedFor is the time left until the broken connections no longer
// count, QuarantinedFor the time left of the request's quarantine.
type CrashSnapshot struct {
	Fingerprint    string
	Targets        []string
	RememberedFor  clock.Millis
	QuarantinedFor clock.Millis
}

// Snapshot returns the state to send to the other members.
func (p *Pool) Snapshot(now clock.Millis) Snapshot {
	s := Snapshot{Service: p.Service.Name, Baseline: p.baseline}
	for _, t := range p.sorted {
		if t.gone {
			continue
		}
		s.Targets = append(s.Targets, TargetSnapshot{
			Announcement: t.ann, Limit: t.limit, Warm: t.warm, Probation: t.probation,
			Ejections: t.ejections, EjectedFor: max(t.ejectedUntil-now, 0),
			Latency: t.stats.latency, Latencies: t.stats.latencySamples,
		})
	}
	for f, x := range p.crashes.byFingerprint {
		c := CrashSnapshot{Fingerprint: f, RememberedFor: x.expiresAt - now, QuarantinedFor: max(x.quarantinedUntil-now, 0)}
		for t := range x.incarnations {
			c.Targets = append(c.Targets, t)
		}
		s.Crashes = append(s.Crashes, c)
	}
	return s
}

// ApplySnapshot takes over the leaseholder's state. A target that this member
// knows under another incarnation keeps its state.
func (p *Pool) ApplySnapshot(now clock.Millis, s Snapshot) {
	p.baseline = s.Baseline
	for _, x := range s.Targets {
		p.applyTarget(now, x)
	}
	for _, c := range s.Crashes {
		x := &crash{incarnations: map[string]bool{}, expiresAt: now + c.RememberedFor}
		for _, t := range c.Targets {
			x.incarnations[t] = true
		}
		if c.QuarantinedFor > 0 {
			x.quarantinedUntil = now + c.QuarantinedFor
		}
		p.crashes.byFingerprint[c.Fingerprint] = x
	}
}

func (p *Pool) applyTarget(now clock.Millis, x TargetSnapshot) {
	t := p.targets[x.Announcement.Target]
	if t == nil {
		t = p.addTarget(x.Announcement)
		t.announcedAt = now
	}
	if t.ann.Incarnation != x.Announcement.Incarnation {
		return
	}
	t.limit = min(x.Limit, t.ann.Slots)
	t.warm = x.Warm
	t.probation = x.Probation
	t.ejections = x.Ejections
	t.stats.latency, t.stats.latencySamples = x.Latency, x.Latencies
	if x.EjectedFor > 0 {
		t.ejectedUntil = now + x.EjectedFor
	}
}
