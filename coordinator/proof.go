package coordinator

import (
	"github.com/carawayrack/carawayrack/clock"
	"github.com/carawayrack/carawayrack/replica"
)

// maxProofs is the number of proofs kept that the state has not reached yet.
const maxProofs = 64

// applyProofs takes over the newest proof that the state has reached and answers
// those that waited for it.
func (r *Replica) applyProofs(now clock.Millis) {
	if r.node.Role() == replica.Leader {
		if b := r.node.LastProof(); b.At > 0 {
			r.addProof(pendingProof{At: b.At, Sequence: b.Sequence})
		}
	}
	rest := r.pendingProofs[:0]
	for _, p := range r.pendingProofs {
		if p.Sequence > r.state.Sequence {
			rest = append(rest, p)
			continue
		}
		if !r.proven || p.At > r.freshAt {
			r.freshAt, r.proven = p.At, true
		}
	}
	r.pendingProofs = rest
	r.respondToExchanges(now)
	r.respondToReads(now)
}

func (r *Replica) addProof(p pendingProof) {
	if r.proven && p.At <= r.freshAt {
		return
	}
	r.pendingProofs = append(r.pendingProofs, p)
	if len(r.pendingProofs) > maxProofs {
		r.pendingProofs = r.pendingProofs[1:]
	}
}

// requestProof asks for a proof for those that wait for one.
func (r *Replica) requestProof(now clock.Millis) {
	if r.node.Role() != replica.Leader {
		return
	}
	for _, x := range r.pendingReads {
		if now >= x.since && r.node.LastProof().At < x.since {
			r.node.ConfirmLeadership(now)
			return
		}
	}
}

func (r *Replica) respondToReads(now clock.Millis) {
	rest := r.pendingReads[:0]
	for _, x := range r.pendingReads {
		switch {
		case r.proven && r.freshAt >= x.since:
			r.Respond(x.sender, currentDocument{Version: r.state.Version, Document: r.state.Document})
		case now-x.since < callTimeout:
			rest = append(rest, x)
		}
	}
	r.pendingReads = rest
}
