package leaseholder

import (
	"github.com/asynkron/protoactor-go/actor"

	"github.com/carawayrack/carawayrack/clock"
	"github.com/carawayrack/carawayrack/slots"
)

// pool returns the pool of a service, nil if there is no such service. It creates
// the pool if needed.
func (s *Shard) pool(now clock.Millis, service string) *slots.Pool {
	if p := s.pools[service]; p != nil {
		return p
	}
	c, ok := s.state.Services[service]
	if !ok {
		return nil
	}
	// The pool waits longer than the hosts, since clocks may differ in speed.
	p := &slots.Pool{Service: c.WithDefaults(), Journal: s.Journal, Violated: s.Violated, HostLapse: s.Options.HostLapse + s.Options.HostLapse/5}
	p.Run()
	p.SetEvacuatedZones(now, s.state.EvacuatedZones())
	if s.term != 0 {
		p.Lead(s.since, s.term, s.unreported())
	}
	s.pools[service] = p
	return p
}

func (s *Shard) acquire(c actor.Context, now clock.Millis, m *AcquireArgs) {
	if !s.holdsLease(now) {
		c.Respond(AcquireReply{Status: s.notLeaseholder(now)})
		return
	}
	r := m.Request
	s.lastContact[r.Host] = now
	p := s.pool(now, r.Service)
	if p == nil {
		c.Respond(AcquireReply{Result: slots.Result{Refused: slots.NoTargets}})
		return
	}
	s.pending[ticketKey{r.Host, r.Ticket}] = c.Sender()
	p.Acquire(now, r)
}

// sendResults sends the results of the pools to the waiting requests.
func (s *Shard) sendResults(now clock.Millis) {
	for _, p := range s.pools {
		for _, r := range p.TakeResults() {
			k := ticketKey{r.Host, r.Ticket}
			to := s.pending[k]
			delete(s.pending, k)
			if to == nil {
				continue
			}
			a := AcquireReply{Result: r}
			if r.Refused == slots.LeaseholderChanged {
				a.Status = s.notLeaseholder(now)
			}
			s.root.Send(to, a)
		}
	}
}

func (s *Shard) release(now clock.Millis, m *ReleaseArgs) {
	p := s.pools[m.Service]
	if p == nil || !s.holdsLease(now) {
		return
	}
	if m.Ticket != 0 {
		p.Cancel(now, m.Host, m.Ticket)
		delete(s.pending, ticketKey{m.Host, m.Ticket})
		return
	}
	p.Release(now, m.Release)
}

func (s *Shard) announce(now clock.Millis, m *AnnounceArgs) {
	p := s.pool(now, m.Announcement.Service)
	if p == nil {
		return
	}
	if m.Leave {
		p.Leave(now, m.Announcement.Target, m.Announcement.Incarnation)
		return
	}
	p.Announce(now, m.Announcement)
}

// applySnapshot copies the state of the leaseholder's pools.
func (s *Shard) applySnapshot(now clock.Millis, m *ShadowArgs) MemberReply {
	if m.Term < s.member.Term() || s.term != 0 {
		return MemberReply{Complete: s.store.Complete()}
	}
	for _, x := range m.Pools {
		if p := s.pool(now, x.Service); p != nil {
			p.ApplySnapshot(now, x)
		}
	}
	return MemberReply{Accepted: true, Complete: s.store.Complete()}
}

// sendSnapshots sends the state of the pools to the other members.
func (s *Shard) sendSnapshots(now clock.Millis) {
	a := ShadowArgs{Shard: s.Number, Term: s.term}
	for _, p := range s.pools {
		a.Pools = append(a.Pools, p.Snapshot(now))
	}
	if len(a.Pools) == 0 && s.allComplete() && now-s.lastSentAt < idleSnapshotInterval {
		return
	}
	s.lastSentAt = now
	for _, h := range s.otherMembers() {
		x := &snapshotSender{host: h, args: a, transport: s.Transport, root: s.root, pid: s.self}
		go x.run()
	}
}
