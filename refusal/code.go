package refusal

import "net/http"

// Code names the reason of a refusal.
type Code string

// The codes of refusals. Their values are part of the fleet's interface to
// callers and operators.
const (
	KeyMissing   Code = "keyMissing"
	KeyUnknown   Code = "keyUnknown"
	KeyWithdrawn Code = "keyWithdrawn"
	RouteUnknown Code = "routeUnknown"
	RateExceeded Code = "rateExceeded"
	// NoCapacity: no slot became free, or the target rejected the request because
	// of overload.
	NoCapacity Code = "noCapacity"
	// ConfigStale: the host cannot prove that its configuration is current.
	ConfigStale Code = "configStale"
	Stopping    Code = "stopping"
	// LeaseholderUnavailable: no leaseholder responds for the shard, it is not
	// ready, or it may have been replaced since it granted the slot.
	LeaseholderUnavailable Code = "keeperAway"
	// NotLeaseholder: the host does not lead the shard.
	NotLeaseholder Code = "notKeeper"
	TermStale      Code = "termStale"
	TargetFailed   Code = "targetFailed"
	// OutcomeUnknown: the request may have run, or the change may have been
	// accepted.
	OutcomeUnknown Code = "outcomeUnknown"
	// InProgress: a request with the same idempotency key is still running.
	InProgress Code = "inProgress"
	// ResponseOmitted: the request has run, but its response was not stored.
	ResponseOmitted Code = "answerOmitted"
	// IdempotencyKeyReused: the idempotency key was used with a different request
	// before.
	IdempotencyKeyReused Code = "idempotencyKeyReused"
	// Quarantined: connections to targets broke during earlier requests with the
	// same fingerprint.
	Quarantined  Code = "quarantined"
	BadRequest   Code = "badRequest"
	Unauthorized Code = "unauthorized"
	// VersionConflict: another change was accepted after the base version of this
	// one.
	VersionConflict Code = "versionConflict"
	InvalidChange   Code = "invalidChange"
	NotLeader       Code = "notLeader"
	// Unreachable: the peer's address is not known, no connection to it could be
	// opened, or the connection failed.
	Unreachable Code = "unreachable"
	TimedOut    Code = "timedOut"
	Damaged     Code = "damaged"
)

// statuses are the HTTP statuses that differ from 503.
var statuses = map[Code]int{
	KeyMissing:           http.StatusUnauthorized,
	KeyUnknown:           http.StatusUnauthorized,
	KeyWithdrawn:         http.StatusUnauthorized,
	Unauthorized:         http.StatusUnauthorized,
	RouteUnknown:         http.StatusNotFound,
	RateExceeded:         http.StatusTooManyRequests,
	BadRequest:           http.StatusBadRequest,
	InvalidChange:        http.StatusBadRequest,
	VersionConflict:      http.StatusConflict,
	InProgress:           http.StatusConflict,
	OutcomeUnknown:       http.StatusConflict,
	ResponseOmitted:      http.StatusConflict,
	IdempotencyKeyReused: http.StatusUnprocessableEntity,
	Quarantined:          http.StatusUnprocessableEntity,
	TargetFailed:         http.StatusBadGateway,
	TimedOut:             http.StatusGatewayTimeout,
}

// Status returns the HTTP status code of a response with c. It is 503 for codes
// that have no status of their own.
func (c Code) Status() int {
	if s, ok := statuses[c]; ok {
		return s
	}
	return http.StatusServiceUnavailable
}
