package leaseholder

import (
	"time"

	"github.com/carawayrack/carawayrack/clock"
	"github.com/carawayrack/carawayrack/journal"
	"github.com/carawayrack/carawayrack/limit"
	"github.com/carawayrack/carawayrack/placement"
	"github.com/carawayrack/carawayrack/refusal"
	"github.com/carawayrack/carawayrack/slots"
)

// holdsLease reports whether this member holds the lease now, under the term in
// which it leads.
func (s *Shard) holdsLease(now clock.Millis) bool {
	t, ok := s.member.Holds(now)
	return ok && t == s.term
}

// notLeaseholder returns the status for a request that only the leaseholder can
// handle. It names the leaseholder if that is known.
func (s *Shard) notLeaseholder(now clock.Millis) Status {
	k := s.member.Leaseholder(now)
	if k == s.Host {
		k = ""
	}
	return Status{Keeper: k, Refusal: refusal.New(refusal.NotLeaseholder, k)}
}

// startLeading makes this member leaseholder under a new term. It fences all hosts
// and starts to recover the state of the former leaseholder.
func (s *Shard) startLeading(now clock.Millis, term uint64) {
	s.term = term
	s.since = now
	s.buckets = map[string]*limit.Bucket{}
	s.loansKnownAt = 0
	s.reported = map[string]bool{}
	s.recordsRecovered = false
	s.complete = map[string]bool{}
	s.lastContact = map[string]clock.Millis{}
	hosts := s.hosts()
	for _, p := range s.pools {
		p.Lead(now, term, hosts)
	}
	s.Journal(journal.Event{Kind: journal.LeaseholderElected, Subject: s.subject(), Cause: "majority of the group"})
	for _, h := range hosts {
		s.fence(h, false)
	}
	r := &recordRecovery{shard: s.Number, term: term, groups: s.recallGroups(), transport: s.Transport, root: s.root, pid: s.self}
	go r.run()
}

// recallGroups returns the group of which a majority holds every acknowledged
// record. While the roster changes, that is the group of the earlier roster.
func (s *Shard) recallGroups() [][]string { return s.groups[len(s.groups)-1:] }

// fence starts a fenceCall, which fetches the report of a host.
func (s *Shard) fence(host string, probe bool) {
	l := &fenceCall{
		args: FenceArgs{Shard: s.Number, Term: s.term, Keeper: s.Host}, host: host, probe: probe,
		transport: s.Transport, root: s.root, pid: s.self, until: time.Now().Add(s.Options.HostLapse.Duration()),
	}
	go l.run()
}

// hosts returns the IDs of the roster's hosts.
func (s *Shard) hosts() []string {
	return placement.Rank(s.roster, "")
}

// stepDown stops leading, since another member may hold the lease.
func (s *Shard) stepDown(now clock.Millis) {
	if s.term == 0 {
		return
	}
	s.Journal(journal.Event{Kind: journal.LeaseholderLost, Subject: s.subject(), Cause: "the lease ended"})
	s.term = 0
	s.buckets = nil
	for _, p := range s.pools {
		p.StepDown()
	}
	s.sendResults(now)
}

// releaseLease gives up the lease, so that another member can get it at once.
func (s *Shard) releaseLease(now clock.Millis) {
	s.member.Release(now)
	s.stepDown(now)
}

// addReport handles a host's report of its loans and grants, or the proof that its
// process is dead.
func (s *Shard) addReport(now clock.Millis, m *fenceResult) {
	if m.term != s.term || !s.holdsLease(now) {
		return
	}
	if m.reply.Refused {
		s.member.ObserveTerm(now, m.reply.Seen)
		s.stepDown(now)
		return
	}
	s.lastContact[m.host] = now
	if m.dead {
		s.Journal(journal.Event{Kind: journal.HostProvedDead, Subject: m.host, Cause: "nothing listens on its port", Evidence: s.subject()})
	}
	s.store.MarkUnknown(m.host, m.reply.Incarnation)
	for _, h := range m.reply.Holdings {
		s.pool(now, h.Grant.Service)
	}
	for _, p := range s.pools {
		if !m.probe && !m.dead {
			p.Restore(now, m.host, m.reply.Incarnation, holdingsOf(m.reply.Holdings, p.Service.Name))
		}
		p.ReleaseHost(now, m.host, m.reply.Incarnation)
	}
	if m.probe {
		return
	}
	s.reported[m.host] = true
	s.restoreLoans(now, m)
	if s.loansKnownAt == now {
		s.Journal(journal.Event{Kind: journal.LeaseholderReady, Subject: s.subject(), Cause: "every host reported or is dead"})
	}
}

// holdingsOf returns the holdings for a service.
func holdingsOf(l []slots.Holding, service string) []slots.Holding {
	var r []slots.Holding
	for _, h := range l {
		if h.Grant.Service == service {
			r = append(r, h)
		}
	}
	return r
}

// allReported reports whether every host has reported its loans and grants or is
// proved dead.
func (s *Shard) allReported() bool {
	for id := range s.roster {
		if !s.reported[id] {
			return false
		}
	}
	return true
}

// unreported returns the hosts that have not reported their loans and grants and
// are not proved dead.
func (s *Shard) unreported() []string {
	var l []string
	for _, id := range s.hosts() {
		if !s.reported[id] {
			l = append(l, id)
		}
	}
	return l
}

// probeSilentHosts probes hosts that hold slots and have not called for
// probeAfter, to free the slots of dead processes.
func (s *Shard) probeSilentHosts(now clock.Millis) {
	for _, p := range s.pools {
		for h := range p.Hosts() {
			if now-max(s.lastContact[h], s.since) > probeAfter {
				s.lastContact[h] = now
				s.fence(h, true)
			}
		}
	}
}

// renew records that a host still uses or requests grants.
func (s *Shard) renew(now clock.Millis, m *RenewArgs) RenewReply {
	if !s.holdsLease(now) {
		return RenewReply{Status: s.notLeaseholder(now)}
	}
	s.lastContact[m.Host] = now
	_, member := s.roster[m.Host]
	return RenewReply{Unlearned: member && !s.reported[m.Host], Term: s.term, Keeper: s.Host}
}

// report handles a report that the host sends by itself, since the fence call did
// not reach it.
func (s *Shard) report(now clock.Millis, m *ReportArgs) ReportReply {
	if !s.holdsLease(now) || m.Term != s.term {
		return ReportReply{Status: s.notLeaseholder(now)}
	}
	s.addReport(now, &fenceResult{host: m.Host, term: m.Term, reply: m.Reply})
	return ReportReply{}
}
