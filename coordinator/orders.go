package coordinator

import (
	"github.com/carawayrack/carawayrack/catalog"
	"github.com/carawayrack/carawayrack/clock"
)

// Unavailable is the error of a question that could not be decided: its
// outcome is unknown and it may be sent again.
type Unavailable struct{ Cause string }

// Error describes the failure.
func (e Unavailable) Error() string { return "unavailable: " + e.Cause }

// submit proposes a change and returns once it is accepted. The error is
// Unavailable.
func (c *Coordinator) submit(x catalog.Change) error {
	b, err := x.Encode()
	if err != nil {
		return err
	}
	p, err := ask[ProposeReply](c, &propose{b})
	if err != nil || p.Accepted {
		return err
	}
	if p.Leader == "" || p.Leader == c.Settings.Peer {
		return Unavailable{Cause: "no leader is known"}
	}
	var r ProposeReply
	if err := c.pool.Get(p.Leader).Call("Peer.Propose", ProposeArgs{b}, &r, askTimeout); err != nil {
		return Unavailable{Cause: err.Error()}
	}
	if !r.Accepted {
		return Unavailable{Cause: "not accepted by " + p.Leader}
	}
	return nil
}

// Configure puts a configuration in force and returns once it is accepted. A
// version that is not above the one in force changes nothing. The error is
// catalog.Invalid or Unavailable.
func (c *Coordinator) Configure(source []byte) (uint64, error) {
	x, err := c.Translate(source)
	if err != nil {
		return 0, err
	}
	if err := x.Validate(); err != nil {
		return x.Version, err
	}
	if h, err := ask[heldDocument](c, &document{}); err == nil && h.Document != nil && h.Version >= x.Version {
		return x.Version, nil
	}
	b, err := catalog.Compress(source)
	if err != nil {
		return x.Version, err
	}
	return x.Version, c.submit(catalog.Change{Document: b, Version: x.Version})
}

// Document returns the configuration in force as operators sent it, nil if
// there is none. It is proved to be the newest; the error is Unavailable.
func (c *Coordinator) Document() ([]byte, error) {
	h, err := ask[heldDocument](c, &proof{Since: c.after()})
	if err != nil || h.Document == nil {
		return nil, err
	}
	return catalog.Decompress(h.Document)
}

// after is the first point in time that is surely later than now: times are
// cut to milliseconds, and a proof of this one may have begun before.
func (c *Coordinator) after() clock.Millis { return c.clock.Now() + 1 }

// Evacuate takes a zone out, or back in, and returns once that is accepted.
func (c *Coordinator) Evacuate(zone string, out bool) error {
	if out {
		return c.submit(catalog.Change{Evacuate: zone})
	}
	return c.submit(catalog.Change{Restore: zone})
}

// Announce notes what a target says of itself and returns once hosts will
// know. It returns the address of a control process in the target's zone.
func (c *Coordinator) Announce(t catalog.Target) (string, error) {
	n, err := ask[newsReply](c, &news{t})
	if err != nil || !n.News {
		return n.Core, err
	}
	return n.Core, c.submit(catalog.Change{Targets: []catalog.Target{t}})
}

// lastNumber orders a departure after every announcement of its incarnation.
const lastNumber = 1 << 62

// bornMargin is how long before its departure a target was started at least:
// the clocks of machines differ, and one that comes back under the same ID
// must not be taken for the one that left.
const bornMargin = 1 * clock.Second

// Leave notes that a target has left and returns once hosts will know. A born
// of zero stands for the incarnation that runs now: its announcements may
// still be on their way, and must not bring it back.
func (c *Coordinator) Leave(id string, born int64) error {
	unknown := born == 0
	if unknown {
		// The newest announcement may not have reached this replica yet.
		if _, err := ask[heldDocument](c, &proof{Since: c.after()}); err != nil {
			return err
		}
		born = int64(c.Wall.Now() - bornMargin)
	}
	n, err := ask[newsReply](c, &news{catalog.Target{ID: id}})
	if err != nil {
		return err
	}
	t := n.Known
	if born < t.Born && (!unknown || t.Phase == catalog.Gone) {
		return nil
	}
	t.Born = max(t.Born, born)
	t.ID, t.Phase, t.Number = id, catalog.Gone, lastNumber
	return c.submit(catalog.Change{Targets: []catalog.Target{t}})
}

// State returns the state of the process for a person.
func (c *Coordinator) State() (Dump, error) { return ask[Dump](c, &dump{}) }
