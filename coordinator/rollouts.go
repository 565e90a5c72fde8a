package coordinator

import (
	"expvar"

	"go.uber.org/zap"

	"github.com/carawayrack/carawayrack/catalog"
	"github.com/carawayrack/carawayrack/clock"
	"github.com/carawayrack/carawayrack/replica"
	"github.com/carawayrack/carawayrack/rollout"
)

const (
	// rolloutInterval is the time between two evaluations of the running roll-outs at
	// the leader.
	rolloutInterval = 100 * clock.Millis(1)
	// stepTimeout is the time after which a step that was not committed is proposed
	// again.
	stepTimeout = 1 * clock.Second
)

// rolloutTable holds the counts of the running roll-outs: those of this process's
// hosts until they are reported, and at the leader those of all hosts.
type rolloutTable struct {
	// unsent holds the last reports of hosts that the leader has not got.
	unsent   map[string]unsentReport
	monitors map[string]*rolloutMonitor
	// reviewedAt is the time of the last evaluation.
	reviewedAt clock.Millis
}

// unsentReport is a report with the time of its arrival.
type unsentReport struct {
	rollout.HostReport
	at clock.Millis
}

// rolloutMonitor is the monitor of one roll-out, with the step that was proposed last
// and when.
type rolloutMonitor struct {
	rollout.Monitor
	number, proposed uint64
	proposedAt       clock.Millis
	// last is the situation at the last evaluation, counts its totals.
	last   rollout.Situation
	totals rollout.Totals
}

func (t *rolloutTable) run() {
	t.unsent = map[string]unsentReport{}
	t.monitors = map[string]*rolloutMonitor{}
}

// reset forgets the counts: another process leads now.
func (t *rolloutTable) reset() { t.run() }

// recordRollouts records the report of a host.
func (r *Replica) recordRollouts(now clock.Millis, h rollout.HostReport) {
	if len(h.Reports) == 0 {
		return
	}
	if r.node.Role() != replica.Leader {
		r.rollouts.unsent[h.Host] = unsentReport{h, now}
		return
	}
	for _, p := range h.Reports {
		x, ok := r.state.Rollouts[p.Service]
		if !ok || x.State != catalog.RolloutRunning {
			continue
		}
		r.monitor(now, x).Report(now, r.elapsed(x), h, p)
	}
}

// takeRolloutReports returns the reports of hosts that are new since the last call,
// without those that waited for a leader for so long that they are stale.
func (t *rolloutTable) takeRolloutReports(now clock.Millis) []rollout.HostReport {
	var l []rollout.HostReport
	for _, h := range t.unsent {
		if now-h.at < hostTimeout {
			l = append(l, h.HostReport)
		}
	}
	t.unsent = map[string]unsentReport{}
	return l
}

// monitor returns the monitor of a running roll-out.
func (r *Replica) monitor(now clock.Millis, x catalog.Rollout) *rolloutMonitor {
	m := r.rollouts.monitors[x.Service]
	if m == nil || m.number != x.Number {
		m = &rolloutMonitor{number: x.Number}
		m.Run(now, x)
		r.rollouts.monitors[x.Service] = m
	}
	m.SetStep(now, x)
	return m
}

// elapsed returns the time since the order. It never goes back behind the last step:
// the clocks of machines differ.
func (r *Replica) elapsed(x catalog.Rollout) clock.Millis {
	return max(r.Wall.Now()-clock.Millis(x.At), x.Elapsed)
}

// reviewRollouts runs at every tick. At the leader it proposes the next steps of the
// running roll-outs.
func (r *Replica) reviewRollouts(now clock.Millis) {
	if r.node.Role() != replica.Leader || now-r.rollouts.reviewedAt < rolloutInterval {
		return
	}
	r.rollouts.reviewedAt = now
	for _, x := range r.state.Rollouts {
		if x.State == catalog.RolloutRunning {
			r.reviewRollout(now, x)
			continue
		}
		delete(r.rollouts.monitors, x.Service)
	}
}

func (r *Replica) reviewRollout(now clock.Millis, x catalog.Rollout) {
	m := r.monitor(now, x)
	s := rollout.Situation{Rollout: x, Elapsed: r.elapsed(x)}
	r.measureTargets(&s)
	m.Evaluate(now, r.Settings.Rollouts, &s, r.hostIDs(now))
	m.last, m.totals = s, m.Totals()
	n, ok := r.Settings.Rollouts.Next(s)
	if !ok || m.proposed == x.Revision && now-m.proposedAt < stepTimeout {
		return
	}
	b, err := catalog.Change{Step: &n}.Encode()
	if err != nil {
		r.Log.Error("encoding a step of a roll-out failed", zap.Error(err))
		return
	}
	if i, err := r.node.Propose(now, b); err != nil || i == 0 {
		return
	}
	m.proposed, m.proposedAt = x.Revision, now
	fresh, old := m.totals.Started()
	r.Log.Info("roll-out decision", zap.String("service", x.Service), zap.String("targetVersion", x.Version), zap.String("state", string(n.State)),
		zap.Int("step", n.Step), zap.Float64("share", n.Share), zap.String("reason", n.Reason), zap.Int64("elapsedMs", int64(s.Elapsed)),
		zap.Int64("sinceStepMs", int64(s.SinceStep)), zap.Int("requests", fresh), zap.Int("requestsOfOthers", old),
		zap.Int("bad", m.totals.Bad()), zap.Float64("ratePerS", s.Rate), zap.Bool("settled", s.Settled))
}

// measureTargets sets the capacities of the service's targets.
func (r *Replica) measureTargets(s *rollout.Situation) {
	for _, t := range r.state.Targets {
		if t.Service != s.Rollout.Service || t.Phase != catalog.Serving || r.state.EvacuatedZones[t.Zone] {
			continue
		}
		slots := max(t.Slots, 1)
		if t.Version != s.Rollout.Version {
			s.OldSlots += slots
			continue
		}
		s.NewSlots += slots
		if t.Cold > 0 {
			s.ColdSlots += slots
		}
	}
}

// hostIDs returns the IDs of all listed hosts.
func (r *Replica) hostIDs(now clock.Millis) []string {
	var l []string
	for _, h := range r.fleet.list(now).Hosts {
		l = append(l, h.ID)
	}
	return l
}

// logRollout logs an order or a step that was applied.
func (r *Replica) logRollout(c catalog.Change) {
	x := c.Order
	if x == nil {
		x = c.Step
	}
	if x == nil {
		return
	}
	s := r.state.Rollouts[x.Service]
	r.Log.Info("roll-out", zap.String("service", s.Service), zap.String("targetVersion", s.Version), zap.String("state", string(s.State)),
		zap.Int("step", s.Step), zap.Float64("share", s.Share), zap.String("reason", s.Reason), zap.Uint64("revision", s.Revision),
		zap.Bool("effective", s.Revision == r.state.Sequence))
}

// RolloutStatus is a roll-out as operators see it. The counts are known at the leader
// only, while the roll-out runs.
type RolloutStatus struct {
	Version  string       `json:"version"`
	State    string       `json:"state"`
	Step     int          `json:"step"`
	Share    float64      `json:"share"`
	Elapsed  clock.Millis `json:"elapsedMillis"`
	Reason   string       `json:"reason"`
	Requests int          `json:"requests"`
	Others   int          `json:"requestsOfOthers"`
	Answers  int          `json:"answers"`
	Bad      int          `json:"bad"`
	Settled  bool         `json:"settled"`
}

// publishRollouts publishes the last roll-outs as the metric "rollouts".
func (c *Coordinator) publishRollouts() {
	if expvar.Get("rollouts") == nil {
		expvar.Publish("rollouts", expvar.Func(c.rolloutMetrics))
	}
}

func (c *Coordinator) rolloutMetrics() any {
	d, err := c.State()
	if err != nil {
		// The replica does not answer; there is nothing to show.
		return nil
	}
	return d.Rollouts
}

// rolloutStatus returns the last roll-outs by service.
func (r *Replica) rolloutStatus() map[string]RolloutStatus {
	l := map[string]RolloutStatus{}
	for n, x := range r.state.Rollouts {
		s := RolloutStatus{Version: x.Version, State: string(x.State), Step: x.Step, Share: x.Share, Elapsed: x.Elapsed, Reason: x.Reason}
		if m := r.rollouts.monitors[n]; m != nil {
			s.Requests, s.Others = m.totals.Started()
			s.Answers, s.Bad, s.Settled = m.totals.Responses(), m.totals.Bad(), m.last.Settled
		}
		l[n] = s
	}
	return l
}
