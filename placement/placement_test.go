package placement

import (
	"fmt"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/carawayrack/carawayrack/config"
)

func TestPlacement(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "placement")
}

func hosts(n, zones int) map[string]config.Host {
	m := map[string]config.Host{}
	for i := 0; i < n; i++ {
		id := fmt.Sprint("h", i)
		m[id] = config.Host{ID: id, Zone: fmt.Sprint("z", i%zones)}
	}
	return m
}

var _ = Describe("Group", func() {
	It("spans different zones and uses most hosts, and only a removed host leaves its groups", func() {
		m := hosts(40, 4)
		before := map[int][]string{}
		shardsOf := map[string]int{}
		for s := 0; s < Shards; s++ {
			g := Group(m, s)
			before[s] = g
			zones := map[string]bool{}
			for _, id := range g {
				zones[m[id].Zone] = true
				shardsOf[id]++
			}
			Expect(zones).To(HaveLen(GroupSize))
		}
		Expect(len(shardsOf)).To(BeNumerically(">", 30))
		delete(m, "h7")
		for s, g := range before {
			after := Group(m, s)
			for _, id := range g {
				if id != "h7" {
					Expect(after).To(ContainElement(id), "shard %d", s)
				}
			}
		}
	})
})
