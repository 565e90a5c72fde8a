package edge

import (
	"expvar"

	"github.com/carawayrack/carawayrack/balance"
)

// metrics counts what the host did.
type metrics struct {
	answers, refusals, attempts *expvar.Map
}

var outcomeNames = map[balance.Outcome]string{
	balance.Served: "served", balance.Failed: "failed", balance.Broken: "broken", balance.TimedOut: "timedOut",
	balance.Unreached: "unreached", balance.Shed: "shed", balance.Misdirected: "misdirected", balance.Cancelled: "cancelled",
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
	m.attempts.Add(service+"."+outcomeNames[o], 1)
}
