package edge

import (
	"net/http"
	"strconv"

	"github.com/carawayrack/carawayrack/clock"
)

// Reason says why the host refused a request, or ended it without a response
// of a target.
type Reason string

// The reasons for refusals, as logs, metrics and responses show them.
const (
	ConfigNotCurrent Reason = "configurationNotCurrent"
	NoRoute          Reason = "noRoute"
	UnknownKey       Reason = "unknownKey"
	// OverQuota counts requests above the limit of their account over all hosts, as far
	// as the control processes know; LenderAway those above the host's own part of it
	// while no control process lends.
	OverQuota  Reason = "overQuota"
	LenderAway Reason = "lenderAway"

	BadRequest   Reason = "badRequest"
	BodyTooLarge Reason = "bodyTooLarge"
	NoTarget     Reason = "noTarget"
	TargetsFull  Reason = "targetsFull"
	OutOfTime    Reason = "outOfTime"
	// TargetsLeaving counts requests to a service all of whose targets are leaving,
	// TargetsPaused those to one whose healthy targets all want no requests for a
	// while.
	TargetsLeaving Reason = "targetsLeaving"
	TargetsPaused  Reason = "targetsPaused"
	TargetFailed   Reason = "targetFailed"
	CallerLeft     Reason = "callerLeft"
	Quarantined    Reason = "quarantined"
	BodyTooLate    Reason = "bodyTooLate"
	// HeadMemoryFull counts requests whose heads found no memory. They were not read.
	HeadMemoryFull Reason = "headMemoryFull"
	// HostFull counts requests that arrived while the host served as many as its
	// descriptors allow.
	HostFull Reason = "hostFull"
	// Stopping counts requests that a leaving host might not answer before it ends.
	Stopping Reason = "stopping"
	// NotRead counts requests behind a response that ends their connection; they
	// get no response.
	NotRead Reason = "notRead"
)

// refusal is a response of the host itself.
type refusal struct {
	reason Reason
	status int
	// retryAfter is the value of Retry-After; zero leaves the header out.
	retryAfter clock.Millis
	cause      string
}

// Error describes the refusal.
func (r *refusal) Error() string { return string(r.reason) + ": " + r.cause }

func (r *refusal) write(w http.ResponseWriter) {
	h := w.Header()
	h.Set("Content-Type", "application/json")
	if r.retryAfter > 0 {
		h.Set("Retry-After", strconv.FormatFloat(float64(r.retryAfter)/float64(clock.Second), 'f', 3, 64))
	}
	b := []byte(`{"error":"` + string(r.reason) + `"}`)
	h.Set("Content-Length", strconv.Itoa(len(b)))
	w.WriteHeader(r.status)
	// The error is of no use: the caller has disconnected.
	_, _ = w.Write(b)
}
