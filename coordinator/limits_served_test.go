package coordinator_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/carawayrack/carawayrack/catalog"
	"github.com/carawayrack/carawayrack/clock"
)

const (
	// servedAgain is the time after an event in which an account at 0.9 of its rate may be
	// refused.
	servedAgain = 500 * clock.Millis(1)
	servedRuns  = 30
)

// refusedAfter plays a disruption of 2 s while an account asks for 0.9 of its rate at 12 hosts,
// by chance. It returns the times of its refused requests since the disruption.
func refusedAfter(seed int64, name string) []clock.Millis {
	a := catalog.Account{Name: "within", Rate: 64, Burst: 64}
	m := newLimitsModel(seed, 4, 5, 3, a, catalog.Account{Name: "steady", Rate: 50, Burst: 50})
	m.load[a.Name] = 0.9 * a.Rate
	m.run(8 * clock.Second)
	m.refused[a.Name] = nil
	at := m.now
	end := disruptions[disrupted(name)].begin(m)
	m.run(2 * clock.Second)
	end()
	m.run(8 * clock.Second)
	x, _ := m.excess(a.Name)
	Expect(x).To(BeNumerically("<=", 0), "seed %d", seed)
	var l []clock.Millis
	for _, t := range m.refused[a.Name] {
		l = append(l, t-at)
	}
	return l
}

func expectServedAgain(name string) {
	GinkgoHelper()
	for seed := int64(1); seed <= servedRuns; seed++ {
		for _, t := range refusedAfter(seed, name) {
			Expect(t).To(BeNumerically("<=", servedAgain), "seed %d", seed)
		}
	}
}

var _ = Describe("an account at 0.9 of its rate", func() {
	DescribeTable("is served through", expectServedAgain,
		Entry(nil, "hosts frozen"),
		Entry(nil, "hosts restarted"),
		Entry(nil, "account removed and put back"),
	)

	// KNOWN-RED.txt lists these: until the next leader may lend, hosts use fixed parts of the
	// rate (docs/design/limits.md).
	DescribeTable("is served again 500 ms after a change of who lends:", expectServedAgain,
		Entry(nil, "leader killed"),
		Entry(nil, "leader frozen"),
		Entry(nil, "leader cut off from all"),
		Entry(nil, "leader's zone cut off"),
		Entry(nil, "control process killed"),
		Entry(nil, "all control processes killed"),
	)

	// Guards against hosts that refuse what their own parts allow: control processes without a
	// leader, or without a configuration, replied as if they lent.
	DescribeTable("gets most of what own parts allow while nobody lends",
		func(name string, span clock.Millis) {
			refused := 0
			for seed := int64(1); seed <= servedRuns; seed++ {
				for _, t := range refusedAfter(seed, name) {
					if t <= span {
						refused++
					}
				}
			}
			asked := 0.9 * 64 * float64(span) / 1000 * servedRuns
			// Own parts are 0.7 of the rate, of which arrivals by chance use three quarters.
			Expect(asked - float64(refused)).To(BeNumerically(">=", asked/0.9*0.7*0.75))
		},
		Entry(nil, "leader killed", 1*clock.Second),
		Entry(nil, "leader frozen", 1*clock.Second),
		Entry(nil, "leader cut off from all", 1*clock.Second),
		Entry(nil, "leader's zone cut off", 1*clock.Second),
		Entry(nil, "all control processes killed", 2*clock.Second),
	)
})
