package rollout

import (
	"github.com/carawayrack/carawayrack/catalog"
	"github.com/carawayrack/carawayrack/clock"
)

// Settings are the bounds of roll-outs.
type Settings struct {
	// ExposureShare and ExposureSlack bound the requests to a bad version: a share
	// of all requests of the service during the roll-out, and a number beyond it.
	ExposureShare, ExposureSlack float64
	// Rollback is the time after the 50th bad response of a version from which it
	// must get no requests.
	Rollback clock.Millis
	// Revocation is the time after which a host without contact to the control
	// processes has stopped serving.
	Revocation clock.Millis
}

// The steps of a roll-out. Until a version has had time to show a fault that
// begins some seconds after its start, it gets few requests; then its share rises
// fast.
const (
	// stepFirst has a fixed share, since the rate of requests is not known yet.
	stepFirst = iota
	// stepSized has the share that gives a comparison enough responses.
	stepSized
	stepFifth
	stepHalf
	stepAll
)

const (
	// firstUse is the part of the exposure that the first steps may use, slackUse that
	// of its slack. The rest is left for the responses that are under way when a fault
	// is found.
	firstUse = 0.4
	slackUse = 0.6
	// minShare is the smallest share of a step: a version without requests cannot be
	// evaluated.
	minShare = 0.002
	// maxSizedShare bounds the share of stepSized.
	maxSizedShare = 0.35
	// sizedGain is the gain in share without which stepSized is skipped.
	sizedGain = 1.25
	// sizeAfter is the time in which the rate of requests is measured.
	sizeAfter = 1 * clock.Second
	// maxDwell and minDwell bound the time between two steps: the responses to the
	// requests of a step, about half a second, and reports of hosts, 0.3 s, must
	// arrive in it. It is shorter only if a new leader has little time left.
	maxDwell = 850 * clock.Millis(1)
	minDwell = 250 * clock.Millis(1)
	// minResponses is the number of responses in a step before the next one, unless
	// the step has lasted patience times the duration.
	minResponses = 12
	patience     = 0.1
	// minRouteResponses is the number of responses that each route should have before
	// a step: a fault may be on one route only.
	minRouteResponses = 24
	minRouteShare     = 0.03
	// expectedResponses is the number of responses that should have arrived from
	// which a version without any is not given more requests.
	expectedResponses = 4
	// minSlots is the smallest capacity of the new version, as a share of that of
	// the others, with which it gets all requests, maxColdSlots the largest share of
	// it that may be cold, until coldUntil of the duration.
	minSlots     = 0.5
	maxColdSlots = 0.25
	coldUntil    = 0.7
	// settleUntil is the part of the duration after which a roll-out is completed
	// although some host has not confirmed the last step.
	settleUntil = 0.93
	// overtime is the part of the duration after its end in which a version that
	// has half of the requests is still moved on.
	overtime = 0.2
)

// ramp holds the share of the steps after stepSized and when they begin, as parts of
// the duration: bad versions show their fault after 3 s at the latest, and three
// quarters of the duration leave time for a new leader.
var ramp = map[int]struct{ at, share float64 }{
	stepFifth: {0.44, 0.2}, stepHalf: {0.52, 0.5}, stepAll: {0.6, 1},
}

// FirstShare returns the share of the new version from the order on.
func (s Settings) FirstShare() float64 { return max(firstUse*s.ExposureShare, minShare) }

// sizedShare returns the share with which the first steps use their part of
// the exposure at a rate of requests a second.
func (s Settings) sizedShare(rate float64, d clock.Millis) float64 {
	seconds := ramp[stepFifth].at * float64(d) / float64(clock.Second)
	share := s.FirstShare() + slackUse*s.ExposureSlack/max(rate*seconds, 1)
	return min(share, maxSizedShare)
}

// Situation is what the leader knows of a running roll-out.
type Situation struct {
	Rollout catalog.Rollout
	// Elapsed is the time since the order, SinceStep that since this leader has held
	// the present step.
	Elapsed, SinceStep clock.Millis
	// Rate is the number of requests a second of the service, zero if unknown.
	Rate float64
	// Responses is the number of responses of the new version that this leader
	// learned of in the present step.
	Responses int
	// RouteResponses is the number of responses of the new version since the order on
	// the route that has the fewest, of those with minRouteShare of the responses.
	RouteResponses int
	// NewSlots and OldSlots are the capacities of the new version's targets and of the
	// others, ColdSlots is the part of NewSlots that is cold.
	NewSlots, OldSlots, ColdSlots int
	// Settled is true if all hosts hold the present step and no request is in flight
	// at targets of other versions.
	Settled bool
	Verdict Verdict
}

// Next returns the next step of a roll-out, and false if it is not due.
func (s Settings) Next(x Situation) (catalog.Rollout, bool) {
	n := x.Rollout
	n.Elapsed = x.Elapsed
	if x.Verdict.Bad {
		return end(n, catalog.RolloutRolledBack, x.Verdict.Reason), true
	}
	if n.Share == 0 {
		n.Share, n.Reason = s.FirstShare(), "started"
		return n, true
	}
	if n.Step >= stepAll {
		return s.finish(x, n)
	}
	if x.Elapsed >= x.timeLimit() {
		return end(n, catalog.RolloutRolledBack, "the time limit was reached"), true
	}
	if n.Step == stepFirst {
		share := s.sizedShare(x.Rate, n.Duration)
		if x.SinceStep >= sizeAfter && x.Rate > 0 && share >= sizedGain*n.Share && x.Elapsed < x.part(ramp[stepFifth].at) {
			n.Step, n.Share, n.Reason = stepSized, share, "the rate of requests is known"
			return n, true
		}
	}
	next := max(n.Step+1, stepFifth)
	if x.Elapsed < x.part(ramp[next].at) || x.SinceStep < x.dwell() || !x.proven() || !x.hasCapacity(next) {
		return n, false
	}
	n.Step, n.Share, n.Reason = next, max(n.Share, ramp[next].share), "no fault was found"
	return n, true
}

// finish completes a roll-out in which the new version gets all requests.
func (s Settings) finish(x Situation, n catalog.Rollout) (catalog.Rollout, bool) {
	if x.silent() && x.Elapsed >= n.Duration {
		return end(n, catalog.RolloutRolledBack, "the version does not respond"), true
	}
	if x.SinceStep < x.dwell() || !x.proven() && x.Elapsed < n.Duration {
		return n, false
	}
	if x.Settled || x.Elapsed >= x.part(settleUntil) {
		return end(n, catalog.RolloutCompleted, "no fault was found"), true
	}
	return n, false
}

func end(n catalog.Rollout, s catalog.RolloutState, reason string) catalog.Rollout {
	n.State, n.Step, n.Reason, n.Share = s, n.Step+1, reason, 0
	if s == catalog.RolloutCompleted {
		n.Share = 1
	}
	return n
}

// part returns a part of the duration.
func (x Situation) part(p float64) clock.Millis { return clock.Millis(p * float64(x.Rollout.Duration)) }

// timeLimit returns when a roll-out ends that has not reached its last step.
func (x Situation) timeLimit() clock.Millis {
	if x.Rollout.Step >= stepHalf {
		return x.part(1 + overtime)
	}
	return x.Rollout.Duration
}

// dwell returns the shortest duration of the present step.
func (x Situation) dwell() clock.Millis {
	left := (x.part(settleUntil) - x.Elapsed + x.SinceStep) / clock.Millis(stepAll+1-min(x.Rollout.Step, stepAll)+1)
	return max(min(left, maxDwell), minDwell)
}

// proven reports whether there were enough responses in the present step.
func (x Situation) proven() bool {
	if x.Responses >= minResponses && x.RouteResponses >= minRouteResponses {
		return true
	}
	if x.silent() {
		return false
	}
	return x.SinceStep >= x.part(patience) || x.Elapsed >= x.part(settleUntil)
}

// silent reports whether the new version does not respond although it should get
// requests.
func (x Situation) silent() bool {
	expected := x.Rate * x.Rollout.Share * float64(x.SinceStep) / float64(clock.Second)
	return x.Responses == 0 && expected >= expectedResponses
}

// hasCapacity reports whether the new version can take the requests of a step.
func (x Situation) hasCapacity(step int) bool {
	if x.NewSlots == 0 {
		return false
	}
	if step < stepHalf {
		return true
	}
	warm := float64(x.ColdSlots) <= maxColdSlots*float64(x.NewSlots) || x.Elapsed >= x.part(coldUntil)
	return warm && float64(x.NewSlots) >= minSlots*float64(x.OldSlots)
}
