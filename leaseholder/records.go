package leaseholder

import (
	"github.com/asynkron/protoactor-go/actor"

	"github.com/carawayrack/carawayrack/clock"
	"github.com/carawayrack/carawayrack/idempotency"
	"github.com/carawayrack/carawayrack/journal"
	"github.com/carawayrack/carawayrack/refusal"
)

// begin decides on a request with an Idempotency-Key. It may run only once a
// majority of the group holds the record of its start.
func (s *Shard) begin(c actor.Context, now clock.Millis, m *BeginArgs) {
	if !s.leads(now) {
		c.Respond(BeginReply{Status: s.away(now)})
		return
	}
	if !s.recalled {
		c.Respond(BeginReply{Status: Status{Refusal: refusal.New(refusal.LeaseholderUnavailable, "the records of the shard are being recovered")}})
		return
	}
	v, r := s.store.Begin(now, m.Record)
	if v != idempotency.Run {
		c.Respond(BeginReply{Verdict: v, Record: r})
		return
	}
	x := &replication{
		args:   ReplicateArgs{Shard: s.Number, Term: s.term, Records: []idempotency.Record{r}},
		groups: s.groups, self: s.Host, links: s.Transport,
		root: s.root, pid: s.self, asker: c.Sender(), record: r,
	}
	go x.run()
}

// finishBegin answers once the members have stored the start, or could not.
func (s *Shard) finishBegin(now clock.Millis, m *replicated) {
	if m.held && m.term == s.term && s.leads(now) {
		s.root.Send(m.asker, BeginReply{Verdict: idempotency.Run, Record: m.record})
		return
	}
	// Nothing was sent to a target, so that the start may be forgotten.
	if m.term == s.term {
		if r, ok := s.store.Cancel(m.record.Key); ok {
			s.spread([]idempotency.Record{r})
		}
	}
	s.root.Send(m.asker, BeginReply{Status: Status{Refusal: refusal.New(refusal.LeaseholderUnavailable, "too few members hold the record")}})
}

func (s *Shard) finish(now clock.Millis, m *FinishArgs) Status {
	if !s.leads(now) {
		return s.away(now)
	}
	var r idempotency.Record
	var ok bool
	if m.NotRun {
		r, ok = s.store.Cancel(m.Key)
	} else {
		r, ok = s.store.Finish(now, m.Key, m.State, m.Answer)
	}
	if ok {
		s.spread([]idempotency.Record{r})
	}
	return Status{}
}

// spread sends records to the other members without waiting.
func (s *Shard) spread(l []idempotency.Record) {
	a := ReplicateArgs{Shard: s.Number, Term: s.term, Records: l}
	for _, h := range s.others() {
		x := &spreader{host: h, args: a, links: s.Transport, root: s.root, pid: s.self}
		go x.run()
	}
}

// replicate stores records for the keeper.
func (s *Shard) replicate(now clock.Millis, m *ReplicateArgs) MemberReply {
	if m.Term < s.member.Term() || s.term != 0 {
		return MemberReply{Complete: s.store.Complete()}
	}
	s.store.Merge(now, m.Records)
	if m.All && m.Doubt > 0 {
		s.store.SetUncertain(now, m.Doubt)
	}
	if m.All {
		s.store.SetComplete()
	}
	return MemberReply{Accepted: true, Complete: s.store.Complete()}
}

// recall hands the records to a new keeper.
func (s *Shard) recall(now clock.Millis, m *RecallArgs) RecallReply {
	if m.Term < s.member.Term() {
		return RecallReply{}
	}
	return RecallReply{Accepted: true, Complete: s.store.Complete(), Records: s.store.All(now), Doubt: s.store.UncertainFor(now)}
}

// takeRecords ends the recovery of the shard's records.
func (s *Shard) takeRecords(now clock.Millis, m *recalled) {
	if m.term != s.term || !s.leads(now) {
		return
	}
	s.store.Merge(now, m.records)
	s.store.SetUncertain(now, m.doubt)
	if m.lost {
		s.store.SetUncertain(now, s.Options.Retention)
		s.Journal(journal.Event{Kind: journal.IdempotencyRecordsLost, Subject: s.subject(), Cause: "no majority of the group remembers the idempotency keys"})
	}
	s.store.SetComplete()
	s.recalled = true
}

// syncMember sends all records to a member that lacks some.
func (s *Shard) syncMember(m *memberState) {
	if m.term != s.term || !s.recalled {
		return
	}
	s.complete[m.host] = m.reply.Complete
	if m.reply.Complete || !m.reply.Accepted {
		return
	}
	now := s.Clock.Now()
	a := ReplicateArgs{Shard: s.Number, Term: s.term, Records: s.store.All(now), All: true, Doubt: s.store.UncertainFor(now)}
	x := &spreader{host: m.host, args: a, links: s.Transport, root: s.root, pid: s.self}
	go x.run()
}

// others returns the other members of the groups.
func (s *Shard) others() []string {
	seen := map[string]bool{s.Host: true}
	var l []string
	for _, g := range s.groups {
		for _, h := range g {
			if !seen[h] {
				seen[h] = true
				l = append(l, h)
			}
		}
	}
	return l
}

func (s *Shard) allComplete() bool {
	for _, h := range s.others() {
		if !s.complete[h] {
			return false
		}
	}
	return true
}
