package edge

import (
	"go.uber.org/zap"

	"github.com/carawayrack/carawayrack/balance"
	"github.com/carawayrack/carawayrack/catalog"
	"github.com/carawayrack/carawayrack/clock"
	"github.com/carawayrack/carawayrack/rollout"
)

// setRollouts sets the last roll-outs of all services; v.mu is held. It logs the
// steps that are new to this host.
func (v *fleetView) setRollouts(l map[string]catalog.Rollout) {
	for n, r := range l {
		if v.recorder.SetRollout(r) {
			v.log.Info("roll-out step", zap.String("service", n), zap.String("targetVersion", r.Version), zap.String("state", string(r.State)),
				zap.Int("step", r.Step), zap.Float64("share", r.Share), zap.Uint64("revision", r.Revision))
		}
		v.pool(n).SetRollout(r)
	}
}

// rolloutReports returns the counts of the running roll-outs.
func (v *fleetView) rolloutReports(now clock.Millis) []rollout.ServiceReport {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.recorder.Reports(now)
}

// sampleSteps is the number of values of a sample.
const sampleSteps = 1 << 20

// rolloutSample returns the sample by which a request of a service is assigned to a
// version. It is drawn only during a roll-out.
func (v *fleetView) rolloutSample(service string) float64 {
	v.mu.Lock()
	defer v.mu.Unlock()
	if !v.recorder.Running(service) {
		return 0
	}
	return float64(v.random(sampleSteps)) / sampleSteps
}

// beginAttempt counts a request that is sent to a target.
func (v *fleetView) beginAttempt(now clock.Millis, service, route string, c balance.Choice) rollout.Attempt {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.recorder.Begin(now, service, route, c.Version, balance.Key(c.ID), c.Cold)
}

// endAttempt counts the end of a request that was sent to a target.
func (v *fleetView) endAttempt(now clock.Millis, a rollout.Attempt, o rollout.Outcome) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.recorder.End(now, a, o)
}

// rolloutOutcome returns what an outcome tells of the target's version. Targets that
// were not reached or did not run the request tell nothing.
func (a *attempt) rolloutOutcome(o balance.Outcome) rollout.Outcome {
	switch o {
	case balance.Served:
		return rollout.Served
	case balance.Failed, balance.Broken, balance.TimedOut:
		return rollout.Failed
	case balance.Cancelled:
		if a.superseded.Load() {
			return rollout.Overtaken
		}
	}
	return rollout.Ignored
}
