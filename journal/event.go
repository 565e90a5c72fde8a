// Package journal keeps the recent decisions of a process, so that a person
// can ask why something happened.
package journal

// Kind tells events apart.
type Kind string

// The kinds of events.
const (
	TargetArrived           Kind = "targetArrived"
	TargetGone              Kind = "targetGone"
	TargetLeaving           Kind = "targetLeaving"
	TargetCold              Kind = "targetCold"
	TargetWarm              Kind = "targetWarm"
	TargetEjected           Kind = "targetEjected"
	TargetReturned          Kind = "targetReturned"
	TargetKept              Kind = "targetKeptForFloor"
	PathAvoided             Kind = "pathAvoided"
	Quarantined             Kind = "quarantined"
	QuarantineEnded         Kind = "quarantineEnded"
	LeaseholderElected      Kind = "keeperElected"
	LeaseholderReady        Kind = "keeperLearned"
	LeaseholderLost         Kind = "keeperLost"
	HostProvedDead          Kind = "hostProvedDead"
	ConfigAdvanced          Kind = "configAdvanced"
	ConfigStale             Kind = "configStale"
	ConfigCurrent           Kind = "configFresh"
	DigestMismatch          Kind = "digestMismatch"
	RequestRefused          Kind = "requestRefused"
	RequestRetried          Kind = "requestRetried"
	RequestCancelled        Kind = "requestCancelled"
	ConnectionSilent        Kind = "connectionSilent"
	KeyWithdrawn            Kind = "keyWithdrawn"
	IdempotencyRecordsLost  Kind = "memoryLost"
	StopRequested           Kind = "stopRequested"
	StopInterruptedRequests Kind = "stopCutRequests"
	InvariantViolated       Kind = "invariantViolated"
)

// Event is one decision with its cause and the evidence for it.
type Event struct {
	// Time is wall-clock time in RFC 3339 form.
	Time string `json:"time"`
	Kind Kind   `json:"kind"`
	// Subject is the target, host, account or request ID decided on.
	Subject  string `json:"subject"`
	Cause    string `json:"cause,omitempty"`
	Evidence string `json:"evidence,omitempty"`
}
