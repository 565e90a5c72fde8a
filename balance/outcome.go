package balance

import "github.com/carawayrack/carawayrack/clock"

// Outcome is how a request ended at a target.
type Outcome int

// The outcomes of requests.
const (
	// Served requests had a whole answer of the target, not a failure.
	Served Outcome = iota
	// Failed requests had a whole answer that reports a failure.
	Failed
	// Broken requests had no whole answer: the connection ended or carried
	// something else.
	Broken
	// TimedOut requests had no answer in time.
	TimedOut
	// Unreached requests were refused a connection.
	Unreached
	// Silent requests had no sign of the target: it may be the way there that
	// is cut, and for this host only.
	Silent
	// Shed requests were refused as not run.
	Shed
	// Misdirected requests met another target at the address.
	Misdirected
	// Cancelled requests were given up for a reason of the caller's.
	Cancelled
)

var outcomeNames = [...]string{
	Served: "served", Failed: "failed", Broken: "broken", TimedOut: "timedOut",
	Unreached: "unreached", Silent: "silent", Shed: "shed", Misdirected: "misdirected", Cancelled: "cancelled",
}

// String returns the name of the outcome in logs and metrics.
func (o Outcome) String() string { return outcomeNames[o] }

// Load is what a target says of its load in an answer.
type Load struct {
	Known                   bool
	Running, Waiting, Slots int
}

// Result is the end of one request at one target.
type Result struct {
	Outcome Outcome
	// Took is the time from the request to the whole answer.
	Took clock.Millis
	Load Load
	// Cold is the rest of the cold start that the target reported.
	Cold clock.Millis
}
