package coordinator

import (
	"fmt"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("the control processes to which targets of another zone are sent", func() {
	// Guards against all targets of a zone at its first process, and against a target
	// that is sent to a lost process as long as that is listed.
	It("share the targets, and change with each announcement", func() {
		f := &fleetTable{Settings: Settings{Peer: "here", Zone: "z0"}, lastFleet: &Fleet{}}
		for k := 0; k < 12; k++ {
			f.lastFleet.Cores = append(f.lastFleet.Cores, Core{Addr: fmt.Sprint(k), Zone: fmt.Sprint("z", k%3)})
		}
		count := map[string]int{}
		for k := 0; k < 400; k++ {
			t := testTarget(fmt.Sprint("t", k), 1, uint64(1+k%7))
			a := f.coreFor(t)
			count[a]++
			t.Number++
			Expect(f.coreFor(t)).NotTo(Equal(a))
		}
		Expect(count).To(HaveLen(4))
		for a, n := range count {
			Expect(n).To(BeNumerically("<", 200), a)
		}
		t := testTarget("t", 1, 1)
		t.Zone = "z0"
		Expect(f.coreFor(t)).To(Equal("here"))
		t.Zone = "z9"
		Expect(f.coreFor(t)).To(BeEmpty())
	})
})
