package shardclient

import (
	"fmt"
	"testing"

	"github.com/carawayrack/carawayrack/config"
)

// BenchmarkCandidates measures how long it takes to find the members of a shard's
// group among the number of hosts that is expected in two years.
func BenchmarkCandidates(b *testing.B) {
	s := config.New()
	for i := 0; i < 3600; i++ {
		id := fmt.Sprint("h", i)
		s.Hosts[id] = config.Host{ID: id, Zone: fmt.Sprint("z", i%6)}
	}
	l := &Locator{Config: func() *config.State { return s }}
	for i := 0; b.Loop(); i++ {
		l.candidates(i % 64)
	}
}
