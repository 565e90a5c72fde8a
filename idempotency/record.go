// Package idempotency keeps non-idempotent requests that carry an Idempotency-Key
// from running twice: the keeper of a key's shard records the start before
// the request is sent and the answer afterwards.
package idempotency

import "github.com/carawayrack/carawayrack/clock"

// State is what is known of a request.
type State string

// The states of records.
const (
	// Started requests may be running.
	Started State = "started"
	// Done requests have an answer.
	Done State = "done"
	// Unknown requests may have run; nobody will learn the answer.
	Unknown State = "unknown"
)

// Key identifies a record.
type Key struct {
	Account string
	Key     string
}

// Response is a stored answer.
type Response struct {
	Status int
	Header map[string][]string
	Body   []byte
	// Omitted is true if the body was too long to keep.
	Omitted bool
}

// Record is what is known of one request.
type Record struct {
	Key Key
	// Fingerprint tells whether the same key came with another request.
	Fingerprint string
	State       State
	Answer      Response
	// Host and Incarnation identify the process that runs the request.
	Host        string
	Incarnation string
	// Attempt is the request ID of the request that started it.
	Attempt string
	// Version orders the states of a record.
	Version int
	// Left is the time until the record is forgotten, Running the time until
	// a started request counts as unknown. Both are relative while the record
	// is on its way between processes.
	Left    clock.Millis
	Running clock.Millis
}
