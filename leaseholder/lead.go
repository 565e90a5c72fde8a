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

// leads reports whether this member is the keeper at this moment.
func (s *Shard) leads(now clock.Millis) bool {
	t, ok := s.member.Holds(now)
	return ok && t == s.term
}

func (s *Shard) away(now clock.Millis) Status {
	k := s.member.Leaseholder(now)
	if k == s.Host {
		k = ""
	}
	return Status{Keeper: k, Refusal: refusal.New(refusal.NotLeaseholder, k)}
}

func (s *Shard) lead(now clock.Millis, term uint64) {
	s.term = term
	s.since = now
	s.buckets = map[string]*limit.Bucket{}
	s.knownAt = 0
	s.learned = map[string]bool{}
	s.recalled = false
	s.complete = map[string]bool{}
	s.heard = map[string]clock.Millis{}
	hosts := s.hosts()
	for _, p := range s.pools {
		p.Lead(now, term, hosts)
	}
	s.Journal(journal.Event{Kind: journal.LeaseholderElected, Subject: s.subject(), Cause: "majority of the group"})
	for _, h := range hosts {
		s.ask(h, false)
	}
	r := &recaller{shard: s.Number, term: term, groups: s.recallGroups(), links: s.Transport, root: s.root, pid: s.self}
	go r.run()
}

// recallGroups returns the group whose majority holds every acknowledged
// record: the earlier one while the roster changes.
func (s *Shard) recallGroups() [][]string { return s.groups[len(s.groups)-1:] }

// ask learns what a host holds.
func (s *Shard) ask(host string, probe bool) {
	l := &learner{
		args: FenceArgs{Shard: s.Number, Term: s.term, Keeper: s.Host}, host: host, probe: probe,
		links: s.Transport, root: s.root, pid: s.self, until: time.Now().Add(s.Options.HostLapse.Duration()),
	}
	go l.run()
}

func (s *Shard) hosts() []string {
	return placement.Rank(s.roster, "")
}

func (s *Shard) retire(now clock.Millis) {
	if s.term == 0 {
		return
	}
	s.Journal(journal.Event{Kind: journal.LeaseholderLost, Subject: s.subject(), Cause: "the lease ended"})
	s.term = 0
	s.buckets = nil
	for _, p := range s.pools {
		p.StepDown()
	}
	s.answer(now)
}

func (s *Shard) resign(now clock.Millis) {
	s.member.Release(now)
	s.retire(now)
}

// learn takes in what a host holds, or that its process is dead.
func (s *Shard) learn(now clock.Millis, m *learned) {
	if m.term != s.term || !s.leads(now) {
		return
	}
	if m.reply.Refused {
		s.member.ObserveTerm(now, m.reply.Seen)
		s.retire(now)
		return
	}
	s.heard[m.host] = now
	if m.dead {
		s.Journal(journal.Event{Kind: journal.HostProvedDead, Subject: m.host, Cause: "nothing listens on its port", Evidence: s.subject()})
	}
	s.store.MarkUnknown(m.host, m.reply.Incarnation)
	for _, h := range m.reply.Holdings {
		s.pool(now, h.Grant.Service)
	}
	for _, p := range s.pools {
		if !m.probe && !m.dead {
			p.Restore(now, m.host, m.reply.Incarnation, ofService(m.reply.Holdings, p.Service.Name))
		}
		p.ReleaseHost(now, m.host, m.reply.Incarnation)
	}
	if m.probe {
		return
	}
	s.learned[m.host] = true
	s.learnLoans(now, m)
	if s.knownAt == now {
		s.Journal(journal.Event{Kind: journal.LeaseholderReady, Subject: s.subject(), Cause: "every host reported or is dead"})
	}
}

func ofService(l []slots.Holding, service string) []slots.Holding {
	var r []slots.Holding
	for _, h := range l {
		if h.Grant.Service == service {
			r = append(r, h)
		}
	}
	return r
}

// knowsAll reports whether every host has told what it holds.
func (s *Shard) knowsAll() bool {
	for id := range s.roster {
		if !s.learned[id] {
			return false
		}
	}
	return true
}

// unlearned returns the hosts that have not told what they hold.
func (s *Shard) unlearned() []string {
	var l []string
	for _, id := range s.hosts() {
		if !s.learned[id] {
			l = append(l, id)
		}
	}
	return l
}

// probeSilent asks hosts that hold slots and have not been heard of.
func (s *Shard) probeSilent(now clock.Millis) {
	for _, p := range s.pools {
		for h := range p.Hosts() {
			if now-max(s.heard[h], s.since) > probeAfter {
				s.heard[h] = now
				s.ask(h, true)
			}
		}
	}
}

func (s *Shard) renew(now clock.Millis, m *RenewArgs) RenewReply {
	if !s.leads(now) {
		return RenewReply{Status: s.away(now)}
	}
	s.heard[m.Host] = now
	_, member := s.roster[m.Host]
	return RenewReply{Unlearned: member && !s.learned[m.Host], Term: s.term, Keeper: s.Host}
}

// report takes in what a host tells by itself.
func (s *Shard) report(now clock.Millis, m *ReportArgs) ReportReply {
	if !s.leads(now) || m.Term != s.term {
		return ReportReply{Status: s.away(now)}
	}
	s.learn(now, &learned{host: m.Host, term: m.Term, reply: m.Reply})
	return ReportReply{}
}
