// Package clock defines the millisecond time type and the clocks. Code that makes
// decisions gets the time as an argument, so that tests need not wait.
package clock

import "time"

// Millis is a duration or a point in time in milliseconds. Except with Wall,
// points in time never go backwards, and their origin is the start of the process
// for the zero Clock and the start of the machine for Boot, so they must not be
// compared between machines.
type Millis int64

// Second is one second in milliseconds.
const Second Millis = 1000

// Duration converts m to a time.Duration.
func (m Millis) Duration() time.Duration {
	return time.Duration(m) * time.Millisecond
}

// FromDuration converts d to milliseconds, rounded towards zero.
func FromDuration(d time.Duration) Millis {
	return Millis(d / time.Millisecond)
}

// origin is the zero point of the process's monotonic clock.
var origin = time.Now()

// Clock reads the time. The zero value reads the process's monotonic clock.
type Clock struct {
	// Read replaces the monotonic clock if it is not nil.
	Read func() Millis
}

// Now returns the current time.
func (c Clock) Now() Millis {
	if c.Read != nil {
		return c.Read()
	}
	return FromDuration(time.Since(origin))
}
