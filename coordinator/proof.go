package coordinator

import (
	"maps"

	"github.com/carawayrack/carawayrack/clock"
	"github.com/carawayrack/carawayrack/replica"
)

// maxProofs is the largest number of proofs kept whose sequence the state has
// not reached yet.
const maxProofs = 64

// applyProofs adopts the newest proof whose sequence the state has reached and
// sends the responses that waited for it.
func (r *Replica) applyProofs(now clock.Millis) {
	if r.node.Role() == replica.Leader {
		if p := r.node.LastProof(); p.At > 0 {
			r.addProof(pendingProof{At: p.At, Sequence: p.Sequence})
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

// addProof keeps a proof unless the adopted one is at least as new.
func (r *Replica) addProof(p pendingProof) {
	if r.proven && p.At <= r.freshAt {
		return
	}
	r.pendingProofs = append(r.pendingProofs, p)
	if len(r.pendingProofs) > maxProofs {
		r.pendingProofs = r.pendingProofs[1:]
	}
}

// requestProof makes a leader confirm its leadership at once if a read waits
// for a newer proof.
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

// respondToReads responds to the reads for which the proof is new enough. It
// drops those that have waited for callTimeout; their requests time out.
func (r *Replica) respondToReads(now clock.Millis) {
	rest := r.pendingReads[:0]
	for _, x := range r.pendingReads {
		switch {
		case r.proven && r.freshAt >= x.since:
			r.Respond(x.sender, r.currentDocument())
		case now-x.since < callTimeout:
			rest = append(rest, x)
		}
	}
	r.pendingReads = rest
}

func (r *Replica) currentDocument() currentDocument {
	return currentDocument{
		Version: r.state.Version, Document: r.state.Document, ZoneRevisions: maps.Clone(r.state.ZoneRevisions),
		Rollouts: maps.Clone(r.state.Rollouts),
	}
}
