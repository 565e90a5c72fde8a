package leaseholder

import (
	"github.com/asynkron/protoactor-go/actor"

	"github.com/carawayrack/carawayrack/clock"
	"github.com/carawayrack/carawayrack/idempotency"
	"github.com/carawayrack/carawayrack/journal"
	"github.com/carawayrack/carawayrack/refusal"
)

// begin decides on a request with an Idempotency-Key. The request may run only
// once a majority of each group has stored the record of its start.
func (s *Shard) begin(c actor.Context, now clock.Millis, m *BeginArgs) {
	if !s.holdsLease(now) {
		c.Respond(BeginReply{Status: s.notLeaseholder(now)})
		return
	}
	if !s.recordsRecovered {
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
		groups: s.groups, self: s.Host, transport: s.Transport,
		root: s.root, pid: s.self, requester: c.Sender(), record: r,
	}
	go x.run()
}

// finishBegin replies to the host once the members have stored the record of the
// start or failed to.
func (s *Shard) finishBegin(now clock.Millis, m *replicationResult) {
	if m.stored && m.term == s.term && s.holdsLease(now) {
		s.root.Send(m.requester, BeginReply{Verdict: idempotency.Run, Record: m.record})
		return
	}
	// Nothing was sent to a target, so the record can be deleted.
	if m.term == s.term {
		if r, ok := s.store.Cancel(m.record.Key); ok {
			s.sendRecords([]idempotency.Record{r})
		}
	}
	s.root.Send(m.requester, BeginReply{Status: Status{Refusal: refusal.New(refusal.LeaseholderUnavailable, "too few members hold the record")}})
}

// finish records how a request with an Idempotency-Key ended.
func (s *Shard) finish(now clock.Millis, m *FinishArgs) Status {
	if !s.holdsLease(now) {
		return s.notLeaseholder(now)
	}
	var r idempotency.Record
	var ok bool
	if m.NotRun {
		r, ok = s.store.Cancel(m.Key)
	} else {
		r, ok = s.store.Finish(now, m.Key, m.State, m.Answer)
	}
	if ok {
		s.sendRecords([]idempotency.Record{r})
	}
	return Status{}
}

// sendRecords sends records to the other members without waiting.
func (s *Shard) sendRecords(l []idempotency.Record) {
	a := ReplicateArgs{Shard: s.Number, Term: s.term, Records: l}
	for _, h := range s.otherMembers() {
		x := &recordSender{host: h, args: a, transport: s.Transport, root: s.root, pid: s.self}
		go x.run()
	}
}

// replicate stores records for the leaseholder.
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

// recall returns the records to a new leaseholder.
func (s *Shard) recall(now clock.Millis, m *RecallArgs) RecallReply {
	if m.Term < s.member.Term() {
		return RecallReply{}
	}
	return RecallReply{Accepted: true, Complete: s.store.Complete(), Records: s.store.All(now), Doubt: s.store.UncertainFor(now)}
}

// addRecoveredRecords stores the recovered records and ends the recovery. If no
// majority held all of them, keys without a record count as uncertain for the
// time of retention.
func (s *Shard) addRecoveredRecords(now clock.Millis, m *recoveredRecords) {
	if m.term != s.term || !s.holdsLease(now) {
		return
	}
	s.store.Merge(now, m.records)
	s.store.SetUncertain(now, m.uncertainFor)
	if m.lost {
		s.store.SetUncertain(now, s.Options.Retention)
		s.Journal(journal.Event{Kind: journal.IdempotencyRecordsLost, Subject: s.subject(), Cause: "no majority of the group holds all idempotency records"})
	}
	s.store.SetComplete()
	s.recordsRecovered = true
}

// syncMember sends all records to a member that does not hold all of them.
func (s *Shard) syncMember(m *memberResult) {
	if m.term != s.term || !s.recordsRecovered {
		return
	}
	s.complete[m.host] = m.reply.Complete
	if m.reply.Complete || !m.reply.Accepted {
		return
	}
	now := s.Clock.Now()
	a := ReplicateArgs{Shard: s.Number, Term: s.term, Records: s.store.All(now), All: true, Doubt: s.store.UncertainFor(now)}
	x := &recordSender{host: m.host, args: a, transport: s.Transport, root: s.root, pid: s.self}
	go x.run()
}

// otherMembers returns the other members of the groups.
func (s *Shard) otherMembers() []string {
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

// allComplete reports whether all other members hold every acknowledged record.
func (s *Shard) allComplete() bool {
	for _, h := range s.otherMembers() {
		if !s.complete[h] {
			return false
		}
	}
	return true
}
