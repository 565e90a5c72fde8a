package edge

import (
	"expvar"

	"github.com/carawayrack/carawayrack/balance"
	"github.com/carawayrack/carawayrack/latency"
)

// metrics are the counters of the host.
type metrics struct {
	// responses counts by service and class of status, refusals by reason,
	// attempts by service and outcome.
	responses, refusals, attempts *expvar.Map
	// stopRefusals counts the refusals of a planned stop by cause; see shutdown.Cause.
	stopRefusals *expvar.Map
	// notices counts by service the responses in which targets said that they leave
	// or want a pause.
	notices *expvar.Map
	// hedges counts slow requests by service and reason: the first one against a hedge,
	// and started for each hedge. Hedges whose responses callers got count as won. hedgeShare is the share of hedges
	// by service. Both have only services with a limit.
	hedges, hedgeShare *expvar.Map
	// checks counts health checks by service and result.
	checks *expvar.Map
	// requestsEnded counts requests by service and whether they were served,
	// unusedTargets those that tried an unused target.
	requestsEnded, unusedTargets *expvar.Map
	// bytes counts bytes sent: observations as nearEvidence (within the local
	// zone) and farEvidence (to other zones), the buffered parts of request
	// bodies as nearBodies and farBodies.
	bytes *expvar.Map
	// streams counts responses by service that were streamed to callers, and those of
	// them that broke off: by the cause, the target, the caller or the deadline.
	streams *expvar.Map
	latency latency.Histograms
}

func newMetrics() *metrics {
	m := &metrics{responses: new(expvar.Map), refusals: new(expvar.Map), stopRefusals: new(expvar.Map), attempts: new(expvar.Map), checks: new(expvar.Map), requestsEnded: new(expvar.Map), unusedTargets: new(expvar.Map), notices: new(expvar.Map), hedges: new(expvar.Map), hedgeShare: new(expvar.Map), bytes: new(expvar.Map), streams: new(expvar.Map)}
	if expvar.Get("answers") == nil {
		expvar.Publish("answers", m.responses)
		expvar.Publish("refusals", m.refusals)
		expvar.Publish("stopRefusals", m.stopRefusals)
		expvar.Publish("attempts", m.attempts)
		expvar.Publish("checks", m.checks)
		expvar.Publish("requestsEnded", m.requestsEnded)
		expvar.Publish("unusedTargets", m.unusedTargets)
		expvar.Publish("notices", m.notices)
		expvar.Publish("hedges", m.hedges)
		expvar.Publish("hedgeShare", m.hedgeShare)
		expvar.Publish("bytes", m.bytes)
		expvar.Publish("streams", m.streams)
		expvar.Publish("latencyMs", expvar.Func(m.latency.Summary))
	}
	return m
}

// countBytes counts n bytes sent to the local zone or to a remote one.
func (m *metrics) countBytes(remote bool, what string, n int) {
	name := "near" + what
	if remote {
		name = "far" + what
	}
	m.bytes.Add(name, int64(n))
}

func (m *metrics) countAttempt(service string, o balance.Outcome) {
	m.attempts.Add(service+"."+o.String(), 1)
}
