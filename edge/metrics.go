package edge

import (
	"expvar"

	"github.com/carawayrack/carawayrack/balance"
)

// metrics counts what the host did.
type metrics struct {
	answers, refusals, attempts *expvar.Map
}

func newMetrics() *metrics {
	m := &metrics{answers: new(expvar.Map), refusals: new(expvar.Map), attempts: new(expvar.Map)}
	if expvar.Get("answers") == nil {
		expvar.Publish("answers", m.answers)
		expvar.Publish("refusals", m.refusals)
		expvar.Publish("attempts", m.attempts)
	}
	return m
}

func (m *metrics) attempt(service string, o balance.Outcome) {
	m.attempts.Add(service+"."+o.String(), 1)
}
