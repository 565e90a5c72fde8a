// Package journal keeps the recent decisions of a process with their causes, for
// operators who want to know why something happened.
package journal

// Kind is the kind of an event.
type Kind string

// The kinds of events. Their values are logged and printed.
const (
	TargetArrived  Kind = "targetArrived"
	TargetGone     Kind = "targetGone"
	TargetLeaving  Kind = "targetLeaving"
	TargetCold     Kind = "targetCold"
	TargetWarm     Kind = "targetWarm"
	TargetEjected  Kind = "targetEjected"
	TargetReturned Kind = "targetReturned"
	// TargetKept: a target was not ejected, since too few healthy slots would
	// have been left or most targets fail.
	TargetKept Kind = "targetKeptForFloor"
	// PathAvoided: for some time a host gets no slots of a target that fails for
	// this host alone.
	PathAvoided        Kind = "pathAvoided"
	Quarantined        Kind = "quarantined"
	QuarantineEnded    Kind = "quarantineEnded"
	LeaseholderElected Kind = "keeperElected"
	// LeaseholderReady: the leaseholder has the reports of all hosts that are not
	// dead.
	LeaseholderReady Kind = "keeperLearned"
	LeaseholderLost  Kind = "keeperLost"
	// HostProvedDead: nothing listens on the port of the host.
	HostProvedDead Kind = "hostProvedDead"
	ConfigAdvanced Kind = "configAdvanced"
	ConfigStale    Kind = "configStale"
	ConfigCurrent  Kind = "configFresh"
	// DigestMismatch: an update of the configuration was refused, such as one that
	// did not lead to the digest that came with it.
	DigestMismatch   Kind = "digestMismatch"
	RequestRefused   Kind = "requestRefused"
	RequestRetried   Kind = "requestRetried"
	RequestCancelled Kind = "requestCancelled"
	ConnectionSilent Kind = "connectionSilent"
	KeyWithdrawn     Kind = "keyWithdrawn"
	// IdempotencyRecordsLost: no majority of a shard's group has the idempotency
	// records.
	IdempotencyRecordsLost  Kind = "memoryLost"
	StopRequested           Kind = "stopRequested"
	StopInterruptedRequests Kind = "stopCutRequests"
	InvariantViolated       Kind = "invariantViolated"
)

// Event is one decision with its cause and the evidence for it. It is sent and
// printed as JSON.
type Event struct {
	// Time is the wall-clock time in RFC 3339 format. Journal.Add sets it.
	Time string `json:"time"`
	Kind Kind   `json:"kind"`
	// Subject is the target, host, account, shard or request ID that the
	// decision is about.
	Subject  string `json:"subject"`
	Cause    string `json:"cause,omitempty"`
	Evidence string `json:"evidence,omitempty"`
}
