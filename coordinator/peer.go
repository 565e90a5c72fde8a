package coordinator

import (
	"github.com/carawayrack/carawayrack/clock"
	"github.com/carawayrack/carawayrack/replica"
	"github.com/carawayrack/carawayrack/wire"
)

// Peer is the net/rpc service of a control process for hosts and other control
// processes.
type Peer struct{ c *Coordinator }

// borrowTimeout bounds the request to the leader, since a caller of the host
// waits for the response.
const borrowTimeout = 300 * clock.Millis(1)

// Deliver passes the messages of another replica to this one.
func (p Peer) Deliver(l []replica.Message, _ *wire.Nothing) error {
	p.c.actors.Root.Send(p.c.replicaPID(), &deliver{l})
	return nil
}

// Report handles the report of another control process.
func (p Peer) Report(a ReportArgs, r *ReportReply) (err error) {
	*r, err = request[ReportReply](p.c, &report{a})
	return err
}

// Leave removes a process that stops from the voters, if this process leads.
func (p Peer) Leave(a LeaveArgs, r *LeaveReply) (err error) {
	*r, err = request[LeaveReply](p.c, &leave{a})
	return err
}

// Propose appends a change to the log, if this process leads, and waits until
// it is committed.
func (p Peer) Propose(a ProposeArgs, r *ProposeReply) (err error) {
	*r, err = request[ProposeReply](p.c, &propose{a.Data})
	return err
}

// Exchange handles the periodic exchange of a host.
func (p Peer) Exchange(a ExchangeArgs, r *ExchangeReply) (err error) {
	*r, err = request[ExchangeReply](p.c, &exchange{a})
	return err
}

// Suspect handles the request of a host about a request that may crash its targets.
func (p Peer) Suspect(a SuspectArgs, r *SuspectReply) (err error) {
	*r, err = p.c.Suspect(a)
	return err
}

// Borrow lends tokens at once, from the cache of this process or from the
// leader. The cache keeps what the leader lends beyond the request, and how long
// the leader has no tokens.
func (p Peer) Borrow(a BorrowArgs, r *BorrowReply) (err error) {
	*r, err = request[BorrowReply](p.c, &borrow{a})
	if err != nil || r.Known || r.Leader == "" || r.Leader == p.c.Settings.Peer {
		return err
	}
	var l BorrowReply
	if err := p.c.pool.Get(r.Leader).Call("Peer.Borrow", a, &l, borrowTimeout); err != nil {
		return err
	}
	if !l.Known {
		*r = BorrowReply{}
		return nil
	}
	*r = BorrowReply{Tokens: min(l.Tokens, a.Tokens+a.Ahead), Wait: l.Wait, Known: true}
	p.c.actors.Root.Send(p.c.replicaPID(), &loan{Account: a.Account, Tokens: l.Tokens - r.Tokens, Wait: l.Wait})
	return nil
}
