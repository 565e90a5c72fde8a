package slots

import (
	"fmt"

	"github.com/carawayrack/carawayrack/clock"
	"github.com/carawayrack/carawayrack/journal"
)

const (
	// raiseSuccesses is the number of successes at a limit, for each slot of
	// it, that raise it by one.
	raiseSuccesses = 3
	// raiseInterval is the shortest time between two raises.
	raiseInterval = 250 * clock.Millis(1)
	// overdueFactor and overdueMin tell a request that takes too long from
	// one that is only slow.
	overdueFactor = 4
	overdueMin    = 200 * clock.Millis(1)
	// slowFactor and slowMargin tell a cold target's answers from warm ones.
	slowFactor            = 3
	slowMargin            = 30 * clock.Millis(1)
	slowResponsesForReset = 2
)

// coldLimit is what a target in a cold start bears.
func (p *Pool) coldLimit(a Announcement) int {
	n := a.ColdSlots
	if n <= 0 {
		n = p.Service.ColdSlots
	}
	return max(min(n, a.Slots), 0)
}

// currentLimit is the number of requests that a target may have now. A target with
// an overdue request may have fallen back into a cold start unnoticed.
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

func (p *Pool) overdue(now clock.Millis, t *target) bool {
	d := max(clock.Millis(p.baseline/1000)*overdueFactor, overdueMin)
	for _, g := range t.grants {
		if g.idempotent && now-g.since > d {
			return true
		}
	}
	return false
}

// resetToCold takes a target back to what it bears in a cold start.
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

// countSuccess raises the limit of a cold target after successes at normal speed.
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

// slow reports whether an answer took far longer than the service's usual.
func (p *Pool) slow(d clock.Millis) bool {
	b := clock.Millis(p.baseline / 1000)
	return p.baseline > 0 && d > b*slowFactor && d > b+slowMargin
}
