package leaseholder

import (
	"strconv"

	"github.com/carawayrack/carawayrack/clock"
	"github.com/carawayrack/carawayrack/config"
	"github.com/carawayrack/carawayrack/limit"
	"github.com/carawayrack/carawayrack/placement"
	"github.com/carawayrack/carawayrack/refusal"
)

// subject names the shard and term in the journal.
func (s *Shard) subject() string {
	return "shard " + strconv.Itoa(s.Number) + " term " + strconv.FormatUint(s.term, 10)
}

func (s *Shard) take(now clock.Millis, m *TakeArgs) TakeReply {
	if !s.leads(now) {
		return TakeReply{Status: s.away(now)}
	}
	b := s.bucket(now, m.Account)
	if b == nil {
		return TakeReply{Status: Status{Refusal: refusal.New(refusal.KeyUnknown, "unknown account "+m.Account)}}
	}
	s.heard[m.Host] = now
	for _, x := range m.Settled {
		b.Settle(now, x.ID, x.Unspent)
	}
	l, wait := b.Lend(now, m.Host, m.Want, m.Ahead, s.Options.TokenLife)
	return TakeReply{Loan: l, Life: s.Options.TokenLife, Wait: wait, Settling: b.Recovering()}
}

// bucket returns the bucket of an account, nil if there is no such account.
func (s *Shard) bucket(now clock.Millis, name string) *limit.Bucket {
	if b := s.buckets[name]; b != nil {
		return b
	}
	a, ok := s.state.Accounts[name]
	if !ok {
		return nil
	}
	b := &limit.Bucket{RatePerMinute: a.RatePerMinute, Burst: a.Burst, Term: s.term}
	b.Run(s.loansSettled(now))
	s.buckets[name] = b
	return b
}

// loansSettled returns the time from which a bucket without known loans fills,
// and the time until which unknown loans may be outstanding, 0 if none are.
func (s *Shard) loansSettled(now clock.Millis) (from, unknownUntil clock.Millis) {
	if s.knownAt > 0 {
		return s.knownAt, 0
	}
	until := s.loansUnknownUntil()
	if now >= until {
		return until, 0
	}
	return now, until
}

func (s *Shard) loansUnknownUntil() clock.Millis {
	return s.since + s.Options.TokenLife + s.Options.TokenLife/5
}

// learnLoans takes over the loans that a host reported.
func (s *Shard) learnLoans(now clock.Millis, m *learned) {
	for name, l := range m.reply.Loans {
		for _, x := range l {
			x.Host = m.host
			x.Until += now + x.Until/5
			if b := s.bucket(now, name); b != nil {
				b.RestoreLoan(now, x)
			}
		}
	}
	if !s.knowsAll() {
		return
	}
	s.knownAt = now
	for _, b := range s.buckets {
		b.FinishRecovery(now)
	}
}

// limitBuckets applies changed rates and bursts. An account that was created
// while this member was keeper has spent nothing yet and starts full.
func (s *Shard) limitBuckets(now clock.Millis, old *config.State) {
	if s.term == 0 || old == nil {
		return
	}
	for name, b := range s.buckets {
		a, ok := s.state.Accounts[name]
		if !ok {
			delete(s.buckets, name)
			continue
		}
		if a.RatePerMinute != b.RatePerMinute || a.Burst != b.Burst {
			b.SetLimit(now, a.RatePerMinute, a.Burst)
		}
	}
	if s.knownAt == 0 {
		return
	}
	for name := range s.state.Accounts {
		if _, ok := old.Accounts[name]; !ok && placement.AccountShard(name) == s.Number {
			s.bucket(now, name).Fill()
		}
	}
}
