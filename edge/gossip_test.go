package edge

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/carawayrack/carawayrack/balance"
)

var _ = Describe("pack", func() {
	It("loses no observation and keeps datagrams within their size", func() {
		var l, got []balance.Observation
		for i := 0; i < 2*maxObservations+1; i++ {
			l = append(l, balance.Observation{Key: uint32(i)})
		}
		for _, b := range pack(l) {
			// The ID of a host takes up to 128 bytes.
			Expect(len(b) + tagSize + 2 + 128).To(BeNumerically("<=", maxDatagram))
			got = append(got, balance.DecodeObservations(b)...)
		}
		Expect(got).To(Equal(l))
		Expect(pack(nil)).To(BeEmpty())
	})
})
