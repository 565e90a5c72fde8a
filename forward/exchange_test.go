package forward

import (
	"net/http"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/carawayrack/carawayrack/clock"
)

var _ = Describe("Keep-Alive", func() {
	DescribeTable("limits how long a connection may be idle",
		func(v string, d clock.Millis) {
			r := &http.Response{Header: http.Header{"Keep-Alive": {v}}}
			Expect(keepAlive(r)).To(Equal(d))
		},
		Entry("seconds", "timeout=5", 4*clock.Second),
		Entry("seconds after another parameter", "max=3, timeout=10", 9*clock.Second),
		Entry("no longer than the margin", "timeout=1", clock.Second/2),
		Entry("no header", "", clock.Millis(0)),
		Entry("not a number", "timeout=x", clock.Millis(0)),
	)
})

var _ = Describe("Pool", func() {
	It("does not reuse a connection that was idle for too long", func() {
		now := clock.Millis(10_000)
		p := &Pool{FreshIdle: 100}
		p.Clock.Read = func() clock.Millis { return now }
		c := &Conn{idleSince: 9000}
		Expect(p.stale(c, false)).To(BeFalse())
		Expect(p.stale(c, true)).To(BeTrue())
		c.idleLimit = 900
		Expect(p.stale(c, false)).To(BeTrue())
	})
})
