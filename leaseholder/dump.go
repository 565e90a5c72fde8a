package leaseholder

import (
	"github.com/carawayrack/carawayrack/clock"
	"github.com/carawayrack/carawayrack/slots"
)

// BucketDump describes the token bucket of an account for operators, in whole
// tokens.
type BucketDump struct {
	Available int `json:"available"`
	Lent      int `json:"lent"`
}

// Dump describes a shard, as one member of its group sees it, for operators.
type Dump struct {
	Shard         int                   `json:"shard"`
	Leaseholder   string                `json:"keeper"`
	Term          uint64                `json:"term"`
	Leading       bool                  `json:"leads"`
	HostsReported int                   `json:"hostsLearned"`
	Records       int                   `json:"idempotencyRecords"`
	Complete      bool                  `json:"recordsComplete"`
	UncertainFor  clock.Millis          `json:"recordsDoubtMillis"`
	Buckets       map[string]BucketDump `json:"buckets,omitempty"`
	Pools         map[string]slots.Dump `json:"pools,omitempty"`
}

func (s *Shard) dump(now clock.Millis) Dump {
	d := Dump{
		Shard: s.Number, Leaseholder: s.member.Leaseholder(now), Term: s.member.Term(), Leading: s.term != 0, HostsReported: len(s.reported),
		Records: s.store.Size(), Complete: s.store.Complete(), UncertainFor: s.store.UncertainFor(now),
		Buckets: map[string]BucketDump{}, Pools: map[string]slots.Dump{},
	}
	for n, b := range s.buckets {
		available, lent := b.Tokens(now)
		d.Buckets[n] = BucketDump{available, lent}
	}
	for n, p := range s.pools {
		d.Pools[n] = p.Dump(now)
	}
	return d
}
