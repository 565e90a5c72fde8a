package edge

import (
	"sync"

	"go.uber.org/zap"

	"github.com/carawayrack/carawayrack/balance"
	"github.com/carawayrack/carawayrack/clock"
)

// maxUnusedTargetLines is the number of log lines on unused targets that a host writes
// in a second. A host has some 8 targets of a service and is the first owner of one in
// three of them, each of which it tries once a second at most.
const maxUnusedTargetLines = 5

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

// logUnusedTarget counts and logs that the request tries an unused target.
func (c *call) logUnusedTarget(x balance.Choice) {
	u := x.Unused
	if u == nil {
		return
	}
	c.host.metrics.unusedTargets.Add(c.service, 1)
	omitted, ok := c.host.unusedTargetLines.allow(c.host.Clock.Now(), maxUnusedTargetLines)
	if !ok {
		return
	}
	c.host.Log.Info("unused target", zap.String("request", c.id), zap.String("target", x.ID), zap.String("service", c.service),
		zap.Int64("idleMs", int64(u.Idle)), zap.Bool("trusted", !x.Probe), zap.Bool("shareKnown", u.Unserved.Known), zap.Float64("unservedShare", u.Unserved.Share),
		zap.Int("ended", u.Unserved.Ended), zap.Int("unserved", u.Unserved.Unserved), zap.Int("hosts", u.Unserved.Hosts),
		zap.Int64("oldestCountMs", int64(u.Unserved.OldestAge)), zap.Int("omitted", omitted))
}
