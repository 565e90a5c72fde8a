package edge

import (
	"github.com/carawayrack/carawayrack/clock"
)

// Settings are the settings of an entry host in a deployment.
type Settings struct {
	ID, Zone string
	// Callers and Ready are the addresses for callers and for the question
	// whether the host is ready.
	Callers, Ready string
	// Peer is the address for the fleet's own traffic.
	Peer   string
	Secret string
	// Cores returns addresses of control processes that may be there.
	Cores func() []string

	// Narrow is true if one host's link cannot carry a good part of a zone.
	Narrow bool
	// MaxConfigAge is the age of the newest proof of a current configuration up to
	// which requests with keys are served.
	MaxConfigAge clock.Millis
	// Retry is the fleet's budget for sending requests again.
	Retry RetryBudget
	// Grace is the time from the order to stop to the end of the process.
	Grace clock.Millis
}

// RetryBudget bounds arrivals at targets beyond the first of each request:
// at most Ratio times the requests plus Slack.
type RetryBudget struct {
	Ratio, Slack float64
}

// Headers are the names of the headers that the host reads and sets.
type Headers struct {
	// RequestID identifies one attempt of a caller; answers repeat it.
	RequestID string
	// Deadline holds the milliseconds that the caller waits yet.
	Deadline string
	// Key holds a caller's key.
	Key string
	// Account tells targets the account of the key.
	Account string
	// ExpectedTarget names the target that may run a request.
	ExpectedTarget string
	// NotRun marks answers of targets that did not run the request.
	NotRun string
	// Seal marks whole answers of targets.
	Seal string
	// Load and WarmUp hold a target's load and the rest of its cold start.
	Load, WarmUp string
}
