package slots

import (
	"fmt"

	"github.com/carawayrack/carawayrack/clock"
	"github.com/carawayrack/carawayrack/journal"
)

const (
	// raiseSuccesses is the number of successes, for each slot of the current
	// limit, after which the limit is raised by one.
	raiseSuccesses = 3
	// raiseInterval is the shortest time between two raises of a limit.
	raiseInterval = 250 * clock.Millis(1)
	// A request is overdue if it takes more than overdueFactor times the
	// usual latency, and more than overdueMin.
	overdueFactor = 4
	overdueMin    = 200 * clock.Millis(1)
	// A response counts as slow, like that of a cold target, if it takes more
	// than slowFactor times the usual latency, and also more than the usual
	// latency plus slowMargin. After slowResponsesForReset of them in a row the
	// target counts as cold.
	slowFactor            = 3
	slowMargin            = 30 * clock.Millis(1)
	slowResponsesForReset = 2
)

// coldLimit returns the number of concurrent requests that a target can handle in
// a cold start.
func (p *Pool) coldLimit(a Announcement) int {
	n := a.ColdSlots
	if n <= 0 {
		n = p.Service.ColdSlots
	}
	return max(min(n, a.Slots), 0)
}

// currentLimit returns the number of concurrent requests that a target may have
// now. A target with an overdue request gets its cold limit, since it may be in a
// cold start that it has not announced.
func (p *Pool) currentLimit(now clock.Millis, t *target) int {
	n := t.limit
	if t.ann.State == Cold {
		n = min(n, p.coldLimit(t.ann))
	}
	if t.inUse() > 0 && n > p.coldLimit(t.ann) && p.overdue(now, t) {
		n = p.coldLimit(t.ann)
	}
	return n
}

// overdue reports whether an idempotent request on the target is overdue. Only
// idempotent requests show how long a target takes.
func (p *Pool) overdue(now clock.Millis, t *target) bool {
	d := max(clock.Millis(p.baseline/1000)*overdueFactor, overdueMin)
	for _, g := range t.grants {
		if g.idempotent && now-g.since > d {
			return true
		}
	}
	return false
}

// resetToCold sets the limit of a target back to its cold limit.
func (p *Pool) resetToCold(now clock.Millis, t *target, cause string) {
	if t.warm || t.limit > p.coldLimit(t.ann) {
		p.recordEvent(journal.TargetCold, t.ann.Target, cause, fmt.Sprintf("limit %d", t.limit))
	}
	t.limit = p.coldLimit(t.ann)
	t.warm = false
	t.successes = 0
	t.limitRaisedAt = now
	t.stats.consecutiveSlow = 0
}

// countSuccess counts a success that was not slow. After enough of them it raises
// the limit of a target that is not warm and ends its probation.
func (p *Pool) countSuccess(now clock.Millis, t *target) {
	if t.warm || t.ann.State == Cold {
		return
	}
	t.successes++
	if t.successes < raiseSuccesses*max(t.limit, 1) || now-t.limitRaisedAt < raiseInterval {
		return
	}
	if t.probation {
		t.probation = false
		p.recordEvent(journal.TargetReturned, t.ann.Target, "probation passed", fmt.Sprintf("%d successes", t.successes))
	}
	t.successes = 0
	t.limitRaisedAt = now
	t.limit = min(t.limit+1, t.ann.Slots)
	if t.limit >= t.ann.Slots {
		t.warm = true
		p.recordEvent(journal.TargetWarm, t.ann.Target, "ramped", fmt.Sprintf("limit %d", t.limit))
	}
}

// slow reports whether a latency is far above the usual one of the service.
func (p *Pool) slow(d clock.Millis) bool {
	b := clock.Millis(p.baseline / 1000)
	return p.baseline > 0 && d > b*slowFactor && d > b+slowMargin
}
