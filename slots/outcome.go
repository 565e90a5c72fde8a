package slots

import "github.com/carawayrack/carawayrack/clock"

// Outcome is how a request on a target ended.
type Outcome string

// The outcomes of requests.
const (
	// OK is any response that is not a fault of the target.
	OK Outcome = "ok"
	// Failed is a response with a server error.
	Failed Outcome = "failed"
	// Shed is a response by which the target rejects a request for overload.
	Shed Outcome = "shed"
	// Refused is a connection that could not be opened.
	Refused Outcome = "refused"
	// Died is a connection that broke after the request was sent and before
	// any response.
	Died Outcome = "died"
	// Cut is a response that ended early.
	Cut Outcome = "cut"
	// TimedOut is a request without a response before its deadline.
	TimedOut Outcome = "timedOut"
	// SilentConnection is a reused connection without a response.
	SilentConnection Outcome = "silentConnection"
	// Cancelled is a request that the caller or the fleet cancelled.
	Cancelled Outcome = "cancelled"
	// Unused is a grant that was not used.
	Unused Outcome = "unused"
)

// isFailure reports whether the outcome counts as a failure of the target.
func (o Outcome) isFailure() bool {
	switch o {
	case Failed, Refused, Died, Cut, TimedOut:
		return true
	}
	return false
}

// Release ends a grant and reports the outcome of its request.
type Release struct {
	ID          GrantID
	Service     string
	Target      string
	Host        string
	Outcome     Outcome
	Fingerprint string
	// FirstByte is the time from the end of the request to the start of the
	// response, in whole milliseconds. It is 0 if there was no response or the
	// response started before the request ended.
	FirstByte clock.Millis
}

// Result is the response to a Request.
type Result struct {
	Host   string
	Ticket uint64
	Grant  *Grant
	// Refused is the reason if there is no grant.
	Refused Refusal
	// Quarantine is the time left of the request's quarantine.
	Quarantine clock.Millis
}

// Refusal is the reason why no slot was granted.
type Refusal string

// The reasons for refusals.
const (
	NoTargets          Refusal = "noTargets"
	QueueFull          Refusal = "queueFull"
	WaitedTooLong      Refusal = "waitedTooLong"
	IsQuarantined      Refusal = "quarantined"
	LeaseholderChanged Refusal = "keeperChanged"
)
