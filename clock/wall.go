package clock

import "time"

// Wall reads the time of day in milliseconds since 1970. It may jump, so it
// only orders what other machines have stamped with theirs.
func Wall() Clock { return Clock{Read: readWall} }

func readWall() Millis { return Millis(time.Now().UnixMilli()) }
