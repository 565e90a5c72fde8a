package balance

import (
	"slices"

	"github.com/carawayrack/carawayrack/clock"
)

const (
	// manyUnserved is the share of unserved requests from which on unused targets are
	// tried. Deployments require 0.7 of the healthy targets in use within 2 s from a
	// tenth on: with a limit of 0.06 or 0.08 the requests came too late after a sudden
	// failure of many targets (docs/ROUNDS.md).
	manyUnserved = 0.05
	// unusedAfter is the time without a request after which a target counts as unused.
	// Deployments require requests at most of the healthy targets within 2 s; the
	// other second is for the next request of the owner to arrive.
	unusedAfter = 1 * clock.Second
	// calmUnusedAfter replaces it while few requests are not served, and recoveredAfter for
	// unhealthy and slow targets then: they may have recovered, but others serve.
	calmUnusedAfter = 1300 * clock.Millis(1)
	recoveredAfter  = 3 * clock.Second
	// unusedStagger is the additional time for each further owner: the first one may
	// have died or may get no requests, and in services with few targets a host gets
	// less than one request a second. It is ten times the delay of observations
	// between owners, so that a target rarely gets two such requests at once.
	unusedStagger = 200 * clock.Millis(1)
	// unusedOwners is the number of owners that try unused targets. While many requests are
	// not served, the last of them begins after 1.8 s, in time for the requirement.
	unusedOwners = 5
)

// UnusedTarget says why a target was chosen that had got no requests for a while.
type UnusedTarget struct {
	// Idle is the time since the last known request, -1 if none is known.
	Idle clock.Millis
	// Unserved is the share of unserved requests on which the choice is based.
	Unserved UnservedShare
}

// unused returns the target that has been without requests for longest and must be
// tried by a request of this host, nil if there is none. Requests that must not be repeated
// try targets too. While many requests are not served, the targets in use may be the worse
// ones; otherwise a fault may break off the requests at those in use at any moment, and the
// others must not be found unused then. Targets whose health checks have not passed are left
// out. Retries and hedges try none: a request of theirs has failed already.
func (p *Pool) unused(now clock.Millis, a Request) *target {
	if a.Repeated || !p.listed {
		return nil
	}
	many := p.UnservedShare(now).Many()
	var best *target
	for _, t := range p.order {
		if !p.unusedDue(now, t, many) || !p.usable(now, t, a) || t.totalInFlight(now) >= t.slots() {
			continue
		}
		if best == nil || t.requestedAt < best.requestedAt {
			best = t
		}
	}
	return best
}

// unusedDue reports whether this host should try a target because it is unused. Many is true if
// many requests are not served.
func (p *Pool) unusedDue(now clock.Millis, t *target, many bool) bool {
	after := unusedAfter
	switch {
	case many:
	case t.successesNeeded > 0 || p.slow(t):
		after = recoveredAfter
	default:
		after = calmUnusedAfter
	}
	rank := slices.Index(t.owners[:min(len(t.owners), unusedOwners)], p.Self)
	if rank < 0 || t.trying || now-t.requestedAt < after+clock.Millis(rank)*unusedStagger {
		return false
	}
	if t.successesNeeded > 0 && (t.probing || now < t.probeAt) {
		return false
	}
	return t.successesNeeded <= checkedSuccessesNeeded
}

// Many reports whether so many requests are not served, or so little is known of
// them, that unused targets must be tried.
func (s UnservedShare) Many() bool { return !s.Known || s.Share >= manyUnserved }
