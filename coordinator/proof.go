package coordinator

import (
	"github.com/carawayrack/carawayrack/clock"
	"github.com/carawayrack/carawayrack/replica"
)

// maxProofs is the number of proofs kept that the state has not reached yet.
const maxProofs = 64

// prove takes over the newest proof that the state has reached and answers
// those that waited for it.
func (r *Replica) prove(now clock.Millis) {
	if r.node.Role() == replica.Leader {
		if b := r.node.LastProof(); b.At > 0 {
			r.note(pendingProof{At: b.At, Sequence: b.Sequence})
		}
	}
	rest := r.proofs[:0]
	for _, p := range r.proofs {
		if p.Sequence > r.state.Sequence {
			rest = append(rest, p)
			continue
		}
		if !r.proven || p.At > r.freshAt {
			r.freshAt, r.proven = p.At, true
		}
	}
	r.proofs = rest
	r.answerEarly(now)
	r.answerReaders(now)
}

func (r *Replica) note(p pendingProof) {
	if r.proven && p.At <= r.freshAt {
		return
	}
	r.proofs = append(r.proofs, p)
	if len(r.proofs) > maxProofs {
		r.proofs = r.proofs[1:]
	}
}

// probe asks for a proof for those that wait for one.
func (r *Replica) probe(now clock.Millis) {
	if r.node.Role() != replica.Leader {
		return
	}
	for _, x := range r.readers {
		if now >= x.since && r.node.LastProof().At < x.since {
			r.node.ConfirmLeadership(now)
			return
		}
	}
}

func (r *Replica) answerReaders(now clock.Millis) {
	rest := r.readers[:0]
	for _, x := range r.readers {
		switch {
		case r.proven && r.freshAt >= x.since:
			r.Respond(x.sender, heldDocument{Version: r.state.Version, Document: r.state.Document})
		case now-x.since < callTimeout:
			rest = append(rest, x)
		}
	}
	r.readers = rest
}
