package latency

import (
	"strconv"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/carawayrack/carawayrack/clock"
)

var _ = Describe("the latencies of a route", func() {
	const now = clock.Millis(1_000_000)

	DescribeTable("have quantiles",
		func(q float64, want int) {
			r := &Routes{}
			for i := 100; i > 0; i-- {
				r.Record(now, "a", clock.Millis(i))
			}
			got, n := r.Quantile(now, "a", q)
			Expect(got).To(Equal(clock.Millis(want)))
			Expect(n).To(Equal(100))
		},
		Entry("the fastest", 0.0, 1),
		Entry("the median", 0.5, 50),
		Entry("the tail", 0.99, 99),
		Entry("the slowest", 1.0, 100),
		Entry("no more than the slowest", 2.0, 100),
	)

	It("are unknown before the first response, and separate from those of others", func() {
		r := &Routes{}
		_, n := r.Quantile(now, "a", 1)
		Expect(n).To(BeZero())
		r.Record(now, "b", 5)
		_, n = r.Quantile(now, "a", 1)
		Expect(n).To(BeZero())
	})

	// Guards against a slow period that counts for as long as the process runs.
	It("are forgotten after the window, and when newer responses take their place", func() {
		r := &Routes{}
		r.Record(now, "a", 9000)
		r.Record(now+window-1, "a", 10)
		got, n := r.Quantile(now+window-1, "a", 1)
		Expect(got).To(Equal(clock.Millis(9000)))
		Expect(n).To(Equal(2))
		got, n = r.Quantile(now+window, "a", 1)
		Expect(got).To(Equal(clock.Millis(10)))
		Expect(n).To(Equal(1))
		r.Record(now, "c", 9000)
		for range maxResponses {
			r.Record(now, "c", 20)
		}
		got, n = r.Quantile(now, "c", 1)
		Expect(got).To(Equal(clock.Millis(20)))
		Expect(n).To(Equal(maxResponses))
	})

	// Guards against memory that grows with each configuration.
	It("are kept of a bounded number of routes, of which those out of use make room", func() {
		r := &Routes{}
		for i := range 2 * maxRoutes {
			r.Record(now, strconv.Itoa(i), 1)
		}
		Expect(r.m).To(HaveLen(maxRoutes))
		r.Record(now+window, "new", 7)
		Expect(r.m).To(HaveLen(1))
		got, _ := r.Quantile(now+window, "new", 1)
		Expect(got).To(Equal(clock.Millis(7)))
	})
})
