package refusal

import "net/http"

// Code names the reason of a refusal.
type Code string

// The codes of refusals. Their values are part of the fleet's interface to
// callers and operators.
const (
	KeyMissing             Code = "keyMissing"
	KeyUnknown             Code = "keyUnknown"
	KeyWithdrawn           Code = "keyWithdrawn"
	RouteUnknown           Code = "routeUnknown"
	RateExceeded           Code = "rateExceeded"
	NoCapacity             Code = "noCapacity"
	ConfigStale            Code = "configStale"
	Stopping               Code = "stopping"
	LeaseholderUnavailable Code = "keeperAway"
	NotLeaseholder         Code = "notKeeper"
	TermStale              Code = "termStale"
	TargetFailed           Code = "targetFailed"
	OutcomeUnknown         Code = "outcomeUnknown"
	InProgress             Code = "inProgress"
	ResponseOmitted        Code = "answerOmitted"
	KeyReused              Code = "idempotencyKeyReused"
	Quarantined            Code = "quarantined"
	BadRequest             Code = "badRequest"
	Unauthorized           Code = "unauthorized"
	VersionConflict        Code = "versionConflict"
	InvalidChange          Code = "invalidChange"
	NotLeader              Code = "notLeader"
	Unreachable            Code = "unreachable"
	TimedOut               Code = "timedOut"
	Damaged                Code = "damaged"
)

// statuses are the HTTP statuses that differ from 503.
var statuses = map[Code]int{
	KeyMissing:      http.StatusUnauthorized,
	KeyUnknown:      http.StatusUnauthorized,
	KeyWithdrawn:    http.StatusUnauthorized,
	Unauthorized:    http.StatusUnauthorized,
	RouteUnknown:    http.StatusNotFound,
	RateExceeded:    http.StatusTooManyRequests,
	BadRequest:      http.StatusBadRequest,
	InvalidChange:   http.StatusBadRequest,
	VersionConflict: http.StatusConflict,
	InProgress:      http.StatusConflict,
	OutcomeUnknown:  http.StatusConflict,
	ResponseOmitted: http.StatusConflict,
	KeyReused:       http.StatusUnprocessableEntity,
	Quarantined:     http.StatusUnprocessableEntity,
	TargetFailed:    http.StatusBadGateway,
	TimedOut:        http.StatusGatewayTimeout,
}

// Status returns the HTTP status code of a response with c. It is 503 for codes
// that have no status of their own.
func (c Code) Status() int {
	if s, ok := statuses[c]; ok {
		return s
	}
	return http.StatusServiceUnavailable
}
