package slots

import "github.com/carawayrack/carawayrack/clock"

// Outcome is how a request on a target ended.
type Outcome string

// The outcomes of requests.
const (
	// OK is any answer that does not blame the target.
	OK Outcome = "ok"
	// Failed is an answer with a server error.
	Failed Outcome = "failed"
	// Shed is an answer by which the target refused for overload.
	Shed Outcome = "shed"
	// Refused is a connection that could not be opened.
	Refused Outcome = "refused"
	// Died is a connection that ended after the request was sent and before
	// any answer.
	Died Outcome = "died"
	// Cut is an answer that ended early.
	Cut Outcome = "cut"
	// TimedOut is a request without an answer in time.
	TimedOut Outcome = "timedOut"
	// SilentConnection is a reused connection that gave no answer.
	SilentConnection Outcome = "silentConnection"
	// Cancelled is a request that the caller or the fleet gave up.
	Cancelled Outcome = "cancelled"
	// Unused is a grant that was not used.
	Unused Outcome = "unused"
)

// isFailure reports whether the outcome speaks against the target.
func (o Outcome) isFailure() bool {
	switch o {
	case Failed, Refused, Died, Cut, TimedOut:
		return true
	}
	return false
}

// Release ends a grant and reports how the request went.
type Release struct {
	ID          GrantID
	Service     string
	Target      string
	Host        string
	Outcome     Outcome
	Fingerprint string
	// FirstByte is the time from the end of the request to the start of the
	// answer, 0 if there was none.
	FirstByte clock.Millis
}

// Result answers a Request.
type Result struct {
	Host   string
	Ticket uint64
	Grant  *Grant
	// Refused is the reason where there is no grant.
	Refused Refusal
	// Quarantine is the time left of a quarantine.
	Quarantine clock.Millis
}

// Refusal is the reason why no slot was granted.
type Refusal string

// The reasons of refusals.
const (
	NoTargets          Refusal = "noTargets"
	QueueFull          Refusal = "queueFull"
	WaitedTooLong      Refusal = "waitedTooLong"
	IsQuarantined      Refusal = "quarantined"
	LeaseholderChanged Refusal = "keeperChanged"
)
