package edge

import (
	"fmt"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"github.com/carawayrack/carawayrack/coordinator"
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

var _ = Describe("the retry budget of a large fleet", func() {
	// Four hundred hosts get one request a second each, all of which fail at first.
	It("is used, and never exceeded, if there are more hosts than retries", func() {
		const hosts, slack, ratio, seconds = 400, 120, 0.2, 10
		list := &coordinator.Fleet{}
		for i := range hosts {
			list.Hosts = append(list.Hosts, coordinator.Host{ID: fmt.Sprintf("h%03d", i), Zone: fmt.Sprint(i % 4), Narrow: true})
		}
		retries := 0
		for _, h := range list.Hosts {
			v := &fleetView{zone: h.Zone, self: h.ID, retry: RetryBudget{Ratio: ratio, Slack: slack}}
			v.run()
			v.fleet = list
			for range seconds {
				v.countRequest("s")
				if v.takeRetry("s") {
					retries++
				}
			}
		}
		Expect(float64(retries)).To(BeNumerically("<=", ratio*hosts*seconds+slack))
		Expect(float64(retries)).To(BeNumerically(">=", slack*retryBudgetShare))
	})
})
