package edge

import "github.com/carawayrack/carawayrack/healthcheck"

// healthChecker returns the checker of the targets of the host's services.
func (h *Host) healthChecker() *healthcheck.Checker {
	n := h.Headers
	return &healthcheck.Checker{
		Clock: h.Clock, Log: h.Log, Pool: h.targetConns,
		Headers: healthcheck.Headers{ExpectedTarget: n.ExpectedTarget, Target: n.Target, RequestID: n.RequestID},
		Paused:  h.leaving.Load, Due: h.view.dueHealthChecks, Wanted: h.view.wanted,
		Heed: h.heed, Done: h.healthCheckDone, Results: h.metrics.checks,
	}
}

// healthCheckDone records the result of a health check and tells other hosts if need be.
func (h *Host) healthCheckDone(c *healthcheck.Check, passed bool) {
	if h.view.healthCheckDone(c, passed) {
		h.gossip.broadcastHealth(c.Service, c.Target.ID, true)
	}
}
