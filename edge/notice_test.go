package edge

import (
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/carawayrack/carawayrack/balance"
)

const saysLeaving = "Leaving: 1\r\n"

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
		h := &healthCheck{host: w.host, service: "s", path: "/health", target: balance.HealthCheck{ID: "t1", Addr: t1.ln.Addr().String(), Born: 1}}
		h.run()
		Expect(w.post("/unsafe/", "b").status).To(Equal(503))
		Expect(t1.requests()).To(Equal(1))
		h.run()
		Expect(t1.requests()).To(Equal(1))
	})
})
