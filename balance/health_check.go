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

// checkedRisk returns the risk of a target that needs only the success of a
// request: the longer ago its failure, the less likely that it goes on failing.
func (t *target) checkedRisk(now clock.Millis) float64 {
	elapsed := float64(min(now-t.failAt, checkedLate)) / float64(checkedLate)
	return costChecked - (costChecked-costCheckedLate)*elapsed
}
