package edge

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"github.com/carawayrack/carawayrack/quota"
)

var _ = Describe("the retry budget", func() {
	It("lets requests probe unhealthy targets if the share of the host is below two retries", func() {
		v := &fleetView{zone: "a", self: "h1", log: zap.NewNop()}
		v.run()
		b := &quota.RetryBudget{Ratio: 0.16, Depth: 1.33}
		b.Run()
		v.retryBudgets["s"] = b
		Expect(v.mayProbe("s")).To(BeTrue())
		Expect(b.Spend()).To(BeTrue())
		Expect(v.mayProbe("s")).To(BeFalse())
	})

	It("lets requests probe unhealthy targets only while two retries are left if the share of the host is larger", func() {
		v := &fleetView{zone: "a", self: "h1", log: zap.NewNop()}
		v.run()
		b := &quota.RetryBudget{Ratio: 0.16, Depth: 10}
		b.Run()
		v.retryBudgets["s"] = b
		for b.Left() >= minRetriesForProbe {
			Expect(v.mayProbe("s")).To(BeTrue())
			b.Spend()
		}
		Expect(v.mayProbe("s")).To(BeFalse())
	})
})
