package standin

import "time"

// Stats are the counts of a target.
type Stats struct {
	Served     int `json:"served"`
	MaxRunning int `json:"maxRunning"`
	// OverCapacity counts requests that came while the target had as many as it
	// bears, OverSilent those in a cold start of which nobody was told.
	OverCapacity      int `json:"overBorne"`
	OverCapacityUnannounced     int `json:"overSilent"`
	MaxConnections int `json:"maxConnections"`
	// KeysSeen counts requests that carried a caller's key.
	KeysSeen int `json:"keysSeen"`
	// AfterLeave counts requests that came long after the target announced
	// that it leaves.
	AfterLeave int `json:"afterLeave"`
	// PartialUploads counts bodies that ended early.
	PartialUploads int  `json:"partialUploads"`
	Crashes        int  `json:"crashes"`
	Cold           bool `json:"cold"`
	// Executions counts completed requests by the value of the query
	// parameter "order".
	Executions map[string]int `json:"executions,omitempty"`
	// Arrivals are the requests by account, in order of time.
	Arrivals []Arrival `json:"-"`
}

// Arrival is one request that reached a target.
type Arrival struct {
	// At is in microseconds since the start of the process.
	At      int64
	Account string
}

// Micros converts a time to the scale of arrivals.
func Micros(t time.Time) int64 { return t.Sub(origin).Microseconds() }
