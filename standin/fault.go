package standin

import "github.com/carawayrack/carawayrack/clock"

// Fault describes the faults of a target. The zero value has none.
type Fault struct {
	// Slow is the time added to every request.
	Slow clock.Millis `json:"slowMillis"`
	// ErrorPercent of the requests get status 500.
	ErrorPercent int `json:"errorPercent"`
	// Hang withholds responses until the request is cancelled.
	Hang bool `json:"hang"`
	// CutPercent of the responses end early.
	CutPercent int `json:"cutPercent"`
	// LagHealth announces the target as ready during a cold start.
	LagHealth bool `json:"lagHealth"`
	// Mute stops the announcements.
	Mute bool `json:"mute"`
}
