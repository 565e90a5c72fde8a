package shardclient

import (
	"sync"

	"github.com/carawayrack/carawayrack/leaseholder"
)

// Fences remembers for each shard the latest keeper that asked what this host
// holds. Loans and grants of earlier terms are refused from then on.
type Fences struct {
	mu sync.Mutex
	m  map[int]fence
}

type fence struct {
	term   uint64
	keeper string
}

// Raise accepts a keeper unless a later one, or another one of the same term,
// is known. It returns the highest term seen.
func (f *Fences) Raise(a leaseholder.FenceArgs) (uint64, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.m == nil {
		f.m = map[int]fence{}
	}
	o := f.m[a.Shard]
	if a.Term < o.term || (a.Term == o.term && a.Keeper != o.keeper) {
		return o.term, false
	}
	f.m[a.Shard] = fence{a.Term, a.Keeper}
	return a.Term, true
}

// Term returns the term below which a shard's loans and grants are refused.
func (f *Fences) Term(shard int) uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.m[shard].term
}
