package edge

import (
	"sync"

	"github.com/carawayrack/carawayrack/clock"
)

// lineLimit limits the log lines of one kind.
type lineLimit struct {
	mu             sync.Mutex
	since          clock.Millis
	lines, omitted int
}

// allow reports whether another line may be written, and how many were left out since
// the last one.
func (l *lineLimit) allow(now clock.Millis, perSecond int) (omitted int, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now-l.since >= clock.Second {
		l.since, l.lines = now, 0
	}
	if l.lines >= perSecond {
		l.omitted++
		return 0, false
	}
	l.lines++
	omitted, l.omitted = l.omitted, 0
	return omitted, true
}
