package coordinator

import (
	"github.com/carawayrack/carawayrack/clock"
	"github.com/carawayrack/carawayrack/replica"
)

// report answers another control process.
func (r *Replica) report(now clock.Millis, a ReportArgs) ReportReply {
	m := r.node.Members()
	p := ReportReply{LeaderID: r.node.LeaderID(), Leader: r.leaderAddr(), Member: m.Address(a.ID) == a.Addr}
	if r.node.Role() != replica.Leader {
		return p
	}
	p.Led = true
	if !p.Member && a.ID != "" {
		r.admit(now, a.ID, a.Addr)
	}
	p.Held = r.fleet.report(now, a)
	if f := r.fleet.list(now); f.Digest != a.Fleet {
		p.Fleet = f
	}
	r.lender.takeBack(now, a.Returns)
	p.Grants = r.lender.ahead(now, a.Wants)
	if b := r.node.LastProof(); b.At > 0 {
		p.Proven, p.Age, p.Sequence = true, now-b.At, b.Sequence
	}
	return p
}

// prepare returns the next report and the addresses to try.
func (r *Replica) prepare(now clock.Millis) prepared {
	l, d := r.fleet.own(now)
	a := ReportArgs{ID: r.ID, Addr: r.Settings.Peer, Zone: r.Settings.Zone, Digest: d, Fleet: r.fleet.told.Digest}
	if d != r.fleet.held {
		a.Hosts = l
	}
	p := prepared{Args: a, Led: r.node.Role() == replica.Leader}
	if p.Led {
		return p
	}
	p.Args.Wants = r.lender.wants(now)
	if a := r.leaderAddr(); a != "" {
		p.To = []string{a}
		p.Args.Returns = r.lender.surplus(now)
		return p
	}
	p.To = r.others()
	return p
}

// others returns the addresses of all other control processes that are known.
func (r *Replica) others() []string {
	m := map[string]string{}
	for _, a := range r.Settings.Seeds {
		m[a] = a
	}
	x := r.node.Members()
	for _, a := range x.Voters {
		m[a] = a
	}
	for _, c := range r.fleet.told.Cores {
		m[c.Addr] = c.Addr
	}
	delete(m, r.Settings.Peer)
	return ids(m)
}

// reported takes over the leader's answer.
func (r *Replica) reported(now clock.Millis, m *reported) {
	p := m.Reply
	if !p.Led || r.node.Role() == replica.Leader {
		return
	}
	r.fleet.held = p.Held
	r.lender.heardAt = now
	if p.Fleet != nil {
		r.fleet.told = p.Fleet
	}
	for n, k := range p.Grants {
		r.lender.keep(now, &lent{Account: n, Tokens: k})
	}
	if p.Proven {
		r.note(pendingProof{At: m.SentAt - p.Age, Sequence: p.Sequence})
	}
}
