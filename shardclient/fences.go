package shardclient

import (
	"sync"

	"github.com/carawayrack/carawayrack/leaseholder"
)

// Fences records, for each shard, the latest leaseholder that fenced this host.
// Loans and grants of earlier terms are refused from then on.
type Fences struct {
	mu     sync.Mutex
	latest map[int]fence
}

// fence is a leaseholder and its fencing term.
type fence struct {
	term        uint64
	leaseholder string
}

// Raise accepts a leaseholder, unless a later one or another one of the same term
// is known. It returns the highest term seen, and whether it accepted.
func (f *Fences) Raise(a leaseholder.FenceArgs) (uint64, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.latest == nil {
		f.latest = map[int]fence{}
	}
	o := f.latest[a.Shard]
	if a.Term < o.term || (a.Term == o.term && a.Keeper != o.leaseholder) {
		return o.term, false
	}
	f.latest[a.Shard] = fence{a.Term, a.Keeper}
	return a.Term, true
}

// Term returns the term below which a shard's loans and grants are refused.
func (f *Fences) Term(shard int) uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.latest[shard].term
}
