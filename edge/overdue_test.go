package edge

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/carawayrack/carawayrack/balance"
	"github.com/carawayrack/carawayrack/hedge"
)

var _ = Describe("the time after which an attempt is overdue", func() {
	// A host that has just started has seen no response yet.
	It("is longer than the objective before the first response, so that the first target does not count as slow", func() {
		w := newTestHost(newStandin("t", ok))
		c := &call{host: w.host, service: "s", route: &w.host.view.config.Routes[0]}
		Expect(c.overdueAfter()).To(BeNumerically(">", c.route.Objective))
		w.host.view.pool("s").Done(0, "t", balance.Result{Outcome: balance.Served, Took: 50})
		Expect(c.overdueAfter()).To(Equal(4*c.host.view.serviceLatency("s") + hedge.MaxExtra))
	})
})
