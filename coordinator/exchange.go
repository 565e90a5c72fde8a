package coordinator

import (
	"github.com/asynkron/protoactor-go/actor"

	"github.com/carawayrack/carawayrack/catalog"
	"github.com/carawayrack/carawayrack/clock"
)

// earlyHost is an exchange that waits for the first proof.
type earlyHost struct {
	sender *actor.PID
	args   ExchangeArgs
	since  clock.Millis
}

// update returns what leads from sequence to the state.
func (r *Replica) update(sequence uint64) Update {
	u := Update{Sequence: r.state.Sequence}
	if sequence == r.state.Sequence {
		return u
	}
	if k := len(r.changes); k > 0 && sequence > 0 && sequence < r.state.Sequence && r.changes[0].Sequence <= sequence+1 {
		for _, x := range r.changes[sequence+1-r.changes[0].Sequence:] {
			u.Changes = append(u.Changes, x.Data)
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

// host answers a host, as soon as there is a proof.
func (r *Replica) host(now clock.Millis, sender *actor.PID, a ExchangeArgs) {
	if r.proven {
		r.Respond(sender, r.exchange(now, a))
		return
	}
	r.early = append(r.early, &earlyHost{sender, a, now})
}

// answerEarly answers the hosts that waited for the first proof, or for too
// long.
func (r *Replica) answerEarly(now clock.Millis) {
	rest := r.early[:0]
	for _, x := range r.early {
		if r.proven || now-x.since >= holdFor {
			r.Respond(x.sender, r.exchange(now, x.args))
			continue
		}
		rest = append(rest, x)
	}
	r.early = rest
}

func (r *Replica) exchange(now clock.Millis, a ExchangeArgs) ExchangeReply {
	r.fleet.heard(now, a.Host)
	r.lender.takeBack(now, a.Returns)
	p := ExchangeReply{Known: r.proven, Age: now - r.freshAt, Grants: r.lender.ahead(now, a.Wants)}
	// A process that is behind must not take a host back to an older state.
	if !r.proven || a.Sequence > r.state.Sequence {
		p.Known = false
		return p
	}
	p.Update = r.update(a.Sequence)
	if f := r.fleet.list(now); f.Digest != a.Hosts {
		p.Fleet = f
	}
	return p
}
