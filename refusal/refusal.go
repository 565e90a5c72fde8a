// Package refusal defines the typed refusals that callers, operators and the
// fleet's own processes receive in place of a result.
package refusal

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"

	"github.com/carawayrack/carawayrack/clock"
)

// Refusal says why something was not done. It is sent as JSON over HTTP and
// as a field of replies over net/rpc.
type Refusal struct {
	Code Code `json:"error"`
	// NotRun is true only if no target can have run the request.
	NotRun bool `json:"notRun"`
	// RetryAfter is the wait before another try can succeed, 0 if unknown.
	RetryAfter clock.Millis `json:"retryAfterMillis,omitempty"`
	RequestID  string       `json:"requestId,omitempty"`
	Detail     string       `json:"detail,omitempty"`
	// Addresses lists other hosts that may serve the request.
	Addresses []string `json:"addresses,omitempty"`
}

// Error describes the refusal in one line.
func (r *Refusal) Error() string {
	if r.Detail == "" {
		return string(r.Code)
	}
	return fmt.Sprintf("%s: %s", r.Code, r.Detail)
}

// New returns a refusal of a request that no target ran.
func New(c Code, detail string) *Refusal {
	return &Refusal{Code: c, NotRun: true, Detail: detail}
}

// NewMaybeRun returns a refusal of a request that a target may have run.
func NewMaybeRun(c Code, detail string) *Refusal {
	return &Refusal{Code: c, Detail: detail}
}

// Write answers an HTTP request with the refusal as JSON.
func (r *Refusal) Write(w http.ResponseWriter) {
	h := w.Header()
	h.Set("Content-Type", "application/json")
	if r.RetryAfter > 0 {
		seconds := (r.RetryAfter + clock.Second - 1) / clock.Second
		h.Set("Retry-After", strconv.FormatInt(int64(seconds), 10))
	}
	w.WriteHeader(r.Code.Status())
	// The caller may have gone away; there is nobody left to tell.
	_ = json.NewEncoder(w).Encode(r)
}
