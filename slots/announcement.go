package slots

// State is the state that a target announces.
type State string

// The states of targets.
const (
	Ready   State = "ready"
	Cold    State = "cold"
	Leaving State = "leaving"
)

// Announcement is the state of a target, which it sends to the fleet about every
// second.
type Announcement struct {
	Service string `json:"service"`
	// Target is the name of the instance.
	Target string `json:"target"`
	Addr   string `json:"addr"`
	Zone   string `json:"zone"`
	// Incarnation identifies the process.
	Incarnation string `json:"incarnation"`
	// Slots is the number of concurrent requests that the warm target can
	// handle, ColdSlots the number in a cold start, 0 if not announced.
	Slots       int   `json:"slots"`
	ColdSlots   int   `json:"coldSlots,omitempty"`
	Connections int   `json:"connections"`
	State       State `json:"state"`
}
