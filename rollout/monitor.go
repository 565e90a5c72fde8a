package rollout

import (
	"github.com/carawayrack/carawayrack/catalog"
	"github.com/carawayrack/carawayrack/clock"
)

const (
	// snapshotInterval is the time between two snapshots of the counts, window the
	// age up to which they are kept. A fault that begins late shows in the responses
	// of the window.
	snapshotInterval = 250 * clock.Millis(1)
	window           = 2 * clock.Second
	// takenOverAfter is the age of a roll-out from which the first counts of a host
	// are those that a former leader has used.
	takenOverAfter = 1 * clock.Second
)

// Monitor collects the reports of hosts on one roll-out at the leader.
type Monitor struct {
	hosts     map[string]*hostState
	snapshots []snapshot
	// rollout is the last step seen, stepAt when this leader saw it first,
	// responses the number of responses then.
	rollout   catalog.Rollout
	stepAt    clock.Millis
	startedAt clock.Millis
	responses int
}

// hostState is the last report of a host. Base is the number of responses that its
// first report had, if a former leader may have used them.
type hostState struct {
	instance uint64
	leaving  bool
	at       clock.Millis
	report   ServiceReport
	base     int
}

type snapshot struct {
	at     clock.Millis
	totals Totals
}

// Run initializes the monitor of a roll-out.
func (m *Monitor) Run(now clock.Millis, r catalog.Rollout) {
	m.hosts = map[string]*hostState{}
	m.rollout, m.stepAt, m.startedAt = r, now, now
}

// SetStep notes the step that a roll-out has reached.
func (m *Monitor) SetStep(now clock.Millis, r catalog.Rollout) {
	if r.Revision == m.rollout.Revision {
		return
	}
	m.rollout, m.stepAt, m.responses = r, now, m.allResponses()
}

// window returns the age up to which snapshots are kept. The responses of a bad
// version must fill it well before Rollback has passed.
func (s Settings) window() clock.Millis { return min(window, s.Rollback/2) }

// Report records a report of a host. Elapsed is the time since the order.
func (m *Monitor) Report(now, elapsed clock.Millis, h HostReport, r ServiceReport) {
	if r.Number != m.rollout.Number {
		return
	}
	s := m.hosts[h.Host]
	if s == nil {
		s = &hostState{}
		if elapsed > takenOverAfter && now-m.startedAt < window {
			s.base = responses(r)
		}
		m.hosts[h.Host] = s
	}
	if s.instance != h.Instance && s.instance != 0 {
		s.base = 0
	}
	s.instance, s.leaving, s.at, s.report = h.Instance, h.Leaving, now, r
}

func responses(r ServiceReport) int {
	n := 0
	for _, x := range r.Rows {
		if x.New {
			n += int(x.Served + x.Failed)
		}
	}
	return n
}

// allResponses returns the number of responses of the new version that this leader
// learned of.
func (m *Monitor) allResponses() int {
	n := 0
	for _, s := range m.hosts {
		n += max(responses(s.report)-s.base, 0)
	}
	return n
}

// Totals returns the counts of all hosts.
func (m *Monitor) Totals() Totals {
	l := make([]ServiceReport, 0, len(m.hosts))
	for _, s := range m.hosts {
		l = append(l, s.report)
	}
	return sum(l)
}

// Evaluate completes a situation by what the hosts reported. Hosts are the IDs of
// all hosts that are known.
func (m *Monitor) Evaluate(now clock.Millis, s Settings, x *Situation, hosts []string) {
	t := m.Totals()
	x.SinceStep = now - m.stepAt
	x.Responses = max(m.allResponses()-m.responses, 0)
	x.RouteResponses = t.routeResponses()
	x.Settled = m.settled(now, s, hosts)
	recent := Totals{}
	if len(m.snapshots) > 0 {
		o := m.snapshots[0]
		recent = t.Since(o.totals)
		if took := now - o.at; took >= sizeAfter/2 {
			fresh, old := recent.Started()
			x.Rate = float64(fresh+old) * float64(clock.Second) / float64(took)
		}
	}
	if x.Verdict = t.Judge(); !x.Verdict.Bad {
		x.Verdict = recent.comparable(t).Judge()
	}
	if k := len(m.snapshots); k == 0 || now-m.snapshots[k-1].at >= snapshotInterval {
		m.snapshots = append(m.snapshots, snapshot{now, t})
	}
	for len(m.snapshots) > 1 && now-m.snapshots[1].at >= s.window() {
		m.snapshots = m.snapshots[1:]
	}
}

// settled reports whether no host sends requests to targets of other versions any
// more: each holds the present step and has none in flight there, or has stopped
// serving because it was without contact for too long. A host that drained before
// its last report has ended.
func (m *Monitor) settled(now clock.Millis, s Settings, hosts []string) bool {
	for _, id := range hosts {
		if m.hosts[id] == nil && now-m.startedAt < s.Revocation {
			return false
		}
	}
	for _, h := range m.hosts {
		silent := now - h.at
		if silent >= s.Revocation || h.leaving && silent >= leavingTimeout {
			continue
		}
		if h.report.Revision != m.rollout.Revision || h.report.OldInFlight > 0 {
			return false
		}
	}
	return true
}

// leavingTimeout is the time without a report after which a host that drained has
// ended.
const leavingTimeout = 1500 * clock.Millis(1)
