package edge

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/carawayrack/carawayrack/balance"
	"github.com/carawayrack/carawayrack/clock"
)

// Usual answers and objectives of the users' routes, in milliseconds.
var _ = DescribeTable("patience leaves time for a second answer within the objective",
	func(typical, objective clock.Millis) {
		Expect(hedgeDelay(typical, objective) + typical).To(BeNumerically("<=", objective))
	},
	Entry("portal look-ups", clock.Millis(160), clock.Millis(600)),
	Entry("tolerance look-ups", clock.Millis(64), clock.Millis(200)),
	Entry("status look-ups", clock.Millis(90), clock.Millis(400)),
	Entry("journal look-ups", clock.Millis(36), clock.Millis(150)),
	Entry("portal look-ups, grown", clock.Millis(250), clock.Millis(1200)),
	Entry("tolerance look-ups, grown", clock.Millis(100), clock.Millis(600)),
)

var _ = Describe("patience", func() {
	It("is at least twice the usual answer, however short the objective", func() {
		Expect(hedgeDelay(300, 200)).To(Equal(clock.Millis(600)))
	})

	It("is bounded where the objective is far away, or there is none", func() {
		Expect(hedgeDelay(100, 10_000)).To(Equal(clock.Millis(500)))
		Expect(hedgeDelay(100, 0)).To(Equal(clock.Millis(500)))
	})

	It("is the objective before the first answer", func() {
		Expect(hedgeDelay(0, 700)).To(Equal(clock.Millis(700)))
	})
})

var _ = Describe("long patience", func() {
	// The pattern of a host that has just started: no answer has come yet.
	It("does not hold the work of the first request against its target", func() {
		w := newTestHost(newStandin("t", ok))
		c := &call{host: w.host, service: "s", route: &w.host.view.config.Routes[0]}
		Expect(c.slowAfter()).To(BeNumerically(">", c.route.Objective))
		w.host.view.pool("s").Done(0, "t", balance.Result{Outcome: balance.Served, Took: 50})
		Expect(c.slowAfter()).To(Equal(maxHedgeFactor*c.host.view.typicalLatency("s") + maxHedgeExtra))
	})
})
