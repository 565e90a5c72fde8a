package coordinator

import (
	"time"

	"github.com/pkg/errors"

	"github.com/carawayrack/carawayrack/catalog"
	"github.com/carawayrack/carawayrack/clock"
)

// RolloutConflict is the error of an order for a service that is being moved to
// another version.
type RolloutConflict struct{ Service string }

// Error names the service.
func (e RolloutConflict) Error() string {
	return "a roll-out of service " + e.Service + " to another version is running"
}

// NoRollout is the error of reading the roll-out of a service that had none.
type NoRollout struct{ Service string }

// Error names the service.
func (e NoRollout) Error() string { return "service " + e.Service + " has no roll-out" }

const (
	// orderRetryTime is the time after which an order that could not be submitted is
	// not submitted again. A submission takes up to 1.8 s (two times requestTimeout),
	// and operators wait 4 s for the acknowledgement.
	orderRetryTime = 2 * clock.Second
	// orderRetryPause is the pause before an order is submitted again.
	orderRetryPause = 50 * clock.Millis(1)
)

// StartRollout orders a roll-out of a service and returns once the order is
// accepted. It repeats the submission while there is no leader: the order has no
// effect if it is accepted twice. The error is RolloutConflict or Unavailable.
func (c *Coordinator) StartRollout(service, version string, duration clock.Millis) error {
	x := catalog.Change{Order: &catalog.Rollout{Service: service, Version: version, At: int64(c.Wall.Now()), Duration: duration}}
	end := c.clock.Now() + orderRetryTime
	for {
		err := c.submit(x)
		var unavailable Unavailable
		if err == nil || !errors.As(err, &unavailable) || c.clock.Now() >= end {
			return err
		}
		time.Sleep(orderRetryPause.Duration())
	}
}

// Rollout returns the last roll-out of a service. It includes every change
// accepted before the call. The error is NoRollout or Unavailable.
func (c *Coordinator) Rollout(service string) (catalog.Rollout, error) {
	h, err := request[currentDocument](c, &awaitProof{Since: c.laterThanNow()})
	if err != nil {
		return catalog.Rollout{}, err
	}
	r, ok := h.Rollouts[service]
	if !ok {
		return r, errors.WithStack(NoRollout{service})
	}
	return r, nil
}
