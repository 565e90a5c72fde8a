package coordinator

import (
	"github.com/pkg/errors"

	"github.com/carawayrack/carawayrack/catalog"
	"github.com/carawayrack/carawayrack/clock"
)

// Unavailable is the error of a request that could not be decided. Its outcome
// is unknown and it may be sent again.
type Unavailable struct {
	Cause string
	// NotProposed is true if the request certainly has no effect, since no leader was
	// known.
	NotProposed bool
}

// Error returns the cause.
func (e Unavailable) Error() string { return "unavailable: " + e.Cause }

// Superseded is the error of an order for a zone that was not carried out because
// another one for the zone has come first since its revision was read.
type Superseded struct{ Zone string }

// Error names the zone.
func (e Superseded) Error() string { return "superseded by another order for zone " + e.Zone }

// submit proposes a change and returns once it is accepted. The error is Unavailable,
// Superseded, RolloutConflict or TrialTaken.
func (c *Coordinator) submit(x catalog.Change) error {
	_, err := c.propose(x)
	return err
}

// propose proposes a change, at the leader if another process leads, and returns the
// reply once it is accepted. The error is that of submit.
func (c *Coordinator) propose(x catalog.Change) (ProposeReply, error) {
	b, err := x.Encode()
	if err != nil {
		return ProposeReply{}, err
	}
	p, err := request[ProposeReply](c, &propose{b})
	if err != nil {
		return p, err
	}
	if p.Accepted {
		return p, outcome(x, p)
	}
	if p.Leader == "" {
		// A process that is no member yet only knows the leader from reports.
		p.Leader, _ = c.joining.Load().(string)
	}
	if p.Leader == "" || p.Leader == c.Settings.Peer {
		return p, Unavailable{Cause: "no leader is known", NotProposed: true}
	}
	var r ProposeReply
	if err := c.pool.Get(p.Leader).Call("Peer.Propose", ProposeArgs{b}, &r, requestTimeout); err != nil {
		return r, Unavailable{Cause: err.Error()}
	}
	if !r.Accepted {
		return r, Unavailable{Cause: "not accepted by " + p.Leader}
	}
	return r, outcome(x, r)
}

// outcome returns the error of a change that was accepted.
func outcome(x catalog.Change, p ProposeReply) error {
	if p.Superseded && x.Order != nil {
		return errors.WithStack(RolloutConflict{x.Order.Service})
	}
	if p.Superseded && x.Quarantine != nil {
		return errors.WithStack(TrialTaken{})
	}
	if p.Superseded {
		return errors.WithStack(Superseded{x.Evacuate + x.Restore})
	}
	return nil
}

// Configure puts a configuration document in force. It returns its version once
// the change is accepted. A version that is not above the one in force changes
// nothing. The error is that of Translate, catalog.Invalid or Unavailable.
func (c *Coordinator) Configure(source []byte) (uint64, error) {
	x, err := c.Translate(source)
	if err != nil {
		return 0, err
	}
	if err := x.Validate(); err != nil {
		return x.Version, err
	}
	if h, err := request[currentDocument](c, &readDocument{}); err == nil && h.Document != nil && h.Version >= x.Version {
		return x.Version, nil
	}
	b, err := catalog.Compress(source)
	if err != nil {
		return x.Version, err
	}
	return x.Version, c.submit(catalog.Change{Document: b, Version: x.Version})
}

// Document returns the configuration document in force as operators sent it,
// nil if there is none. It includes every change accepted before the call. The
// error is Unavailable.
func (c *Coordinator) Document() ([]byte, error) {
	h, err := request[currentDocument](c, &awaitProof{Since: c.laterThanNow()})
	if err != nil || h.Document == nil {
		return nil, err
	}
	return catalog.Decompress(h.Document)
}

// laterThanNow returns the first time that is certainly later than now. Times
// are truncated to milliseconds, so a proof with the current time may have
// begun before this call.
func (c *Coordinator) laterThanNow() clock.Millis { return c.clock.Now() + 1 }

// ZoneRevision returns the revision of a zone, to be passed to Evacuate. It
// includes every order accepted before the call. The error is Unavailable.
func (c *Coordinator) ZoneRevision(zone string) (uint64, error) {
	h, err := request[currentDocument](c, &awaitProof{Since: c.laterThanNow()})
	return h.ZoneRevisions[zone], err
}

// Evacuate evacuates a zone if evacuated is true and restores it otherwise. It
// returns once the change is accepted. The order has no effect unless revision is
// that of the zone: it may have been held up by a suspension or on a connection
// while its sender sent it elsewhere and gave other orders since. The error is
// Unavailable or Superseded.
func (c *Coordinator) Evacuate(zone string, evacuated bool, revision uint64) error {
	x := catalog.Change{Restore: zone, Revision: &revision}
	if evacuated {
		x = catalog.Change{Evacuate: zone, Revision: &revision}
	}
	return c.submit(x)
}

// Announce records the announcement of a target and returns once it is accepted
// or if the state needs no change. It returns the address of a control process
// in the target's zone, empty if there is none. The error is Unavailable.
func (c *Coordinator) Announce(t catalog.Target) (string, error) {
	n, err := request[announcementReply](c, &announcement{t})
	if err != nil || !n.NeedsChange {
		return n.Core, err
	}
	t.Unlisted = n.Unlisted
	return n.Core, c.announcer.announce(t)
}

// departureNumber orders a departure after every announcement of its
// incarnation.
const departureNumber = 1 << 62

// bornMargin is the least time that is assumed between the start of a target and
// its departure, where Leave is called without the start. An incarnation that is
// announced after the departure counts as one that has come back under the same
// ID if it started less than bornMargin before the departure or after it, and
// otherwise as the one that left.
// The margin covers the difference between the machines' clocks.
const bornMargin = 1 * clock.Second

// Leave records that a target has left and returns once that is accepted. Born
// is the start of the incarnation that left, in Unix milliseconds; zero stands
// for the one that runs now. Announcements of that incarnation that arrive
// later do not bring it back. The error is Unavailable.
func (c *Coordinator) Leave(id string, born int64) error {
	unknown := born == 0
	if unknown {
		// This replica may not have applied the newest announcement yet.
		if _, err := request[currentDocument](c, &awaitProof{Since: c.laterThanNow()}); err != nil {
			return err
		}
		born = int64(c.Wall.Now() - bornMargin)
	}
	n, err := request[announcementReply](c, &announcement{catalog.Target{ID: id}})
	if err != nil {
		return err
	}
	t := n.Known
	if born < t.Born && (!unknown || t.Phase == catalog.Gone) {
		return nil
	}
	t.Born = max(t.Born, born)
	t.ID, t.Phase, t.Displaced, t.Number = id, catalog.Gone, false, departureNumber
	return c.submit(catalog.Change{Targets: []catalog.Target{t}})
}

// State returns the state of the process for operators. The error is
// Unavailable.
func (c *Coordinator) State() (Dump, error) { return request[Dump](c, &dumpState{}) }
