package edge

import (
	"expvar"

	"github.com/carawayrack/carawayrack/balance"
)

// metrics counts what the host did.
type metrics struct {
	responses, refusals, attempts *expvar.Map
	// bytes counts what was sent within the zone and to other zones, in bytes:
	// evidence as nearEvidence and farEvidence, bodies of requests alike.
	bytes   *expvar.Map
	latency latencyHistograms
}

func newMetrics() *metrics {
	m := &metrics{responses: new(expvar.Map), refusals: new(expvar.Map), attempts: new(expvar.Map), bytes: new(expvar.Map)}
	if expvar.Get("answers") == nil {
		expvar.Publish("answers", m.responses)
		expvar.Publish("refusals", m.refusals)
		expvar.Publish("attempts", m.attempts)
		expvar.Publish("bytes", m.bytes)
		expvar.Publish("latencyMs", expvar.Func(m.latency.summary))
	}
	return m
}

// countBytes counts bytes that went to a zone.
func (m *metrics) countBytes(far bool, what string, n int) {
	name := "near" + what
	if far {
		name = "far" + what
	}
	m.bytes.Add(name, int64(n))
}

func (m *metrics) countAttempt(service string, o balance.Outcome) {
	m.attempts.Add(service+"."+o.String(), 1)
}
