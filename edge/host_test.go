package edge

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/carawayrack/carawayrack/balance"
	"github.com/carawayrack/carawayrack/catalog"
	"github.com/carawayrack/carawayrack/clock"
	"github.com/carawayrack/carawayrack/coordinator"
	"github.com/carawayrack/carawayrack/healthcheck"
)

var _ = Describe("a request", func() {
	It("reaches a target unchanged, with its account instead of its key", func() {
		t := newStandin("t1", ok)
		w := newTestHost(t)
		a := w.post("/unsafe/x%2Fy?q=1&q=2", "body", "Account", "forged", "Other", "kept")
		Expect(a.status).To(Equal(200))
		Expect(a.body).To(Equal("hello"))
		Expect(a.header.Get("Seal")).To(Equal("x"))
		q := t.seen[0]
		Expect(q.RequestURI).To(Equal("/unsafe/x%2Fy?q=1&q=2"))
		Expect(q.Method).To(Equal(http.MethodPost))
		Expect(t.body[0]).To(Equal("body"))
		Expect(q.Header.Values("Account")).To(Equal([]string{"acc"}))
		Expect(q.Header.Get("Key")).To(BeEmpty())
		Expect(q.Header.Get("Expect-Id")).To(Equal("t1"))
		Expect(q.Header.Get("Other")).To(Equal("kept"))
		Expect(q.Header.Get("Req-Id")).To(Equal("r1"))
		Expect(q.Header.Get("Left")).NotTo(Equal("5000"))
	})

	It("is refused without a route or with an unknown key, and needs no key on an open route", func() {
		t := newStandin("t1", ok)
		w := newTestHost(t)
		Expect(w.get("/other/").status).To(Equal(404))
		Expect(w.get("/safe/", "Key", "k2").status).To(Equal(401))
		Expect(w.get("/open/", "Key", "").status).To(Equal(200))
		Expect(t.requests()).To(Equal(1))
	})

	// Guards against a key that was taken away and still serves its callers on an open route,
	// outside of their account's limit.
	It("is refused with a key that was taken away, also on an open route", func() {
		t := newStandin("t", ok)
		w := newTestHost(t)
		Expect(w.get("/open/", "Key", "k1").status).To(Equal(200))
		s := catalog.New(nil)
		c := *w.host.view.config
		c.Version, c.Accounts = 2, []catalog.Account{{Name: "acc", Keys: []string{"k2"}, Priority: -1, Rate: 100, Burst: 100}}
		c.Index()
		s.Config, s.Targets = &c, map[string]catalog.Target{"t": {ID: "t", Service: "s", Zone: "z", Addr: t.ln.Addr().String(), Phase: catalog.Serving, Slots: 8, Born: 1}}
		w.host.view.setState(w.host.Clock.Now(), s)
		before := t.requests()
		Expect(w.get("/open/", "Key", "k1").status).To(Equal(http.StatusUnauthorized))
		Expect(t.requests()).To(Equal(before))
		Expect(w.get("/open/", "Key", "k2").status).To(Equal(200))
		Expect(w.get("/open/", "Key", "").status).To(Equal(200), "requests without a key are still served")
	})

	// Guards against routes that become open when a configuration takes the last account away.
	It("needs a key of the configuration after the last account was taken out", func() {
		t := newStandin("t", ok)
		w := newTestHost(t)
		accounts := w.host.view.config.Accounts
		w.configure(func(c *catalog.Config) { c.Accounts, c.KeysRequired = nil, true })
		Expect(w.get("/safe/", "Key", "k1").status).To(Equal(401))
		Expect(w.get("/safe/", "Key", "").status).To(Equal(401))
		Expect(w.get("/open/", "Key", "k1").status).To(Equal(401))
		Expect(w.get("/open/", "Key", "").status).To(Equal(200))
		Expect(t.requests()).To(Equal(1))
		// The account comes back.
		w.configure(func(c *catalog.Config) { c.Accounts = accounts })
		Expect(w.get("/safe/", "Key", "k1").status).To(Equal(200))
	})

	It("needs no key in a configuration without accounts, but is refused with one", func() {
		w := newTestHost(newStandin("t", ok))
		w.configure(func(c *catalog.Config) { c.Accounts = nil })
		Expect(w.get("/safe/", "Key", "").status).To(Equal(200))
		Expect(w.get("/safe/", "Key", "k1").status).To(Equal(401))
	})

	// Guards against a withdrawn key that passes behind a valid or an empty one.
	DescribeTable("with several keys is refused unless they are the same",
		func(path string, status int, keys ...string) {
			t := newStandin("t", ok)
			w := newTestHost(t)
			Expect(w.withKeys(path, keys...)).To(Equal(status))
			Expect(t.requests() == 1).To(Equal(status == 200))
		},
		Entry("valid before unknown", "/safe/", 401, "k1", "gone"),
		Entry("unknown before valid", "/safe/", 401, "gone", "k1"),
		Entry("empty before unknown on an open route", "/open/", 401, "", "gone"),
		Entry("valid before unknown on an open route", "/open/", 401, "k1", "gone"),
		Entry("empty before valid", "/safe/", 200, "", "k1"),
		Entry("the same twice", "/safe/", 200, "k1", "k1"),
		Entry("twice empty on an open route", "/open/", 200, "", ""),
		Entry("twice empty", "/safe/", 401, "", ""),
	)

	It("is refused with Retry-After while its account has no tokens", func() {
		t := newStandin("t1", ok)
		w := newTestHost(t)
		w.tokensLeft = 1
		Expect(w.get("/safe/").status).To(Equal(200))
		a := w.get("/safe/")
		Expect(a.status).To(Equal(429))
		Expect(a.header.Get("Retry-After")).NotTo(BeEmpty())
		Expect(t.requests()).To(Equal(1))
		Expect(a.body).To(ContainSubstring(string(OverQuota)))
	})

	// Guards against refusals that look like those of an account above its rate.
	It("is refused with a reason of its own while no control process lends", func() {
		w := newTestHost(newStandin("t1", ok))
		w.host.tokens.Reachable = func() bool { return false }
		w.host.tokens.Hosts = func() int { return 1000 }
		a := w.get("/safe/")
		Expect(a.status).To(Equal(429))
		Expect(a.header.Get("Retry-After")).NotTo(BeEmpty())
		Expect(a.body).To(ContainSubstring(string(LenderAway)))
	})

	It("is refused as not run if the host has no proof that its configuration is current", func() {
		t := newStandin("t1", ok)
		w := newTestHost(t)
		w.host.Settings.MaxConfigAge = 0
		Expect(w.get("/safe/").status).To(Equal(503))
		Expect(w.host.Ready()).To(BeFalse())
		Expect(t.requests()).To(Equal(0))
	})

	// Links are full, so that a host gets no newer configuration for seconds: one
	// that it does not have may have added the route or the key.
	It("is not told that its route or key does not exist by a host that cannot know", func() {
		w := newTestHost(newStandin("t1", ok))
		w.host.view.mu.Lock()
		w.host.view.currentAt = w.host.Clock.Now() - 1500
		w.host.view.mu.Unlock()
		Expect(w.get("/other/").status).To(Equal(503))
		Expect(w.get("/safe/", "Key", "k2").status).To(Equal(503))
		Expect(w.get("/safe/").status).To(Equal(200))
		w.host.view.confirmCurrent(w.host.Clock.Now())
		Expect(w.get("/other/").status).To(Equal(404))
	})

	It("is refused if its body is larger than allowed, with and without a length", func() {
		t := newStandin("t1", ok)
		w := newTestHost(t)
		c, _ := w.host.view.current(w.host.Clock.Now())
		c.Limits.BodyBytes = 3
		Expect(w.post("/unsafe/", "four").status).To(Equal(413))
		Expect(w.chunked("/unsafe/", strings.NewReader("four")).status).To(Equal(413))
		Expect(t.requests()).To(Equal(0))
	})

	It("whose body has no end is refused, and the target is not blamed", func() {
		t := newStandin("t1", ok)
		w := newTestHost(t)
		c, _ := w.host.view.current(w.host.Clock.Now())
		c.Limits.BodyBytes = 2 * maxBufferedBody
		Expect(w.chunked("/unsafe/", &endless{}).status).To(Equal(413))
		Expect(t.requests()).To(Equal(0))
		Expect(w.host.metrics.attempts.Get("s.cancelled").String()).To(Equal("1"))
		Expect(w.post("/unsafe/", "b").status).To(Equal(200))
	})

	It("whose body stops is refused at its deadline as not run", func() {
		t := newStandin("t1", ok)
		w := newTestHost(t)
		k, err := net.Dial("tcp", w.server.ln.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		defer k.Close()
		_, err = io.WriteString(k, "POST /unsafe/ HTTP/1.1\r\nHost: h\r\nKey: k1\r\nReq-Id: r1\r\nLeft: 100\r\nContent-Length: 9\r\n\r\nhalf")
		Expect(err).NotTo(HaveOccurred())
		r, err := http.ReadResponse(bufio.NewReader(k), nil)
		Expect(err).NotTo(HaveOccurred())
		Expect(r.StatusCode).To(Equal(408))
		Expect(t.requests()).To(Equal(0))
	})

	It("that is idempotent goes to a second target when the first closes the connection", func() {
		t1, t2 := newStandin("t1", ""), newStandin("t2", ok)
		w := newTestHost(t1, t2)
		for i := 0; i < 4; i++ {
			Expect(w.get("/safe/").status).To(Equal(200))
		}
		Expect(t1.requests()).To(BeNumerically(">=", 1))
	})

	It("that is not idempotent is sent once, and its outcome is unknown when the connection breaks", func() {
		t1, t2 := newStandin("t1", ""), newStandin("t2", "")
		w := newTestHost(t1, t2)
		a := w.post("/unsafe/", "b")
		Expect(a.status).To(Equal(502))
		Expect(t1.requests() + t2.requests()).To(Equal(1))
	})

	It("that is not idempotent goes to another target when the first reports that it did not run it", func() {
		shed := status(503, "Not-Run: 1\r\n")
		t1, t2 := newStandin("t1", shed, ok), newStandin("t2", shed, ok)
		w := newTestHost(t1, t2)
		a := w.post("/unsafe/", "b")
		Expect(a.status).To(Equal(503))
		Expect(t1.requests() + t2.requests()).To(Equal(2))
		Expect(w.post("/unsafe/", "b").status).To(Equal(200))
	})

	It("that is not idempotent gets no status that implies that it has not run after a target ran it", func() {
		w := newTestHost(newStandin("t1", status(503, "Seal: x\r\n")))
		a := w.post("/unsafe/", "b")
		Expect(a.status).To(Equal(502))
		Expect(a.header.Get("Seal")).To(BeEmpty())
	})

	It("gets the error response of a target unchanged", func() {
		w := newTestHost(newStandin("t1", status(500, "Seal: y\r\n")))
		a := w.post("/unsafe/", "b")
		Expect(a.status).To(Equal(500))
		Expect(a.body).To(Equal("no"))
		Expect(a.header.Get("Seal")).To(Equal("y"))
	})

	It("goes to another target after a misdirected response (421), and later requests avoid the first target", func() {
		t1, t2 := newStandin("t1", status(421, "")), newStandin("t2", ok)
		w := newTestHost(t1, t2)
		for i := 0; i < 6; i++ {
			Expect(w.post("/unsafe/", "b").status).To(Equal(200))
		}
		Expect(t1.requests()).To(BeNumerically("<=", 1))
	})

	It("goes to another target when the first refuses connections", func() {
		t1, t2 := newStandin("t1", ok), newStandin("t2", ok)
		w := newTestHost(t1, t2)
		Expect(t1.ln.Close()).To(Succeed())
		for i := 0; i < 4; i++ {
			Expect(w.post("/unsafe/", "b").status).To(Equal(200))
		}
	})

	It("is cancelled at a slow target after a second target has answered it", func() {
		t1 := newStandin("t1", ok)
		w := newTestHost(t1)
		Expect(w.get("/safe/").status).To(Equal(200))
		t2 := newStandin("t2", ok)
		t2.silent = true
		w.set(t1, t2)
		Expect(w.get("/safe/").status).To(Equal(200))
		Expect(t2.requests()).To(Equal(1))
		Eventually(func() int { t2.mu.Lock(); defer t2.mu.Unlock(); return t2.closed }, 5*time.Second).Should(Equal(1))
	})

	It("is answered with 504 if its target does not respond within the timeout of its route", func() {
		t1 := newStandin("t1", ok)
		t1.silent = true
		w := newTestHost(t1)
		a := w.post("/unsafe/", "b")
		Expect(a.status).To(Equal(504))
	})

	It("is cancelled at its target when the caller disconnects", func() {
		t1 := newStandin("t1", ok)
		t1.silent = true
		w := newTestHost(t1)
		x, stop := context.WithCancel(context.Background())
		q, err := http.NewRequestWithContext(x, http.MethodGet, w.server.URL+"/safe/", nil)
		Expect(err).NotTo(HaveOccurred())
		q.Host = "h"
		q.Header.Set("Key", "k1")
		left := make(chan error, 1)
		c := &caller{q, left}
		go c.run()
		Eventually(t1.requests, 5*time.Second).Should(Equal(1))
		stop()
		Eventually(left, 5*time.Second).Should(Receive(HaveOccurred()))
		Eventually(func() int { t1.mu.Lock(); defer t1.mu.Unlock(); return t1.closed }, 5*time.Second).Should(Equal(1))
	})
})

var _ = Describe("a request whose caller has left", func() {
	It("gets no target and leaves the queue", func() {
		w := newTestHost(newStandin("t1", ok))
		x, stop := context.WithCancel(context.Background())
		stop()
		p := &pendingPick{service: "s", deadline: w.host.Clock.Now() + 1000}
		_, picked := w.host.waitForTarget(x, p)
		Expect(picked).To(BeFalse())
		_, picked = w.host.waitForTarget(context.Background(), &pendingPick{service: "s", deadline: w.host.Clock.Now() + 1000})
		Expect(picked).To(BeTrue())
	})
})

var _ = Describe("a retry", func() {
	It("is not overdue because its first attempt took long", func() {
		// The first attempt breaks shortly before it would be overdue, and the retry
		// is still at work then.
		t1, t2 := newStandin("t1", ok), newStandin("t2", "garbage\r\n\r\n")
		w := newTestHost(t1)
		w.host.view.pool("s").Done(w.host.Clock.Now(), "t1", balance.Result{Outcome: balance.Served, Took: 25})
		w.set(t1, t2)
		t1.delay, t2.delay = 150*time.Millisecond, 150*time.Millisecond
		Expect(w.get("/safe/").status).To(Equal(200))
		Expect(t2.requests()).To(Equal(1))
		e, found := w.host.view.observationOf(w.host.Clock.Now(), "s", "t1")
		Expect(found).To(BeTrue())
		Expect(e.FailAge).To(Equal(uint16(0xffff)))
	})
})

// endless is a body without end.
type endless struct{}

func (*endless) Read(b []byte) (int, error) { return len(b), nil }

// caller sends one request.
type caller struct {
	request *http.Request
	done    chan<- error
}

func (c *caller) run() {
	_, err := http.DefaultClient.Do(c.request)
	c.done <- err
}

var _ = Describe("a response", func() {
	DescribeTable("that is not the target's complete response to the request is not forwarded",
		func(raw string) {
			w := newTestHost(newStandin("t1", raw))
			a := w.post("/unsafe/", "b")
			Expect(a.status).To(Equal(502))
			Expect(a.body).NotTo(ContainSubstring("hello"))
			Expect(a.header.Get("Seal")).To(BeEmpty())
		},
		Entry("truncated", "HTTP/1.1 200 OK\r\nReq-Id: ID\r\nSeal: x\r\nContent-Length: 9\r\nConnection: close\r\n\r\nhello"),
		Entry("not HTTP", "hello hello\r\n\r\n"),
		Entry("without a seal", "HTTP/1.1 200 OK\r\nReq-Id: ID\r\nContent-Length: 5\r\n\r\nhello"),
		Entry("encoded", "HTTP/1.1 200 OK\r\nReq-Id: ID\r\nSeal: x\r\nContent-Encoding: gzip\r\nContent-Length: 5\r\n\r\nhello"),
		Entry("without an ID", "HTTP/1.1 200 OK\r\nSeal: x\r\nContent-Length: 5\r\n\r\nhello"),
		Entry("a late copy without an ID that says that an earlier request has not run", "HTTP/1.1 503 X\r\nNot-Run: 1\r\nContent-Length: 2\r\n\r\nno"),
		Entry("a late copy without an ID of an earlier failure", "HTTP/1.1 500 X\r\nSeal: x\r\nContent-Length: 2\r\n\r\nno"),
		Entry("truncated chunks", "HTTP/1.1 200 OK\r\nReq-Id: ID\r\nSeal: x\r\nTransfer-Encoding: chunked\r\nConnection: close\r\n\r\n5\r\nhello\r\n"),
	)

	// Guards against a refusal that a target sends once more on a kept connection: the
	// caller would be told that a request has not run which runs, and might send it again.
	DescribeTable("that repeats the refusal of an earlier request says nothing of the next one",
		func(id string, want int) {
			refusal := "HTTP/1.1 503 X\r\n" + id + "Not-Run: 1\r\nContent-Length: 2\r\n\r\nno"
			t := newStandin("t1", ok, status(503, "Not-Run: 1\r\n"), refusal+ok, ok)
			w := newTestHost(t)
			Expect(w.post("/unsafe/", "b", "Req-Id", "r0").status).To(Equal(200))
			Expect(w.post("/unsafe/", "b", "Req-Id", "r1").status).To(Equal(503))
			before := t.requests()
			Expect(w.post("/unsafe/", "b", "Req-Id", "r2").status).To(Equal(want))
			Expect(t.requests()).To(Equal(before+1), "the request is sent once")
		},
		Entry("with its ID", "Req-Id: r1\r\n", 200),
		Entry("without an ID", "", 502),
	)

	// Guards against a head that ends with its connection and is taken for a whole one: its
	// lines about the length of the body may be missing.
	DescribeTable("whose head is cut at any byte is not forwarded",
		func(framing string) {
			whole := "HTTP/1.1 200 OK\r\nReq-Id: ID\r\nSeal: x\r\n" + framing + "\r\n"
			t := newStandin("t1")
			w := newTestHost(t)
			for n := range len(whole) {
				t.set("CUT" + whole[:n])
				a := w.post("/unsafe/", "b")
				Expect(a.status).To(Equal(502), "%q", whole[:n])
				Expect(a.header.Get("Seal")).To(BeEmpty())
			}
		},
		Entry("with a length", "Content-Length: 5\r\n"),
		Entry("with a length before other headers", "Content-Length: 5\r\nServer: s\r\n"),
		Entry("with chunks", "Transfer-Encoding: chunked\r\n"),
		Entry("ending with the connection", "Connection: close\r\n"),
	)

	It("that is larger than the buffer of the host is neither refused nor truncated", func() {
		body := strings.Repeat("x", 4<<20+1)
		w := newTestHost(newStandin("t1", "HTTP/1.1 200 OK\r\nReq-Id: ID\r\nSeal: x\r\nContent-Length: "+strconv.Itoa(len(body))+"\r\n\r\n"+body))
		a := w.post("/unsafe/", "b")
		Expect(a.status).To(Equal(200))
		Expect(a.body == body).To(BeTrue())
		Expect(a.header.Get("Seal")).To(Equal("x"))
	})

	It("to another request is skipped", func() {
		late := "HTTP/1.1 200 OK\r\nReq-Id: other\r\nSeal: o\r\nContent-Length: 5\r\n\r\nwrong"
		w := newTestHost(newStandin("t1", late+ok))
		a := w.post("/unsafe/", "b")
		Expect(a.status).To(Equal(200))
		Expect(a.body).To(Equal("hello"))
	})

	It("followed by more bytes does not affect the responses to later requests", func() {
		w := newTestHost(newStandin("t1", ok+"HTTP/1.1 200 OK\r\nReq-Id: ID\r\nSeal: z\r\nContent-Length: 5\r\n\r\nwrong", ok))
		for i := 0; i < 3; i++ {
			Expect(w.post("/unsafe/", "b").body).To(Equal("hello"))
		}
	})

	It("that ends with its connection is complete if the connection is closed cleanly", func() {
		w := newTestHost(newStandin("t1", "HTTP/1.1 200 OK\r\nReq-Id: ID\r\nSeal: x\r\nConnection: close\r\n\r\nhello"))
		a := w.post("/unsafe/", "b")
		Expect(a.status).To(Equal(200))
		Expect(a.body).To(Equal("hello"))
	})

	It("to a large request arrives, and so does the next one", func() {
		w := newTestHost(newStandin("t1", ok))
		Expect(w.post("/unsafe/", strings.Repeat("x", 300_000)).status).To(Equal(200))
		Expect(w.post("/unsafe/", strings.Repeat("y", 300_000)).status).To(Equal(200))
	})
})

var _ = Describe("addresses for callers", func() {
	fleet := &coordinator.Fleet{Hosts: []coordinator.Host{
		{ID: "1", Zone: "a", Callers: "a1"}, {ID: "2", Zone: "a", Callers: "a2"}, {ID: "3", Zone: "a", Callers: "a3", Leaving: true},
		{ID: "4", Zone: "b", Callers: "b1"}, {ID: "5", Zone: "c", Callers: "c1"}, {ID: "6", Zone: "c", Callers: "c2"},
	}}

	It("are those of the caller's zone, without leaving hosts", func() {
		w := newTestHost()
		w.host.view.setFleet(fleet)
		Expect(w.host.Resolve("a")).To(Equal([]string{"a1", "a2"}))
	})

	It("include other zones if the zone has few hosts or is evacuated", func() {
		w := newTestHost()
		w.host.view.setFleet(fleet)
		Expect(w.host.Resolve("b")).To(ConsistOf("b1", "a1", "a2", "c1", "c2"))
		w.host.view.evacuatedZones = map[string]bool{"a": true}
		Expect(w.host.Resolve("a")).To(ConsistOf("b1", "c1", "c2"))
		w.host.view.evacuatedZones = map[string]bool{"a": true, "b": true, "c": true}
		Expect(w.host.Resolve("a")).NotTo(BeEmpty())
	})
})

var _ = Describe("a health check", func() {
	health := "HTTP/1.1 200 OK\r\nTarget-Id: t1\r\nContent-Length: 2\r\n\r\nok"
	check := func(t *standin) error {
		w := newTestHost(t)
		c := &healthcheck.Check{Service: "s", Path: "/health", Target: balance.HealthCheck{ID: "t1", Addr: t.ln.Addr().String()}}
		return w.host.healthChecker().Send(c)
	}

	It("passes if the target says in time that it is healthy", func() {
		t := newStandin("t1", health)
		Expect(check(t)).To(Succeed())
		Expect(t.seen[0].RequestURI).To(Equal("/health"))
		Expect(t.seen[0].Header.Get("Expect-Id")).To(Equal("t1"))
	})

	It("lets a target that a request found broken get requests again", func() {
		t1 := newStandin("t1", "", health, health, ok)
		w := newTestHost(t1)
		Expect(w.post("/unsafe/", "b").status).To(Equal(502))
		w.set(t1, newStandin("t2", ok))
		w.host.view.pool("s").Service.HealthPath = "/health"
		n := w.host.Clock.Now()
		for i := clock.Millis(1); i <= 3; i++ {
			for _, c := range w.host.view.dueHealthChecks(n + i*2*clock.Second) {
				w.host.healthChecker().Check(c)
			}
		}
		Expect(t1.requests()).To(Equal(3))
		Expect(w.host.metrics.checks.Get("s.passed").String()).To(Equal("2"))
	})
})
