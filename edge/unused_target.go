package edge

import (
	"go.uber.org/zap"

	"github.com/carawayrack/carawayrack/balance"
)

// maxUnusedTargetLines is the number of log lines on unused targets that a host writes
// in a second. A host has some 8 targets of a service and is the first owner of one in
// three of them, each of which it tries once a second at most.
const maxUnusedTargetLines = 5

// logUnusedTarget counts and logs that the request tries an unused target because many
// requests are not served. That healthy targets get one now and then is not worth a line.
func (c *call) logUnusedTarget(x balance.Choice) {
	u := x.Unused
	if u == nil || !u.Unserved.Many() {
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
