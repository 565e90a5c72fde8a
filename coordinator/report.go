package coordinator

import (
	"github.com/carawayrack/carawayrack/clock"
	"github.com/carawayrack/carawayrack/replica"
)

// report handles the report of another control process. The leader admits a
// sender that is no member.
func (r *Replica) report(now clock.Millis, a ReportArgs) ReportReply {
	m := r.node.Members()
	p := ReportReply{LeaderID: r.node.LeaderID(), Leader: r.leaderAddr(), Member: m.Address(a.ID) == a.Addr}
	if r.node.Role() != replica.Leader {
		return p
	}
	p.Led = true
	r.node.NoteProcess(a.ID, a.Addr)
	if !p.Member && a.ID != "" {
		r.admit(now, a.ID, a.Addr)
	}
	p.Held = r.fleet.report(now, a)
	for _, h := range a.Rollouts {
		r.recordRollouts(now, h)
	}
	p.Fleet, p.FleetChange = r.fleet.history.update(r.fleet.list(now), a.Fleet, a.Deltas)
	r.lender.returnTokens(now, a.Returns)
	r.lender.debit(now, a.Spent)
	p.Grants = r.lender.prefetch(now, a.Wants)
	p.LenderAge = r.lender.lenderAge(now)
	if proof := r.node.LastProof(); proof.At > 0 {
		p.Proven, p.Age, p.Sequence = true, now-proof.At, proof.Sequence
	}
	return p
}

// prepareReport returns the next report and the addresses to try: that of the
// leader, or those of all other control processes if the leader is unknown.
// Tokens are only returned to a known leader.
func (r *Replica) prepareReport(now clock.Millis) preparedReport {
	l, d := r.fleet.directHosts(now)
	a := ReportArgs{ID: r.ID, Addr: r.Settings.Peer, Zone: r.Settings.Zone, Digest: d, Fleet: r.fleet.lastFleet.Digest, Deltas: true}
	if d != r.fleet.ackedDigest {
		a.Hosts = l
	}
	p := preparedReport{Args: a, Led: r.node.Role() == replica.Leader}
	if p.Led {
		return p
	}
	p.Args.Wants = r.lender.wants(now)
	p.Args.Silent, p.Args.Leaving = r.fleet.silentHosts(now)
	if a := r.leaderAddr(); a != "" {
		p.To = []string{a}
		p.Args.Rollouts = r.rollouts.takeRolloutReports(now)
		p.Args.Returns = r.lender.surplus(now)
		p.Args.Spent = r.lender.takeSpent()
		return p
	}
	p.To = r.otherAddrs()
	return p
}

// otherAddrs returns the addresses of all other known control processes.
func (r *Replica) otherAddrs() []string {
	m := map[string]string{}
	for _, a := range r.Settings.Seeds {
		m[a] = a
	}
	x := r.node.Members()
	for _, a := range x.Voters {
		m[a] = a
	}
	for _, c := range r.fleet.lastFleet.Cores {
		m[c.Addr] = c.Addr
	}
	delete(m, r.Settings.Peer)
	return sortedKeys(m)
}

// handleReportResult adopts the leader's response. The age of the leader's
// proof counts from when the report was sent, which is before the leader
// responded.
func (r *Replica) handleReportResult(now clock.Millis, m *reportResult) {
	p := m.Reply
	if !p.Led || r.node.Role() == replica.Leader {
		return
	}
	r.fleet.ackedDigest = p.Held
	r.lender.leaderReplyAt = now
	r.lender.couldLendAt = max(r.lender.couldLendAt, m.SentAt-p.LenderAge)
	r.fleet.adopt(p.Fleet, p.FleetChange)
	for n, k := range p.Grants {
		r.lender.addLoan(now, &loan{Account: n, Tokens: k})
	}
	if p.Proven {
		r.addProof(pendingProof{At: m.SentAt - p.Age, Sequence: p.Sequence})
	}
}
