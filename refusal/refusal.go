// Package refusal defines the error that callers, operators and the fleet's own
// processes receive when a request is refused or its outcome is unknown.
package refusal

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"

	"github.com/carawayrack/carawayrack/clock"
)

// Refusal is the error response to a request. It is sent as JSON over HTTP and
// as a field of replies over net/rpc.
type Refusal struct {
	Code Code `json:"error"`
	// NotRun is true only if no target can have run the request.
	NotRun bool `json:"notRun"`
	// RetryAfter is the time after which a retry can succeed, 0 if unknown.
	RetryAfter clock.Millis `json:"retryAfterMillis,omitempty"`
	RequestID  string       `json:"requestId,omitempty"`
	// Detail explains the refusal in words.
	Detail string `json:"detail,omitempty"`
	// Addresses lists other hosts that may serve the request.
	Addresses []string `json:"addresses,omitempty"`
}

// Error returns the code and the detail, if there is one.
func (r *Refusal) Error() string {
	if r.Detail == "" {
		return string(r.Code)
	}
	return fmt.Sprintf("%s: %s", r.Code, r.Detail)
}

// New returns a refusal of a request that no target has run: NotRun is true.
func New(c Code, detail string) *Refusal {
	return &Refusal{Code: c, NotRun: true, Detail: detail}
}

// NewMaybeRun returns a refusal of a request that a target may have run: NotRun
// is false.
func NewMaybeRun(c Code, detail string) *Refusal {
	return &Refusal{Code: c, Detail: detail}
}

// Write sends the refusal as an HTTP response with a JSON body. The header
// Retry-After is RetryAfter rounded up to seconds.
func (r *Refusal) Write(w http.ResponseWriter) {
	h := w.Header()
	h.Set("Content-Type", "application/json")
	if r.RetryAfter > 0 {
		seconds := (r.RetryAfter + clock.Second - 1) / clock.Second
		h.Set("Retry-After", strconv.FormatInt(int64(seconds), 10))
	}
	w.WriteHeader(r.Code.Status())
	// An error means that the caller has disconnected.
	_ = json.NewEncoder(w).Encode(r)
}
