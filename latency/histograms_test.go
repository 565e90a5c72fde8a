package latency

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/carawayrack/carawayrack/clock"
)

var _ = Describe("latency histograms", func() {
	It("summarise latencies by name, including those outside the range", func() {
		var l Histograms
		for i := clock.Millis(1); i <= 100; i++ {
			l.Record("unsafe.answered", i)
		}
		l.Record("unsafe.refused", 0)
		l.Record("unsafe.refused", 10*longest)
		s := l.Summary().(map[string]Quantiles)
		Expect(s["unsafe.answered"]).To(Equal(Quantiles{Count: 100, P50: 50, P90: 90, P99: 99, Max: 100}))
		Expect(s["unsafe.refused"].Count).To(Equal(int64(2)))
	})
})
