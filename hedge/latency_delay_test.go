package hedge

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/carawayrack/carawayrack/clock"
)

// Average latencies and objectives of the users' routes, in milliseconds.
var _ = DescribeTable("hedge delay leaves time for a second response within the objective",
	func(average, objective clock.Millis) {
		Expect(Delay(average, objective) + average).To(BeNumerically("<=", objective))
	},
	Entry("portal look-ups", clock.Millis(160), clock.Millis(600)),
	Entry("tolerance look-ups", clock.Millis(64), clock.Millis(200)),
	Entry("status look-ups", clock.Millis(90), clock.Millis(400)),
	Entry("journal look-ups", clock.Millis(36), clock.Millis(150)),
	Entry("portal look-ups, grown", clock.Millis(250), clock.Millis(1200)),
	Entry("tolerance look-ups, grown", clock.Millis(100), clock.Millis(600)),
)

var _ = Describe("hedge delay", func() {
	It("is at least twice the average latency, however short the objective is", func() {
		Expect(Delay(300, 200)).To(Equal(clock.Millis(600)))
	})

	It("is bounded if the objective is long or there is none", func() {
		Expect(Delay(100, 10_000)).To(Equal(clock.Millis(500)))
		Expect(Delay(100, 0)).To(Equal(clock.Millis(500)))
	})

	It("is the objective before the first response", func() {
		Expect(Delay(0, 700)).To(Equal(clock.Millis(700)))
	})
})
