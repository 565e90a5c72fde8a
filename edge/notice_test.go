package edge

import (
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/carawayrack/carawayrack/balance"
	"github.com/carawayrack/carawayrack/clock"
	"github.com/carawayrack/carawayrack/healthcheck"
)

const saysLeaving = "Leaving: 1\r\n"

// wantsPause is a response of a target that turns a request away for a time.
func wantsPause(seconds string) string {
	return status(503, "Not-Run: 1\r\nRetry-After: "+seconds+"\r\n")
}

var _ = Describe("a target that says in a response that it leaves", func() {
	DescribeTable("gets no more requests, whatever the response is",
		func(response string) {
			t1 := newStandin("t1", response)
			w := newTestHost(t1)
			_, _ = w.call("POST", "/unsafe/", "b")
			Expect(t1.requests()).To(Equal(1))
			for range 3 {
				Expect(w.post("/unsafe/", "b").status).To(Equal(503))
				Expect(w.get("/safe/").status).To(Equal(503))
			}
			Expect(t1.requests()).To(Equal(1))
			Expect(w.host.metrics.refusals.Get("targetsLeaving").String()).To(Equal("6"))
		},
		Entry("a success", strings.Replace(ok, "Seal", saysLeaving+"Seal", 1)),
		Entry("an error", status(500, saysLeaving)),
		Entry("not found", status(404, saysLeaving)),
		Entry("turned away", status(503, "Not-Run: 1\r\n"+saysLeaving)),
		Entry("one that breaks off after its head", "HTTP/1.1 200 OK\r\nReq-Id: ID\r\nSeal: x\r\n"+saysLeaving+"Connection: close\r\nContent-Length: 500\r\n\r\nhe"),
		Entry("one without its body", "HTTP/1.1 200 OK\r\nReq-Id: ID\r\n"+saysLeaving+"Connection: close\r\nContent-Length: 5\r\n\r\n"),
	)

	It("gets no retry of the request that it turned away, and the caller gets the response of another target", func() {
		t1, t2 := newStandin("t1", status(503, "Not-Run: 1\r\n"+saysLeaving)), newStandin("t2", ok)
		w := newTestHost(t1, t2)
		for range 8 {
			Expect(w.post("/unsafe/", "b").status).To(Equal(200))
		}
		Expect(t1.requests()).To(BeNumerically("<=", 1))
	})

	It("gets nothing of a request that was placed there before and is not sent yet", func() {
		t1 := newStandin("t1", ok)
		w := newTestHost(t1)
		c := &call{host: w.host, service: "s", id: "r1", context: GinkgoT().Context()}
		r, err := requestTo(w, "/unsafe/")
		Expect(err).NotTo(HaveOccurred())
		c.r, c.start = r, w.host.Clock.Now()
		cfg, _ := w.host.view.current(c.start)
		Expect(c.findRoute(cfg)).To(BeNil())
		c.setDeadline()
		a, x := c.newAttempt(nil, false)
		Expect(x).To(BeNil())
		w.host.view.heed(w.host.Clock.Now(), "s", "t1", a.choice.Born, balance.Notice{Leaving: true})
		y, retryable := a.execute()
		Expect(y.status).To(Equal(503))
		Expect(retryable).To(BeTrue())
		Expect(t1.requests()).To(BeZero())
		Expect(c.mayHaveRun.Load()).To(BeFalse())
	})

	It("is not marked by a response to another request", func() {
		t1 := newStandin("t1", "HTTP/1.1 200 OK\r\nReq-Id: other\r\n"+saysLeaving+"Content-Length: 5\r\n\r\nwrong"+ok, ok)
		w := newTestHost(t1)
		Expect(w.post("/unsafe/", "b").status).To(Equal(200))
		Expect(w.post("/unsafe/", "b").status).To(Equal(200))
	})

	It("may say so in a response to a health check", func() {
		t1 := newStandin("t1", "HTTP/1.1 503 X\r\nTarget-Id: t1\r\n"+saysLeaving+"Content-Length: 2\r\n\r\nno", ok)
		w := newTestHost(t1)
		h := &healthcheck.Check{Service: "s", Path: "/health", Target: balance.HealthCheck{ID: "t1", Addr: t1.ln.Addr().String(), Born: 1}}
		w.host.healthChecker().Check(h)
		Expect(w.post("/unsafe/", "b").status).To(Equal(503))
		Expect(t1.requests()).To(Equal(1))
		w.host.healthChecker().Check(h)
		Expect(t1.requests()).To(Equal(1))
	})
})

var _ = Describe("a target that asks for a pause", func() {
	It("gets nothing until its end, and callers are told when to return", func() {
		t1 := newStandin("t1", wantsPause("0.6"), ok)
		w := newTestHost(t1)
		a := w.post("/unsafe/", "b")
		Expect(a.status).To(Equal(503))
		before := w.host.Clock.Now()
		for range 5 {
			a = w.get("/safe/")
			Expect(a.status).To(Equal(503))
			Expect(parseRetryAfter(a.header.Get("Retry-After"))).To(BeNumerically("~", 300, 360))
		}
		Expect(t1.requests()).To(Equal(1))
		Expect(w.host.Clock.Now() - before).To(BeNumerically("<", 500))
		Eventually(func() int { return w.get("/safe/").status }, "5s", "20ms").Should(Equal(200))
		Expect(w.host.metrics.refusals.Get("targetsPaused").String()).NotTo(Equal("0"))
	})

	It("is no less healthy, and other targets serve meanwhile", func() {
		t1, t2 := newStandin("t1", wantsPause("30")), newStandin("t2", ok)
		w := newTestHost(t1, t2)
		for range 10 {
			Expect(w.post("/unsafe/", "b").status).To(Equal(200))
		}
		Expect(t1.requests()).To(BeNumerically("<=", 1))
		unhealthy, _ := w.host.view.pool("s").Unhealthy()
		Expect(unhealthy).To(BeZero())
	})

	It("is as healthy as before if it does not say that the request was not run", func() {
		t1 := newStandin("t1", status(503, "Retry-After: 30\r\n"))
		w := newTestHost(t1)
		Expect(w.post("/unsafe/", "b").status).To(Equal(502))
		unhealthy, _ := w.host.view.pool("s").Unhealthy()
		Expect(unhealthy).To(BeZero())
		Expect(w.post("/unsafe/", "b").status).To(Equal(503))
		Expect(t1.requests()).To(Equal(1))
	})

	It("costs no retry of the budget while all targets want a pause", func() {
		t1, t2 := newStandin("t1", wantsPause("30")), newStandin("t2", wantsPause("30"))
		w := newTestHost(t1, t2)
		Expect(w.get("/safe/").status).To(Equal(503))
		left := w.host.view.retryBudget("s").Left()
		for range 20 {
			Expect(w.get("/safe/").status).To(Equal(503))
		}
		Expect(w.host.view.retryBudget("s").Left()).To(BeNumerically(">=", left))
		Expect(t1.requests() + t2.requests()).To(Equal(2))
	})
})

var _ = DescribeTable("Retry-After of a target",
	func(text string, want int) { Expect(parseRetryAfter(text)).To(Equal(clock.Millis(want))) },
	Entry("in seconds", "2", 2000),
	Entry("with decimals", "0.25", 250),
	Entry("is rounded up", "0.0001", 1),
	Entry("absent", "", 0),
	Entry("negative", "-3", 0),
	Entry("zero", "0", 0),
	Entry("not a number", "soon", 0),
	Entry("NaN", "NaN", 0),
	Entry("infinite", "+Inf", 0),
	Entry("a date", "Wed, 21 Oct 2026 07:28:00 GMT", 0),
	Entry("absurdly large", "1e300", int(maxPause)),
	Entry("larger than any number", "1e999", int(maxPause)),
)
