package balance

import "github.com/carawayrack/carawayrack/clock"

// Outcome is how a request ended at a target.
type Outcome int

// The outcomes of requests.
const (
	// Served requests got a complete response that does not report a failure.
	Served Outcome = iota
	// Failed requests got a complete response that reports a failure.
	Failed
	// Broken requests got no complete response: the connection ended or carried
	// something other than a valid response.
	Broken
	// TimedOut requests got no response in time.
	TimedOut
	// Unreached requests were refused a connection.
	Unreached
	// Silent requests got no reaction from the target, not even a refusal: the
	// network path may have failed, perhaps for this host only.
	Silent
	// Shed requests were rejected by the target without being run.
	Shed
	// Misdirected requests reached another target at the address.
	Misdirected
	// Cancelled requests were ended by this host, for example because the caller
	// left or another attempt was faster. They do not change the target's health.
	Cancelled
)

var outcomeNames = [...]string{
	Served: "served", Failed: "failed", Broken: "broken", TimedOut: "timedOut",
	Unreached: "unreached", Silent: "silent", Shed: "shed", Misdirected: "misdirected", Cancelled: "cancelled",
}

// String returns the name of the outcome in logs and metrics.
func (o Outcome) String() string { return outcomeNames[o] }

// Load is the load that a target reports in a response. Known is false if it
// reported none.
type Load struct {
	Known                   bool
	Running, Waiting, Slots int
}

// Result is the result of one request at one target.
type Result struct {
	Outcome Outcome
	// Took is the time from sending the request to its end.
	Took clock.Millis
	Load Load
	// Cold is the remaining time of the target's cold start, 0 if the target
	// reported none.
	Cold clock.Millis
}
