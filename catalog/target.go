package catalog

import "github.com/carawayrack/carawayrack/clock"

// Phase is what a target last said of itself.
type Phase string

// The phases of targets.
const (
	Serving Phase = "serving"
	Leaving Phase = "leaving"
	Gone    Phase = "gone"
)

// Target is one incarnation of a process that serves requests.
type Target struct {
	ID      string
	Service string
	Addr    string
	Zone    string
	// Born is the Unix millisecond of its start; it orders incarnations.
	Born int64
	// Number orders the announcements of one incarnation.
	Number uint64
	Phase  Phase
	// Slots is the number of requests that it runs at the same time.
	Slots int
	// Cold is how long its cold start lasted yet when it announced itself.
	Cold clock.Millis
}

// Older reports whether t was said before u, by the same or an earlier
// incarnation.
func (t Target) Older(u Target) bool {
	if t.Born != u.Born {
		return t.Born < u.Born
	}
	return t.Number < u.Number
}

// Differs reports whether t says something that hosts must know beyond u.
func (t Target) Differs(u Target) bool {
	cold := (t.Cold > 0) != (u.Cold > 0)
	return t.Born != u.Born || t.Phase != u.Phase || t.Addr != u.Addr || t.Service != u.Service ||
		t.Zone != u.Zone || t.Slots != u.Slots || cold
}
