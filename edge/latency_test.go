package edge

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/carawayrack/carawayrack/clock"
)

var _ = Describe("latency histograms", func() {
	It("summarise latencies by name, including those outside the range", func() {
		var l latencyHistograms
		for i := clock.Millis(1); i <= 100; i++ {
			l.record("unsafe.answered", i)
		}
		l.record("unsafe.refused", 0)
		l.record("unsafe.refused", 10*longestLatency)
		s := l.summary().(map[string]Quantiles)
		Expect(s["unsafe.answered"]).To(Equal(Quantiles{Count: 100, P50: 50, P90: 90, P99: 99, Max: 100}))
		Expect(s["unsafe.refused"].Count).To(Equal(int64(2)))
	})
})
