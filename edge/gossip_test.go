package edge

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/carawayrack/carawayrack/balance"
)

var _ = Describe("pack", func() {
	It("loses no evidence, and fills no datagram beyond its size", func() {
		var l, got []balance.Observation
		for i := 0; i < 2*evidenceMax+1; i++ {
			l = append(l, balance.Observation{Key: uint32(i)})
		}
		for _, b := range pack(l) {
			// There is room for the ID of a host.
			Expect(len(b) + markSize + 2 + 128).To(BeNumerically("<=", datagramMax))
			got = append(got, balance.DecodeObservations(b)...)
		}
		Expect(got).To(Equal(l))
		Expect(pack(nil)).To(BeEmpty())
	})
})
