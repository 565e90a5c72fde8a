package rollout

import (
	"strconv"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/carawayrack/carawayrack/catalog"
	"github.com/carawayrack/carawayrack/clock"
)

var _ = Describe("the plan of a roll-out", func() {
	s := Settings{ExposureShare: 0.1, ExposureSlack: 50, Rollback: 5000, Revocation: 5000}
	// advance plans steps every 100 ms, from the order to twice the duration, in
	// situations that change completes. It returns the end.
	advance := func(change func(*Situation)) (catalog.Rollout, clock.Millis) {
		r := catalog.Rollout{Service: "s", Version: "v2", Duration: 12_000, State: catalog.RolloutRunning}
		stepAt := clock.Millis(0)
		for now := clock.Millis(0); now < 24_000; now += 100 {
			x := Situation{Rollout: r, Elapsed: now, SinceStep: now - stepAt, Rate: 100, Responses: 50, RouteResponses: 50, NewSlots: 10, OldSlots: 10, Settled: true}
			change(&x)
			n, ok := s.Next(x)
			if !ok {
				continue
			}
			Expect(n.State != catalog.RolloutRunning || n.Share >= r.Share).To(BeTrue())
			r, stepAt = n, now
			if n.State != catalog.RolloutRunning {
				return n, now
			}
		}
		return r, 24_000
	}

	It("ends after three quarters of the duration", func() {
		r, at := advance(func(*Situation) {})
		Expect(r.State).To(Equal(catalog.RolloutCompleted))
		Expect(at).To(BeNumerically("<=", 9000))
	})

	// Guards against a roll-out without end of a service that nobody calls.
	It("completes without requests", func() {
		r, at := advance(func(x *Situation) { x.Rate, x.Responses, x.RouteResponses = 0, 0, 0 })
		Expect(r.State).To(Equal(catalog.RolloutCompleted))
		Expect(at).To(BeNumerically("<=", 12_000))
	})

	// Guards against requests that move to targets which do not exist, are too few or do
	// not answer.
	DescribeTable("ends with a roll-back at the time limit",
		func(change func(*Situation)) {
			r, at := advance(change)
			Expect(r.State).To(Equal(catalog.RolloutRolledBack))
			Expect(at).To(Equal(clock.Millis(12_000)))
		},
		Entry("no targets", func(x *Situation) { x.NewSlots = 0 }),
		Entry("a few targets", func(x *Situation) { x.NewSlots = 4 }),
		Entry("no responses although requests are sent", func(x *Situation) {
			x.Responses, x.RouteResponses = 0, 0
			x.Rate = 10_000
		}),
		Entry("no responses once all requests are sent there", func(x *Situation) {
			if x.Rollout.Share == 1 {
				x.Responses = 0
			}
		}),
		Entry("no responses although a few requests are sent", func(x *Situation) {
			x.Responses, x.RouteResponses = 0, 0
			x.Rate = 20
		}),
	)

	It("waits for cold targets before half of the requests move", func() {
		warmAt := clock.Millis(8000)
		r, at := advance(func(x *Situation) {
			if x.Elapsed < warmAt {
				x.ColdSlots = x.NewSlots
				Expect(x.Rollout.Share).To(BeNumerically("<", 0.5))
			}
		})
		Expect(r.State).To(Equal(catalog.RolloutCompleted))
		Expect(at).To(BeNumerically("<=", 12_000))
	})

	// Guards against requests at old targets of a host that is cut off or still busy.
	It("is completed only when all hosts have settled, or late", func() {
		_, at := advance(func(x *Situation) { x.Settled = x.Elapsed > 10_000 })
		Expect(at).To(BeNumerically(">", 10_000))
		r, at := advance(func(x *Situation) { x.Settled = false })
		Expect(r.State).To(Equal(catalog.RolloutCompleted))
		Expect(at).To(BeNumerically("<=", 12_000))
	})

	// Guards against a new leader that takes over late and steps at the usual pace.
	It("hurries when a new leader has little time left", func() {
		r, at := advance(func(x *Situation) {
			if x.Elapsed < 9000 {
				x.Responses, x.NewSlots = 0, 0
			}
		})
		Expect(r.State).To(Equal(catalog.RolloutCompleted))
		Expect(at).To(BeNumerically("<=", 12_000))
	})

	It("rolls back at any step", func() {
		for at := clock.Millis(100); at < 9000; at += 400 {
			r, ended := advance(func(x *Situation) { x.Verdict = Verdict{x.Elapsed >= at, "bad"} })
			if r.State == catalog.RolloutRolledBack {
				Expect(ended).To(BeNumerically("<=", at+100))
				Expect(r.Share).To(Equal(0.0))
				continue
			}
			Expect(ended).To(BeNumerically("<", at))
		}
	})
})

// Guards against the load that evaluations put on a control process with a quarter of
// a core.
func BenchmarkEvaluate(b *testing.B) {
	m := &Monitor{}
	m.Run(0, catalog.Rollout{Service: "s", Version: "v2", Number: 1})
	for h := range 95 {
		p := ServiceReport{Service: "s", Number: 1}
		for i := range 40 {
			k := Key{Route: string("abc"[i%3]), New: i > 3, Target: uint32((h*40 + i) % 161)}
			p.Rows = append(p.Rows, Row{k, Counts{Started: 5, Served: 3, Latency: make(Histogram, 14), Pending: make(Histogram, 12)}})
		}
		m.Report(0, 0, HostReport{Host: strconv.Itoa(h)}, p)
	}
	for n := range b.N {
		x := Situation{}
		m.Evaluate(clock.Millis(n*100), Settings{Rollback: 5000, Revocation: 5000}, &x, nil)
	}
}
