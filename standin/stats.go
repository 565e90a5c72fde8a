package standin

import "time"

// Stats holds the counts of a target.
type Stats struct {
	Served     int `json:"served"`
	MaxRunning int `json:"maxRunning"`
	// OverCapacity counts requests that arrived while the target had as many
	// running as it can handle, OverCapacityUnannounced those that did so in an
	// unannounced cold start, after a grace period.
	OverCapacity            int `json:"overBorne"`
	OverCapacityUnannounced int `json:"overSilent"`
	MaxConnections          int `json:"maxConnections"`
	// KeysSeen counts requests with an Authorization header.
	KeysSeen int `json:"keysSeen"`
	// AfterLeave counts requests that arrived more than leaveGracePeriod after
	// the target announced that it leaves.
	AfterLeave int `json:"afterLeave"`
	// PartialUploads counts request bodies that ended early.
	PartialUploads int  `json:"partialUploads"`
	Crashes        int  `json:"crashes"`
	Cold           bool `json:"cold"`
	// Executions counts executed requests by the value of the query parameter
	// "order".
	Executions map[string]int `json:"executions,omitempty"`
	// Arrivals holds the requests in order of arrival, also rejected ones.
	Arrivals []Arrival `json:"-"`
}

// Arrival is one request that reached a target.
type Arrival struct {
	// At is the time in microseconds since the start of the process.
	At      int64
	Account string
}

// Micros returns a time in microseconds since the start of the process, as in
// Arrival.At.
func Micros(t time.Time) int64 { return t.Sub(processStart).Microseconds() }
