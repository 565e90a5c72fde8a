package host

import (
	"github.com/carawayrack/carawayrack/api"
	"github.com/carawayrack/carawayrack/clock"
	"github.com/carawayrack/carawayrack/config"
	"github.com/carawayrack/carawayrack/lease"
	"github.com/carawayrack/carawayrack/leaseholder"
	"github.com/carawayrack/carawayrack/refusal"
	"github.com/carawayrack/carawayrack/wire"
)

// find returns the roster entry of a host, from the current or the previous
// roster.
func (h *Host) find(id string) (config.Host, bool) {
	for _, m := range h.config().JointRoster() {
		if x, ok := m[id]; ok {
			return x, true
		}
	}
	return config.Host{}, false
}

// call calls a method of the service Keeper on a host. Calls to this host do not
// use the network.
func (h *Host) call(id, method string, args, reply any, timeout clock.Millis) error {
	if id == h.Settings.ID {
		return h.callLocal(args, reply)
	}
	x, ok := h.find(id)
	if !ok {
		return refusal.New(refusal.Unreachable, "host "+id+" is not in the roster")
	}
	return h.pool.Get(x.Peer).Call(method, args, reply, timeout)
}

// callLocal runs the method that belongs to the type of args on this host.
func (h *Host) callLocal(args, reply any) error {
	k := &ShardService{h.shards}
	switch a := args.(type) {
	case *leaseholder.TakeArgs:
		return k.Take(*a, reply.(*leaseholder.TakeReply))
	case *leaseholder.AcquireArgs:
		return k.Acquire(*a, reply.(*leaseholder.AcquireReply))
	case *leaseholder.RenewArgs:
		return k.Renew(*a, reply.(*leaseholder.RenewReply))
	case *leaseholder.ReportArgs:
		return k.Report(*a, reply.(*leaseholder.ReportReply))
	case *leaseholder.BeginArgs:
		return k.Begin(*a, reply.(*leaseholder.BeginReply))
	case *leaseholder.FinishArgs:
		return k.Finish(*a, reply.(*leaseholder.FinishReply))
	case *leaseholder.ShadowArgs:
		return k.Shadow(*a, reply.(*leaseholder.MemberReply))
	case *leaseholder.ReplicateArgs:
		return k.Replicate(*a, reply.(*leaseholder.MemberReply))
	case *leaseholder.RecallArgs:
		return k.Recall(*a, reply.(*leaseholder.RecallReply))
	}
	return refusal.New(refusal.BadRequest, "no such method")
}

// release sends a release to a host without waiting for a response.
func (h *Host) release(id string, a leaseholder.ReleaseArgs) {
	if id == h.Settings.ID {
		// Release never fails.
		_ = (&ShardService{h.shards}).Release([]leaseholder.ReleaseArgs{a}, nil)
		return
	}
	if x, ok := h.find(id); ok {
		h.releaseOutbox.Send(x.Peer, a)
	}
}

// sendLease sends a lease message to a host without waiting for a response.
func (h *Host) sendLease(id string, m lease.Message) {
	if x, ok := h.find(id); ok {
		h.leaseOutbox.Send(x.Peer, m)
	}
}

// transport returns the calls that the shards make to other hosts.
func (h *Host) transport() leaseholder.Transport {
	return leaseholder.Transport{
		Lease: h.sendLease,
		Shadow: func(id string, a leaseholder.ShadowArgs) (r leaseholder.MemberReply, err error) {
			err = h.call(id, "Keeper.Shadow", &a, &r, memberTimeout)
			return r, err
		},
		Replicate: func(id string, a leaseholder.ReplicateArgs) (r leaseholder.MemberReply, err error) {
			err = h.call(id, "Keeper.Replicate", &a, &r, memberTimeout)
			return r, err
		},
		Recall: func(id string, a leaseholder.RecallArgs) (r leaseholder.RecallReply, err error) {
			err = h.call(id, "Keeper.Recall", &a, &r, memberTimeout)
			return r, err
		},
		Fence:      h.requestFence,
		NoListener: wire.ProvesNoListener,
	}
}

// requestFence makes the fence call of a new leaseholder to a host and returns
// the reply, which holds the grants and loans of the host.
func (h *Host) requestFence(id string, a leaseholder.FenceArgs) (leaseholder.FenceReply, error) {
	if id == h.Settings.ID {
		return h.fence(a), nil
	}
	x, ok := h.find(id)
	if !ok {
		return leaseholder.FenceReply{}, refusal.New(refusal.Unreachable, "host "+id+" is not in the roster")
	}
	var r leaseholder.FenceReply
	err := h.pool.Get(x.Peer).Call("Host.Fence", &a, &r, memberTimeout)
	return r, err
}

// fence accepts a new leaseholder and returns the grants and loans that this host
// holds. It refuses if a later fencing term, or another leaseholder of the same
// term, is known.
func (h *Host) fence(a leaseholder.FenceArgs) leaseholder.FenceReply {
	seen, ok := h.fences.Raise(a)
	r := leaseholder.FenceReply{Incarnation: h.incarnation, Seen: seen, Refused: !ok}
	if ok {
		// Releases are sent to the new leaseholder from now on.
		h.locator.Remember(a.Shard, a.Keeper)
		r.Holdings = h.ledger.Fence(a)
		r.Loans = h.tokens.Fence(a.Shard, a.Term)
	}
	return r
}

// report sends the grants and loans that this host holds to a leaseholder whose
// fence call did not reach it.
func (h *Host) report(id string, a leaseholder.FenceArgs) {
	x := &leaseholder.ReportArgs{Shard: a.Shard, Host: h.Settings.ID, Term: a.Term, Reply: h.fence(a)}
	// The reply to the next renewal shows whether the report arrived.
	_ = h.call(id, "Keeper.Report", x, &leaseholder.ReportReply{}, memberTimeout)
}

// PeerService serves other hosts over net/rpc under the name Host.
type PeerService struct{ host *Host }

// Gossip returns configuration updates that the requesting host does not have yet.
func (p *PeerService) Gossip(a api.GossipArgs, r *api.GossipReply) error {
	*r = p.host.configSync.Gossip(a)
	return nil
}

// Fence returns the grants and loans that this host holds to a new
// leaseholder.
func (p *PeerService) Fence(a leaseholder.FenceArgs, r *leaseholder.FenceReply) error {
	*r = p.host.fence(a)
	return nil
}
