package balance

import (
	"slices"

	"github.com/carawayrack/carawayrack/clock"
)

// HealthCheck is a target whose health path is to be requested.
type HealthCheck struct {
	ID, Addr string
	// Born is the start of the target's incarnation.
	Born int64
}

const (
	// checkAfter is the time without an observation after which an unhealthy
	// target is checked. It is added once for each trial that has failed since the
	// target was healthy, up to maxCheckFactor times in all.
	checkAfter     = 1 * clock.Second
	maxCheckFactor = 3
	// checkers is the number of owners that check a target. Each begins checkAfter
	// later than the one before it: the path of the first may have failed.
	checkers = 3
	// costChecked is the risk of a target that passed its checks but has served no
	// request since its last failure, costCheckedLate that risk from checkedLate
	// after the failure on.
	costChecked     = 0.3
	costCheckedLate = 0.1
	checkedLate     = 10 * clock.Second
	// Requests that must not be repeated try a target again after as long a time as
	// it has been failing, within minTrialPause and maxTrialPause: at targets that
	// fail in spells of 10 to 20 s while their health path reports no problem, a
	// fixed time cost 5 to 15 requests in each spell.
	minTrialPause = 5 * clock.Second
	maxTrialPause = 15 * clock.Second
	// trialStagger is the additional part of the pause for each owner after the
	// first, so that owners do not try at the same time.
	trialStagger = 0.25
	// maxUnservedForPauses is the share of requests that are not served above which
	// there are no such pauses. While a tenth is not served, the floor of targets in
	// use binds, and a host sees only a few of the fleet's requests.
	maxUnservedForPauses = 0.05
	// checkedSuccessesNeeded is the number of successes that a target still needs
	// after it has passed enough checks. A health path may report a target as
	// healthy that fails its requests, so that the last successes must be those of
	// requests.
	checkedSuccessesNeeded = 2
	// probedByRequests is the time after the last request that may probe targets
	// in which there are no checks: such requests tell more.
	probedByRequests = 5 * clock.Second
)

// DueHealthChecks returns the unhealthy targets that this host should check now,
// because no request has probed them for a while: requests that must not be
// repeated are not sent to targets that need many successes. Each check must be
// ended with CheckDone.
func (p *Pool) DueHealthChecks(now clock.Millis) []HealthCheck {
	if p.hasProbes && now-p.probeRequestAt < probedByRequests {
		return nil
	}
	var l []HealthCheck
	for _, t := range p.order {
		if p.checkDue(now, t) {
			t.checkedAt, t.checking = now, true
			l = append(l, HealthCheck{t.ID, t.Addr, t.Born})
		}
	}
	return l
}

func (p *Pool) checkDue(now clock.Millis, t *target) bool {
	if t.successesNeeded <= checkedSuccessesNeeded || t.checking || t.probing || t.totalInFlight(now) > 0 {
		return false
	}
	if !p.inUse(t) || now < t.pausedUntil || t.cold(now) {
		return false
	}
	rank := slices.Index(t.owners, p.Self)
	if rank < 0 || rank >= checkers {
		return false
	}
	pause := checkAfter * clock.Millis(min(t.failedTrials+1, maxCheckFactor)+rank)
	return now-max(t.lastObservedAt(), t.checkedAt) >= pause
}

// CheckDone records the result of a check that was sent at sentAt. It reports
// whether the target changed.
func (p *Pool) CheckDone(id string, sentAt clock.Millis, passed bool) bool {
	t := p.targets[id]
	if t == nil {
		return false
	}
	t.checking = false
	if !passed || sentAt <= t.failAt || t.successesNeeded <= checkedSuccessesNeeded {
		return false
	}
	t.okAt = max(t.okAt, sentAt)
	t.successesNeeded--
	t.checked = true
	t.changed = true
	return true
}

// trialRisk returns the risk of a target that needs only the success of a request:
// the longer ago its failure, the less likely that it goes on failing.
func (p *Pool) trialRisk(now clock.Millis, t *target) float64 {
	at := t.failAt + p.trialPause(now, t)
	if now < at {
		return costUnhealthy
	}
	elapsed := float64(min(now-at, checkedLate)) / float64(checkedLate)
	return costChecked - (costChecked-costCheckedLate)*elapsed
}

// trialPause returns the time after the last failure of a target in which this host
// sends it no requests that must not be repeated. It is 0 while too many requests are
// not served: the targets in use may then be no better.
func (p *Pool) trialPause(now clock.Millis, t *target) clock.Millis {
	if p.unserved.share(now) > maxUnservedForPauses {
		return 0
	}
	pause := max(min(t.failAt-t.healthChangedAt, maxTrialPause), minTrialPause)
	rank := max(slices.Index(t.owners, p.Self), 0)
	return pause + clock.Millis(trialStagger*float64(rank)*float64(pause))
}
