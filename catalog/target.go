package catalog

import "github.com/carawayrack/carawayrack/clock"

// Phase is the stage of a target's life cycle.
type Phase string

// The phases of targets.
const (
	// Serving targets accept requests.
	Serving Phase = "serving"
	// Leaving targets are draining and get no new requests.
	Leaving Phase = "leaving"
	// Gone targets have left or were replaced by a later one at their address.
	Gone Phase = "gone"
)

// Target is an announcement of a target: one incarnation of a process that
// serves requests.
type Target struct {
	ID      string
	Service string
	Addr    string
	Zone    string
	// Version is the version of its software, empty if unknown.
	Version string `json:",omitempty"`
	// Born is when the process started, in Unix milliseconds. It orders the
	// incarnations of one ID.
	Born int64
	// Number orders the announcements of one incarnation.
	Number uint64
	Phase  Phase
	// Slots is the number of requests that it can handle at the same time.
	Slots int
	// Cold is how much of its warm-up was left when it sent the announcement,
	// zero if it was warm.
	Cold clock.Millis
	// Unlisted is true if the configuration had no such service when the
	// announcement arrived. It then says nothing of other targets.
	Unlisted bool `json:",omitempty"`
	// Displaced is true if the target is Gone only because another one was announced at
	// its address that had started later.
	Displaced bool `json:",omitempty"`
}

// Older reports whether announcement t precedes u: it is of an earlier
// incarnation, or an earlier one of the same incarnation.
func (t Target) Older(u Target) bool {
	if t.Born != u.Born {
		return t.Born < u.Born
	}
	return t.Number < u.Number
}

// Differs reports whether t contains something new for hosts compared with u.
// The remaining warm-up only counts where it begins or ends.
func (t Target) Differs(u Target) bool {
	cold := (t.Cold > 0) != (u.Cold > 0)
	return t.Born != u.Born || t.Phase != u.Phase || t.Addr != u.Addr || t.Service != u.Service ||
		t.Zone != u.Zone || t.Slots != u.Slots || t.Unlisted != u.Unlisted || t.Version != u.Version || cold
}
