package edge

import (
	"github.com/carawayrack/carawayrack/clock"
)

// Settings are the settings of an entry host in a deployment.
type Settings struct {
	ID, Zone string
	// Callers and Ready are the listen addresses for callers and for readiness
	// checks.
	Callers, Ready string
	// Peer is the address for traffic between the processes of the fleet.
	Peer   string
	Secret string
	// Cores returns the addresses of control processes that may exist.
	Cores func() []string

	// Narrow is true if the network link of one host cannot carry a large share
	// of the traffic of a zone. Callers are sent to all narrow hosts of a zone,
	// but only to a limited number of others; see coordinator.Active.
	Narrow bool
	// MaxConfigAge is the age of the newest proof that the configuration is
	// current at which the host begins to refuse requests.
	MaxConfigAge clock.Millis
	// MaxRefusalAge is the age of that proof at which the host no longer tells
	// callers that a route or a key does not exist: a newer configuration may have
	// added it.
	MaxRefusalAge clock.Millis
	// Retry is the retry budget of the fleet.
	Retry RetryBudget
	// HedgeShare is the share of the requests of a service that may be sent to a
	// second target because the first one is slow, if the configuration has none for
	// the service. 0: the rule of hedge.Delay applies, within the retry budget.
	HedgeShare float64
	// Memory is the memory of the process in bytes, 0 if unknown.
	Memory int64
	Limits Limits
	// Grace is the time from the signal to stop to the end of the process.
	Grace clock.Millis
}

// RetryBudget bounds the attempts that reach targets beyond the first of each
// request: at most Ratio times the requests plus Slack.
type RetryBudget struct {
	Ratio, Slack float64
}

// Headers are the names of the headers that the host reads and sets.
type Headers struct {
	// RequestID identifies one attempt of a caller; responses repeat it.
	RequestID string
	// Deadline holds the time for which the caller still waits, in milliseconds.
	Deadline string
	// Key holds the key of the caller.
	Key string
	// Account holds the name of the account of the key, for targets.
	Account string
	// ExpectedTarget holds the ID of the target that may run the request.
	ExpectedTarget string
	// NotRun marks responses of targets that did not run the request.
	NotRun string
	// Seal marks complete responses of targets.
	Seal string
	// Load holds the load of a target as "running,waiting,slots", WarmUp the
	// remaining time of its warm-up in milliseconds.
	Load, WarmUp string
	// Leaving marks responses of targets that want no new requests since they
	// leave.
	Leaving string
	// Target holds the ID of the target that responds to a health check.
	Target string
}
