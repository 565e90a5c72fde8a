package clock

import "time"

// Wall returns a clock that reads the wall-clock time in milliseconds since 1970
// (UTC). It may jump, so it is only used to order data that other machines have
// stamped with their wall-clock time.
func Wall() Clock { return Clock{Read: readWall} }

func readWall() Millis { return Millis(time.Now().UnixMilli()) }
