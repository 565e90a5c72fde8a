package catalog

import (
	"fmt"
	"math/rand"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("the index of targets by address", func() {
	// Guards against targets that keep an address which another one has taken, after
	// moves, departures, pruning and changes that the index has not seen.
	It("holds exactly the targets of the state", func() {
		r := rand.New(rand.NewSource(1))
		s := New(nil)
		for k := 0; k < 20_000; k++ {
			t := Target{ID: fmt.Sprint(r.Intn(3000)), Addr: fmt.Sprint(r.Intn(1500)), Service: "s", Born: int64(k), Phase: Serving}
			if r.Intn(3) == 0 {
				t.Phase = Gone
			}
			Expect(s.Apply(Change{Targets: []Target{t}})).To(Succeed())
			if r.Intn(1000) == 0 {
				delete(s.Targets, t.ID)
			}
		}
		want, serving := map[string]int{}, map[string]int{}
		for _, t := range s.Targets {
			want[t.Addr]++
			if t.Phase == Serving {
				serving[t.Addr]++
			}
		}
		for a, n := range want {
			Expect(s.targetsAt(a)).To(HaveLen(n), a)
			Expect(serving[a]).To(BeNumerically("<=", 1), a)
		}
		Expect(s.byAddr).To(HaveLen(len(want)))
	})
})
