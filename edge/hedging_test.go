package edge

import (
	"expvar"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	"github.com/carawayrack/carawayrack/balance"
	"github.com/carawayrack/carawayrack/clock"
	"github.com/carawayrack/carawayrack/hedge"
)

// newHedgingHost returns a host with a slow target and a fast one, whose service has a
// limit. Its budget is full, and its routes usually take 20 ms.
func newHedgingHost(limit float64) (w *testHost, slow, fast *standin) {
	slow, fast = newStandin("slow", ok), newStandin("fast", ok)
	slow.delay = 600 * time.Millisecond
	w = newTestHost(slow, fast)
	h := w.host
	h.Settings.HedgeShare = limit
	now := h.Clock.Now()
	for range 100 {
		for _, r := range []string{"safe", "unsafe"} {
			h.latencies.Record(now, r, 20)
		}
		c := &call{host: h, service: "s", route: &h.view.config.Routes[1]}
		c.planHedge()
	}
	// The request goes to the target that is not busy.
	p := h.view.pool("s")
	for range 4 {
		c, ok := p.Pick(now, balance.Request{Avoid: []string{"slow"}})
		Expect(ok && c.ID == "fast").To(BeTrue())
	}
	return w, slow, fast
}

func count(m *expvar.Map, name string) string {
	if v := m.Get(name); v != nil {
		return v.String()
	}
	return "0"
}

var _ = Describe("hedges within a limit", func() {
	It("answer a slow request from another target and cancel the slow attempt", func() {
		w, slow, fast := newHedgingHost(0.1)
		logged, lines := observer.New(zapcore.InfoLevel)
		w.host.Log = zap.New(logged)
		start := time.Now()
		Expect(w.get("/safe/x").status).To(Equal(200))
		Expect(time.Since(start)).To(BeNumerically("<", slow.delay))
		Expect([]int{slow.requests(), fast.requests()}).To(Equal([]int{1, 1}))
		Expect(count(w.host.metrics.hedges, "s.started") + count(w.host.metrics.hedges, "s.won")).To(Equal("11"))
		Expect(count(w.host.metrics.hedgeShare, "s")).To(HavePrefix("0.0"))
		l := lines.FilterMessage("hedge").All()
		Expect(l).To(HaveLen(1))
		Expect(l[0].ContextMap()).To(HaveKeyWithValue("request", "r1"))
		Expect(l[0].ContextMap()).To(HaveKeyWithValue("reason", "started"))
		Eventually(func() int { slow.mu.Lock(); defer slow.mu.Unlock(); return slow.closed }, "2s").Should(Equal(1))
		// What the slow attempt took at least counts, not only the time of the hedge.
		took, n := w.host.latencies.Quantile(w.host.Clock.Now(), "safe", 1)
		Expect(n).To(Equal(102))
		Expect(took).To(BeNumerically(">=", 30))
	})

	It("are never sent for requests that must not run twice", func() {
		w, slow, fast := newHedgingHost(1)
		Expect(w.get("/unsafe/x").status).To(Equal(200))
		Expect([]int{slow.requests(), fast.requests()}).To(Equal([]int{1, 0}))
	})

	It("are not sent if no other target has a free slot, and cost nothing then", func() {
		w, slow, fast := newHedgingHost(0.1)
		for range 8 {
			w.host.view.pool("s").Pick(w.host.Clock.Now(), balance.Request{Avoid: []string{"slow"}})
		}
		Expect(w.get("/safe/x").status).To(Equal(200))
		Expect([]int{slow.requests(), fast.requests()}).To(Equal([]int{1, 0}))
		Expect(count(w.host.metrics.hedges, "s.noFreeSlot")).To(Equal("1"))
		Expect(w.host.hedger.budgets["s"].Counts(w.host.Clock.Now()).Hedges).To(BeZero())
	})

	It("follow the share of the service rather than that of the process", func() {
		w, _, _ := newHedgingHost(0.1)
		none := 0.0
		w.host.view.config.Services[0].Hedge = &none
		Expect(w.host.hedgeLimit("s")).To(BeZero())
		Expect(w.host.hedgeLimit("other")).To(Equal(0.1))
	})

	It("are logged a few times a second, with the number of omitted lines", func() {
		var g hedger
		n := 0
		for range 100 {
			if _, ok := g.lines.allow(5000, maxHedgeLines); ok {
				n++
			}
		}
		Expect(n).To(Equal(maxHedgeLines))
		omitted, ok := g.lines.allow(5000+clock.Second, maxHedgeLines)
		Expect(ok).To(BeTrue())
		Expect(omitted).To(Equal(100 - maxHedgeLines))
	})
})

// Guards against retries that, together with hedges, exceed the host's part of the
// retry budget.
var _ = Describe("retries beside hedges", func() {
	It("end where both have used the host's part of the budget", func() {
		w, _, _ := newHedgingHost(1)
		h := w.host
		h.view.retryBudget("s").Depth, h.view.retryBudget("s").Ratio = 1, 0.16
		now := h.Clock.Now()
		q := hedge.Request{Attempts: true, Remaining: 1000, Times: hedge.Times{Responses: 100}}
		hedges, retries := 0, 0
		for {
			h.hedger.budgets["s"].CountRequest(now)
			h.view.countRequest("s")
			if d, _ := h.decideHedge(now, "s", q); d.Reason != hedge.Started {
				break
			}
			hedges++
		}
		for range 40 {
			h.view.countRequest("s")
			if h.takeRetry("s") {
				retries++
			}
		}
		c := h.hedger.budgets["s"].Counts(now)
		Expect(hedges).To(BeNumerically(">", 10))
		Expect(retries).To(BeNumerically(">", 1))
		Expect(float64(hedges + retries)).To(BeNumerically("<=", 0.16*float64(c.Requests)+1))
	})
})
