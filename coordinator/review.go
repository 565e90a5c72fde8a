package coordinator

import (
	"sort"

	"go.uber.org/zap"

	"github.com/carawayrack/carawayrack/catalog"
	"github.com/carawayrack/carawayrack/clock"
	"github.com/carawayrack/carawayrack/replica"
)

// review does the periodic work.
func (r *Replica) review(now clock.Millis) {
	r.lender.leader = r.leaderAddr()
	if r.node.Role() != replica.Leader {
		return
	}
	m := r.node.Members()
	if id := r.promotable(now, m); id != "" {
		r.change(now, m.Promote(id), "promoted learner", id)
		return
	}
	if id := r.removable(now, m); id != "" {
		r.change(now, m.Without(id), "removed voter", id)
	}
}

func (r *Replica) change(now clock.Millis, m replica.Members, what, id string) {
	if r.node.ProposeMembers(now, m) == nil {
		r.Log.Info(what, zap.String("replica", id), zap.Int("voters", len(m.Voters)))
	}
}

// promotable returns a learner that holds every committed entry.
func (r *Replica) promotable(now clock.Millis, m replica.Members) string {
	for _, id := range ids(m.Learners) {
		if r.node.CaughtUp(id) && r.node.Silence(now, id) < heartbeat*2 {
			return id
		}
	}
	return ""
}

// removable returns a voter that is lost: its machine came back with an empty
// disk, or it has been silent for long.
func (r *Replica) removable(now clock.Millis, m replica.Members) string {
	if len(m.Voters) <= minVoters {
		return ""
	}
	limit := lostSilence
	if len(m.Voters)%2 == 0 {
		limit = surplusSilence
	}
	for _, id := range ids(m.Voters) {
		if id == r.node.ID {
			continue
		}
		quiet := r.node.Silence(now, id)
		if quiet > limit || (quiet > electionTimeout && reborn(m, id)) {
			return id
		}
	}
	return ""
}

// reborn reports whether the machine of a voter has another voter.
func reborn(m replica.Members, id string) bool {
	for o := range m.Voters {
		if o != id && nameOf(o) == nameOf(id) {
			return true
		}
	}
	return false
}

func ids(m map[string]string) []string {
	l := make([]string, 0, len(m))
	for id := range m {
		l = append(l, id)
	}
	sort.Strings(l)
	return l
}

// admit makes a process that asks for it a learner.
func (r *Replica) admit(now clock.Millis, id, addr string) {
	m := r.node.Members()
	n := m.WithLearner(id, addr)
	for o := range m.Learners {
		if o != id && nameOf(o) == nameOf(id) {
			n = n.Without(o)
		}
	}
	r.change(now, n, "admitted learner", id)
}

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
	if b := r.node.LastBeat(); b.At > 0 {
		p.Proven, p.Age, p.Sequence = true, now-b.At, b.Mark
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

// Dump is the state of a control process for a person.
type Dump struct {
	ID       string                    `json:"id"`
	Role     string                    `json:"role"`
	Term     uint64                    `json:"term"`
	Leader   string                    `json:"leader"`
	Sequence uint64                    `json:"sequence"`
	Version  uint64                    `json:"version"`
	AgeMs    clock.Millis              `json:"ageMillis"`
	Voters   map[string]string         `json:"voters"`
	Learners map[string]string         `json:"learners"`
	Hosts    int                       `json:"hosts"`
	Targets  map[string]catalog.Target `json:"targets"`
	ZonesOut map[string]bool           `json:"zonesOut"`
}

func (r *Replica) dump(now clock.Millis) Dump {
	m := r.node.Members()
	t := make(map[string]catalog.Target, len(r.state.Targets))
	for id, x := range r.state.Targets {
		t[id] = x
	}
	z := map[string]bool{}
	for n := range r.state.ZonesOut {
		z[n] = true
	}
	return Dump{
		ID: r.ID, Role: string(r.node.Role()), Term: r.node.Term(), Leader: r.node.LeaderID(),
		Sequence: r.state.Sequence, Version: r.state.Version, AgeMs: now - r.freshAt,
		Voters: m.Voters, Learners: m.Learners, Hosts: len(r.fleet.told.Hosts), Targets: t, ZonesOut: z,
	}
}
