package edge

import "github.com/carawayrack/carawayrack/catalog"

// mayProbe reports whether the request may be sent to an unhealthy target. A request of
// kind download may not: what a target has begun to send of a large response cannot be
// taken back, so that another target cannot be tried when this one fails half-way, and
// the probe takes a slot and bandwidth for much longer than that of a small response.
// Services without other repeatable requests are probed by health checks.
func (c *call) mayProbe() bool { return c.route.Kind == catalog.Idempotent }
