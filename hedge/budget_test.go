package hedge

import (
	"fmt"
	"math/rand"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/carawayrack/carawayrack/clock"
)

// slowRequest may be hedged as far as it is concerned.
var slowRequest = Request{Attempts: true, Remaining: 5000, Times: Times{Delay: 900, Median: 600, Responses: 100}}

// filled returns a budget after n requests, one each 100 ms.
func filled(n int) (*Budget, clock.Millis) {
	b := &Budget{Limit: 0.1, RetryRatio: 0.16, RetrySlack: 1}
	now := clock.Millis(100_000)
	for range n {
		b.CountRequest(now)
		now += 100
	}
	return b, now
}

var _ = Describe("a budget of hedges", func() {
	hedges := func(b *Budget, now clock.Millis) (n int) {
		for b.Decide(now, slowRequest).Reason == Started {
			n++
		}
		return n
	}

	It("allows the share of the requests of a window, rounded up, however much was saved up", func() {
		b, now := filled(300)
		Expect(hedges(b, now)).To(Equal(10))
		Expect(b.Decide(now, slowRequest).Reason).To(Equal(OverLimit))
	})

	It("saves up the hedges of three windows, and at least one", func() {
		b, now := filled(3000)
		n := 0
		for k := range clock.Millis(8) {
			for range 15 {
				b.window.current(now + k*(Window+slotLength)).Requests += 10
			}
			n += hedges(b, now+k*(Window+slotLength))
		}
		Expect(n).To(Equal(29))
		b = &Budget{Limit: 0.05, RetryRatio: 0.16}
		for k := range clock.Millis(25) {
			b.CountRequest(now + k*clock.Second)
		}
		Expect(hedges(b, now+24*clock.Second)).To(Equal(1))
	})

	It("leaves the slack and a part of the earned retries to retries", func() {
		b, now := filled(100)
		for range 11 {
			Expect(b.AllowsRetry(now)).To(BeTrue())
			b.CountRetry(now)
		}
		Expect(b.Decide(now, slowRequest).Reason).To(Equal(RetriesFirst))
		b.CancelRetry(now)
		Expect(b.Decide(now, slowRequest).Reason).To(Equal(Started))
		// Hedges and retries together stay within 0.16 of 99 requests and the slack.
		n := 0
		for ; b.AllowsRetry(now); n++ {
			b.CountRetry(now)
		}
		Expect(b.Counts(now).Retries + b.Counts(now).Hedges).To(Equal(16))
	})

	It("takes back a hedge that found no target", func() {
		b, now := filled(100)
		Expect(b.Decide(now, slowRequest).Reason).To(Equal(Started))
		b.Cancel(now)
		Expect(b.Counts(now).Hedges).To(BeZero())
		Expect(b.Decide(now, slowRequest).Reason).To(Equal(Started))
	})

	It("forgets what lies outside the window", func() {
		b, now := filled(100)
		b.Decide(now, slowRequest)
		Expect(b.Counts(now + Window + slotLength)).To(Equal(Counts{}))
	})

	DescribeTable("refuses a hedge",
		func(change func(*Request), want Reason) {
			b, now := filled(100)
			r := slowRequest
			change(&r)
			Expect(b.Decide(now, r).Reason).To(Equal(want))
			Expect(b.Decide(now, slowRequest).Reason).To(Equal(Started), "nothing was taken")
		},
		Entry("without another attempt", func(r *Request) { r.Attempts = false }, AttemptsUsed),
		Entry("without enough responses", func(r *Request) { r.Times.Responses = minResponses - 1 }, FewResponses),
		Entry("shortly before the deadline", func(r *Request) { r.Remaining = 600 }, OutOfTime),
		Entry("if all targets want a pause", func(r *Request) { r.Closed = true }, Paused),
		Entry("if requests wait", func(r *Request) { r.Queued = true }, Waiting),
	)

	It("counts a request as slow once, however often its hedge is tried", func() {
		b, now := filled(100)
		for _, again := range []bool{false, true, true} {
			b.Decide(now, Request{Again: again})
		}
		Expect(b.Counts(now).Slow).To(Equal(1))
	})

	It("refuses hedges while most requests are slow, for which a second target is as slow", func() {
		b, now := filled(100)
		for range 51 {
			b.Decide(now, Request{})
		}
		Expect(b.Decide(now, slowRequest).Reason).To(Equal(AllSlow))
	})
})

var _ = Describe("the limit of a fleet", func() {
	// Guards against hosts that together exceed the limit when all of them have saved up
	// hedges and all requests become slow at the same time, again and again.
	DescribeTable("holds in each window, but for one hedge of each host",
		func(hosts int, perSecond, limit float64) {
			r := rand.New(rand.NewSource(3))
			var fleet []*Budget
			for range hosts {
				fleet = append(fleet, &Budget{Limit: limit, RetryRatio: 0.16})
			}
			const step, seconds = 50 * clock.Millis(1), 120
			var requests, hedges []int
			most := 0.0
			for now := clock.Millis(0); now < seconds*clock.Second; now += step {
				nr, nh := 0, 0
				for range hosts {
					if r.Float64()*float64(hosts) < perSecond*float64(step)/1000 {
						b := fleet[r.Intn(hosts)]
						b.CountRequest(now)
						nr++
						if now%(30*clock.Second) > 20*clock.Second && r.Float64() < 0.45 && b.Decide(now, slowRequest).Reason == Started {
							nh++
						}
					}
				}
				requests, hedges = append(requests, nr), append(hedges, nh)
				if k := len(requests) - int(Window/step); k >= 0 {
					n, h := sum(requests[k:]), sum(hedges[k:])
					Expect(float64(h)).To(BeNumerically("<=", limit*float64(n)+float64(hosts)))
					most = max(most, float64(h)-limit*float64(n))
				}
			}
			Expect(sum(hedges)).To(BeNumerically(">", 0))
			GinkgoWriter.Println(fmt.Sprintf("%d hosts, %.0f requests/s, limit %.2f: %d hedges of %d requests, at most %.0f beyond the limit in 10 s",
				hosts, perSecond, limit, sum(hedges), sum(requests), most))
		},
		Entry("84 hosts of one request a second", 84, 84.0, 0.05),
		Entry("84 hosts, 2 %", 84, 191.0, 0.02),
		Entry("84 hosts, 10 %", 84, 191.0, 0.1),
		Entry("124 hosts, 5 %", 124, 286.0, 0.05),
	)
})

func sum(l []int) int {
	n := 0
	for _, x := range l {
		n += x
	}
	return n
}

var _ = DescribeTable("the delay of a hedge",
	func(limit float64, objective, median, tail clock.Millis, want clock.Millis) {
		t := NewTimes(limit, objective, func(q float64) (clock.Millis, int) {
			if q > minQuantile {
				Expect(q).To(BeNumerically("~", 1-limit, 1e-9))
				return tail, 100
			}
			return median, 100
		})
		Expect(t.Delay).To(Equal(want))
	},
	Entry("is the quantile that the share of the limit exceeds", 0.05, clock.Millis(10_000), clock.Millis(600), clock.Millis(1100), clock.Millis(1100)),
	Entry("is at least 1.5 medians", 0.05, clock.Millis(2000), clock.Millis(600), clock.Millis(620), clock.Millis(900)),
	Entry("leaves time for the second response within the objective", 0.05, clock.Millis(2000), clock.Millis(600), clock.Millis(3000), clock.Millis(1250)),
	Entry("is at most three medians without an objective", 0.05, clock.Millis(0), clock.Millis(600), clock.Millis(3000), clock.Millis(1800)),
	Entry("follows the responses if all become slow", 0.05, clock.Millis(2000), clock.Millis(3000), clock.Millis(3500), clock.Millis(4500)),
)
