package edge

import (
	"maps"
	"slices"

	"github.com/carawayrack/carawayrack/balance"
	"github.com/carawayrack/carawayrack/clock"
	"github.com/carawayrack/carawayrack/coordinator"
)

const (
	// outcomeReportBudget is the number of bytes a second that a host may send for its
	// counts of ended requests; see docs/design/load-and-scale.md.
	// outcomeReportDepth may be sent at once: one datagram to each of some 100 hosts.
	outcomeReportBudget = 1_000
	outcomeReportDepth  = 6_000
)

// outcomeReports limits what a host sends of its counts. Services take turns if the
// budget is not enough for all of them in each digest.
type outcomeReports struct {
	budget byteBudget
	next   int
}

// takeOutcomes returns counts of this host for the hosts of its zone, in the form of
// observations, as many as the budget allows. Alone is true if there is nothing else
// to send to them.
func (g *gossip) takeOutcomes(now clock.Millis, to []coordinator.Host, alone bool) []balance.Observation {
	receivers := len(to)
	if slices.ContainsFunc(to, g.view.isSelf) {
		receivers--
	}
	r := &g.outcomes
	r.budget.rate, r.budget.depth = outcomeReportBudget, outcomeReportDepth
	all := g.view.outcomes(now)
	var l []balance.Observation
	for range all {
		size := balance.ObservationSize
		if alone && len(l) == 0 {
			size += datagramHeader + tagSize + 2 + len(g.settings.ID)
		}
		if receivers <= 0 || !r.budget.spend(now, size*receivers) {
			break
		}
		l = append(l, all[r.next%len(all)])
		r.next++
	}
	return l
}

// outcomes returns the counts of this host by service, ordered by the services' names.
func (v *fleetView) outcomes(now clock.Millis) []balance.Observation {
	v.mu.Lock()
	defer v.mu.Unlock()
	var l []balance.Observation
	for _, n := range slices.Sorted(maps.Keys(v.pools)) {
		l = append(l, v.pools[n].Outcomes(now).Observation(n))
	}
	return l
}

// mergeOutcomes sets the counts of another host; v.mu is held.
func (v *fleetView) mergeOutcomes(now clock.Millis, host string, service uint16, o balance.Outcomes, at clock.Millis) {
	for n, p := range v.pools {
		if balance.ServiceKey(n) == service {
			p.SetPeerOutcomes(now, host, o, at)
		}
	}
}

// countOutcome counts a request of a service that has ended.
func (v *fleetView) countOutcome(now clock.Millis, service string, served bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.pool(service).CountOutcome(now, served)
}

// countEnd counts the end of the request, unless its caller has left.
func (c *call) countEnd(served bool) {
	if c.context.Err() != nil {
		return
	}
	c.host.view.countOutcome(c.host.Clock.Now(), c.service, served)
	name := c.service + ".unserved"
	if served {
		name = c.service + ".served"
	}
	c.host.metrics.requestsEnded.Add(name, 1)
}

// countRefusal counts a request as not served if the reason is its targets, not its
// caller or this host. Requests that are refused on arrival have no service yet.
func (c *call) countRefusal(x *refusal) {
	if c.service == "" {
		return
	}
	switch x.reason {
	case NoTarget, TargetsFull, TargetsLeaving, TargetsPaused, TargetFailed, OutOfTime:
		c.countEnd(false)
	}
}
