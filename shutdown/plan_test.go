package shutdown

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/carawayrack/carawayrack/clock"
	"github.com/carawayrack/carawayrack/latency"
)

const (
	signal = clock.Millis(1_000_000)
	grace  = 6 * clock.Second
)

var _ = Describe("a planned stop", func() {
	p := Plan{Signal: signal, Grace: grace}

	// Guards against requests that are cut off, and against refusals of requests that
	// would have been answered. The work of each request lies up to a tenth below
	// and, where the window is long enough to have seen it, at its slowest.
	DescribeTable("sends exactly the requests that are answered before it ends",
		func(work, timeLimit int) {
			r := &latency.Routes{}
			for i := range 100 {
				r.Record(signal-clock.Millis(i), "r", clock.Millis(work-work*(i%11)/100))
			}
			tail, n := r.Quantile(signal, "r", 1)
			w := Work{Slowest: tail, Responses: n}
			sent, refused := 0, 0
			for arrival := clock.Millis(0); arrival <= grace; arrival += 10 {
				now := signal + arrival
				deadline := now + clock.Millis(timeLimit)
				latest := min(now+clock.Millis(work), deadline)
				if p.EndsBefore(now, deadline, w) {
					refused++
					// A twentieth of the slowest response is the safety margin.
					Expect(latest+clock.Millis(work/20+1)).To(BeNumerically(">", p.End()), "sent after %d ms", arrival)
					continue
				}
				sent++
				Expect(latest).To(BeNumerically("<=", p.End()), "sent after %d ms", arrival)
			}
			Expect(sent + refused).To(Equal(601))
			Expect(refused).To(BeNumerically(">", 0))
			if min(work, timeLimit) < int(grace-endMargin) {
				Expect(sent).To(BeNumerically(">", 0))
			} else {
				Expect(sent).To(BeZero())
			}
		},
		Entry("0.1 s", 100, 10_000),
		Entry("0.26 s", 260, 2_500),
		Entry("0.46 s", 460, 10_000),
		Entry("1.9 s", 1900, 30_000),
		Entry("3.5 s, within the route's 4 s", 3500, 4000),
		Entry("5 s", 5000, 10_000),
		Entry("7 s", 7000, 30_000),
		Entry("14 s", 14_000, 30_000),
		Entry("14 s, with a deadline before the end", 14_000, 1000),
	)

	DescribeTable("decides by the deadline, the work and the time that is left",
		func(graceMs, arrival, timeLimit, slowest, responses int, refused bool) {
			p := Plan{Signal: signal, Grace: clock.Millis(graceMs)}
			now := signal + clock.Millis(arrival)
			got := p.EndsBefore(now, now+clock.Millis(timeLimit), Work{clock.Millis(slowest), responses})
			Expect(got).To(Equal(refused))
		},
		Entry("short work at once, whatever the time limit", 6000, 0, 12_000, 610, 50, false),
		Entry("long work at once", 6000, 0, 12_000, 7000, 50, true),
		Entry("a route without responses, until its deadline", 6000, 0, 5799, 0, 0, false),
		Entry("a route without responses, too long", 6000, 0, 5800, 0, 0, true),
		Entry("one response is not yet a tail", 6000, 2400, 8000, 2000, 1, true),
		Entry("a few more are", 6000, 2400, 8000, 2000, 4, false),
		Entry("the deadline ends in time though the work does not", 6000, 4100, 1600, 7000, 50, false),
		Entry("the deadline ends with the process", 6000, 3400, 2400, 7000, 50, true),
		Entry("in a long grace period", 20_000, 3100, 30_000, 14_000, 50, false),
		Entry("in a grace period that is shorter than its margins", 100, 0, 4000, 10, 50, true),
	)

	It("keeps to the order: last response, exit, kill", func() {
		Expect(p.AcceptFor()).To(BeNumerically("<", p.End()-signal))
		Expect(p.End() - signal).To(BeNumerically("<", p.ExitAfter()))
		Expect(p.ExitAfter()).To(BeNumerically("<", grace))
		Expect(Plan{Grace: 100}.AcceptFor()).To(BeZero())
		Expect(Plan{Grace: 100}.ExitAfter()).To(BeZero())
	})

	It("explains a decision with its inputs", func() {
		Expect(p.Explain(signal+2500, signal+6500, Work{3500, 58})).To(Equal(
			"the process ends in 3300 ms and the deadline in 4000 ms, the slowest of 58 recent responses took 3500 ms, signal 2500 ms ago"))
		Expect(p.Explain(signal, signal+9000, Work{})).To(ContainSubstring("no recent responses"))
	})
})
