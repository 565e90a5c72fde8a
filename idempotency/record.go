// Package idempotency prevents non-idempotent requests that carry an
// Idempotency-Key from running twice. The leaseholder of a key's shard records the
// start before the request is sent, and the response afterwards.
package idempotency

import "github.com/carawayrack/carawayrack/clock"

// State is the state of a recorded request.
type State string

// The states of records.
const (
	// Started means that the request may be running.
	Started State = "started"
	// Done means that the response is stored.
	Done State = "done"
	// Unknown means that the request may have run, and that its response
	// will not become known.
	Unknown State = "unknown"
)

// Key identifies a record by the client account and its Idempotency-Key.
type Key struct {
	Account string
	Key     string
}

// Response is a stored response of a target.
type Response struct {
	Status int
	Header map[string][]string
	Body   []byte
	// Omitted is true if the body was too long to store.
	Omitted bool
}

// Record records one request and its response.
type Record struct {
	Key Key
	// Fingerprint identifies the request, to detect a key that is used again
	// for another one.
	Fingerprint string
	State       State
	Answer      Response
	// Host and Incarnation identify the process that runs the request.
	Host        string
	Incarnation string
	// Attempt is the request ID of the request that created the record.
	Attempt string
	// Version grows with every change of state.
	Version int
	// Left is the time until the record is deleted, Running the time until a
	// started request counts as unknown. They are durations, since processes
	// exchange records and their clocks differ.
	Left    clock.Millis
	Running clock.Millis
}
