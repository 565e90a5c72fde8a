package edge

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/carawayrack/carawayrack/balance"
	"github.com/carawayrack/carawayrack/clock"
)

// Average latencies and objectives of the users' routes, in milliseconds.
var _ = DescribeTable("hedge delay leaves time for a second response within the objective",
	func(average, objective clock.Millis) {
		Expect(hedgeDelay(average, objective) + average).To(BeNumerically("<=", objective))
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
		Expect(hedgeDelay(300, 200)).To(Equal(clock.Millis(600)))
	})

	It("is bounded if the objective is long or there is none", func() {
		Expect(hedgeDelay(100, 10_000)).To(Equal(clock.Millis(500)))
		Expect(hedgeDelay(100, 0)).To(Equal(clock.Millis(500)))
	})

	It("is the objective before the first response", func() {
		Expect(hedgeDelay(0, 700)).To(Equal(clock.Millis(700)))
	})
})

var _ = Describe("the time after which an attempt is overdue", func() {
	// A host that has just started has seen no response yet.
	It("is longer than the objective before the first response, so that the first target does not count as slow", func() {
		w := newTestHost(newStandin("t", ok))
		c := &call{host: w.host, service: "s", route: &w.host.view.config.Routes[0]}
		Expect(c.overdueAfter()).To(BeNumerically(">", c.route.Objective))
		w.host.view.pool("s").Done(0, "t", balance.Result{Outcome: balance.Served, Took: 50})
		Expect(c.overdueAfter()).To(Equal(maxHedgeFactor*c.host.view.serviceLatency("s") + maxHedgeExtra))
	})
})
