package edge

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"github.com/carawayrack/carawayrack/quota"
)

var _ = Describe("the budget of retries", func() {
	It("lets requests try sick targets at a host whose part is below two", func() {
		v := &view{zone: "a", self: "h1", log: zap.NewNop()}
		v.run()
		b := &quota.RetryBudget{Ratio: 0.16, Depth: 1.33}
		b.Run()
		v.budgets["s"] = b
		Expect(v.spare("s")).To(BeTrue())
		Expect(b.Spend()).To(BeTrue())
		Expect(v.spare("s")).To(BeFalse())
	})

	It("keeps one back where a host's part is larger", func() {
		v := &view{zone: "a", self: "h1", log: zap.NewNop()}
		v.run()
		b := &quota.RetryBudget{Ratio: 0.16, Depth: 10}
		b.Run()
		v.budgets["s"] = b
		for b.Left() >= spareRetries {
			Expect(v.spare("s")).To(BeTrue())
			b.Spend()
		}
		Expect(v.spare("s")).To(BeFalse())
	})
})
