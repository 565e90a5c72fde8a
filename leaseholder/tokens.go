package leaseholder

import (
	"strconv"

	"github.com/carawayrack/carawayrack/clock"
	"github.com/carawayrack/carawayrack/limit"
	"github.com/carawayrack/carawayrack/refusal"
)

// subject returns the name of the shard and term for the journal.
func (s *Shard) subject() string {
	return "shard " + strconv.Itoa(s.Number) + " term " + strconv.FormatUint(s.term, 10)
}

func (s *Shard) take(now clock.Millis, m *TakeArgs) TakeReply {
	if !s.holdsLease(now) {
		return TakeReply{Status: s.notLeaseholder(now)}
	}
	b := s.bucket(now, m.Account)
	if b == nil {
		return TakeReply{Status: Status{Refusal: refusal.New(refusal.KeyUnknown, "unknown account "+m.Account)}}
	}
	s.lastContact[m.Host] = now
	for _, x := range m.Settled {
		b.Settle(now, x.ID, x.Unspent)
	}
	l, wait := b.Lend(now, m.Host, m.Want, m.Ahead, s.Options.TokenLife)
	return TakeReply{Loan: l, Life: s.Options.TokenLife, Wait: wait, Settling: b.Recovering()}
}

// bucket returns the bucket of an account, nil if there is no such account. It
// creates the bucket if needed.
func (s *Shard) bucket(now clock.Millis, name string) *limit.Bucket {
	a, ok := s.state.Accounts[name]
	if !ok {
		return nil
	}
	if b := s.buckets[name]; b != nil {
		return b
	}
	b := &limit.Bucket{RatePerMinute: a.RatePerMinute, Burst: a.Burst, Term: s.term}
	b.Run(s.bucketStart(now))
	s.buckets[name] = b
	return b
}

// bucketStart returns the time from which a new bucket refills, and the time until
// which unreported loans may be outstanding, 0 if there are none.
func (s *Shard) bucketStart(now clock.Millis) (from, unreportedUntil clock.Millis) {
	if s.loansKnownAt > 0 {
		return s.loansKnownAt, 0
	}
	until := s.loansUnreportedUntil()
	if now >= until {
		return until, 0
	}
	return now, until
}

// loansUnreportedUntil returns the time at which the last loan of a former
// leaseholder has expired, with a margin for clocks that differ in speed.
func (s *Shard) loansUnreportedUntil() clock.Millis {
	return s.since + s.Options.TokenLife + s.Options.TokenLife/5
}

// restoreLoans restores the loans that a host reported.
func (s *Shard) restoreLoans(now clock.Millis, m *fenceResult) {
	for name, l := range m.reply.Loans {
		for _, x := range l {
			x.Host = m.host
			// Until is the time left. The margin is for clocks that differ in speed.
			x.Until += now + x.Until/5
			if b := s.bucket(now, name); b != nil {
				b.RestoreLoan(now, x)
			}
		}
	}
	if !s.allReported() {
		return
	}
	s.loansKnownAt = now
	for _, b := range s.buckets {
		b.FinishRecovery(now)
	}
}

// updateBuckets applies changed rates and bursts. The bucket of an account that the
// configuration lacks is kept until it is full, for the case that the account comes back. That
// of a new account fills up from the time at which this member knew all loans: a former
// leaseholder may have lent tokens of it.
func (s *Shard) updateBuckets(now clock.Millis) {
	if s.term == 0 {
		return
	}
	for name, b := range s.buckets {
		a, ok := s.state.Accounts[name]
		switch {
		case !ok && b.Full(now):
			delete(s.buckets, name)
		case ok && (a.RatePerMinute != b.RatePerMinute || a.Burst != b.Burst):
			b.SetLimit(now, a.RatePerMinute, a.Burst)
		}
	}
}
