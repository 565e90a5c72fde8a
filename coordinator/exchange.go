package coordinator

import (
	"github.com/asynkron/protoactor-go/actor"

	"github.com/carawayrack/carawayrack/catalog"
	"github.com/carawayrack/carawayrack/clock"
	"github.com/carawayrack/carawayrack/rollout"
)

// pendingExchange is an exchange whose response waits for the first proof.
type pendingExchange struct {
	sender *actor.PID
	args   ExchangeArgs
	since  clock.Millis
}

// updateSince returns the update from the state at sequence to the current one:
// the changes if recentChanges still holds all of them, otherwise the whole
// state. Of several documents it has only the last, as a delta if the receiver
// accepts that.
func (r *Replica) updateSince(sequence uint64, deltas bool) Update {
	u := Update{Sequence: r.state.Sequence}
	if sequence == r.state.Sequence {
		return u
	}
	if k := len(r.recentChanges); k > 0 && sequence > 0 && sequence < r.state.Sequence && r.recentChanges[0].Sequence <= sequence+1 {
		l := r.recentChanges[sequence+1-r.recentChanges[0].Sequence:]
		last := lastDocument(l)
		for i, x := range l {
			switch {
			case i == last && deltas:
				u.Changes = append(u.Changes, r.documents.change(x, sequence))
			case i == last:
				u.Changes = append(u.Changes, x.Data)
			default:
				u.Changes = append(u.Changes, x.Rest)
			}
		}
		return u
	}
	if r.encodedAt != r.state.Sequence {
		b, err := catalog.Compress(r.capture())
		if err != nil {
			r.Failed(err)
			return u
		}
		r.encoded, r.encodedAt = b, r.state.Sequence
	}
	u.State = r.encoded
	return u
}

// serveExchange responds to a host, as soon as there is a proof of how current
// the state is.
func (r *Replica) serveExchange(now clock.Millis, sender *actor.PID, a ExchangeArgs) {
	if r.proven {
		r.Respond(sender, r.exchange(now, a))
		return
	}
	r.pendingExchanges = append(r.pendingExchanges, &pendingExchange{sender, a, now})
}

// respondToExchanges responds to all pending exchanges once there is a proof,
// and without one to those that have waited for firstProofWait.
func (r *Replica) respondToExchanges(now clock.Millis) {
	rest := r.pendingExchanges[:0]
	for _, x := range r.pendingExchanges {
		if r.proven || now-x.since >= firstProofWait {
			r.Respond(x.sender, r.exchange(now, x.args))
			continue
		}
		rest = append(rest, x)
	}
	r.pendingExchanges = rest
}

// exchange handles the request of one host and returns the response.
func (r *Replica) exchange(now clock.Millis, a ExchangeArgs) ExchangeReply {
	spent := r.fleet.recordHost(now, a)
	r.recordRollouts(now, rollout.HostReport{Host: a.Host.ID, Instance: a.Instance, Leaving: a.Host.Leaving, Reports: a.Rollouts})
	r.lender.returnTokens(now, a.Returns)
	r.lender.debit(now, spent)
	p := ExchangeReply{Known: r.proven, Age: now - r.freshAt, Grants: r.lender.prefetch(now, a.Wants), LenderAge: r.lender.lenderAge(now)}
	// A replica that lags behind must not replace a host's state by an older one.
	if !r.proven || a.Sequence > r.state.Sequence {
		p.Known = false
		return p
	}
	p.Update = r.updateSince(a.Sequence, a.Deltas)
	p.Fleet, p.FleetChange = r.fleet.history.update(r.fleet.list(now), a.Hosts, a.Deltas)
	return p
}
