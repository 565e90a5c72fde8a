package pipeline

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// stopper stops a server and then closes done.
type stopper struct {
	server *Server
	done   chan struct{}
}

func (s *stopper) run() {
	x, stop := context.WithTimeout(context.Background(), patience)
	defer stop()
	_ = s.server.Stop(x)
	close(s.done)
}

// notRead collects the paths of requests that were dropped.
type notRead struct {
	mu    sync.Mutex
	paths []string
}

func (n *notRead) add(r *http.Request) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.paths = append(n.paths, r.URL.Path)
}

var _ = Describe("pipelined requests", func() {
	for _, x := range transports {
		Context(x.name, func() {
			It("run beside a slow first one and are answered in their order", func() {
				t := newTarget("/safe/1")
				c := x.connect(newServer(t))
				c.write(get("/safe/1") + get("/safe/2") + get("/safe/3"))
				Eventually(t.begun, patience).Should(ConsistOf("/safe/1", "/safe/2", "/safe/3"))
				t.release("/safe/1")
				for _, p := range []string{"/safe/1", "/safe/2", "/safe/3"} {
					Expect(c.read()).To(Equal(answer{200, p, false}))
				}
			})

			It("in one write are all answered in their order, a few at a time", func() {
				const n = 1000
				t := newTarget()
				c := x.connect(newServer(t))
				all := ""
				for i := range n {
					all += get(fmt.Sprintf("/safe/%d", i))
				}
				c.write(all)
				for i := range n {
					Expect(c.read().body).To(Equal(fmt.Sprintf("/safe/%d", i)))
				}
				Expect(t.most).To(BeNumerically("<=", maxRunning))
			})

			It("that depend on each other start once earlier responses are sent", func() {
				t := newTarget("/safe/1")
				c := x.connect(newServer(t))
				c.write(get("/safe/1") + post("/order/2", "two") + get("/safe/3"))
				Consistently(t.begun, 100*time.Millisecond).ShouldNot(ContainElement("/order/2"))
				t.release("/safe/1")
				for _, p := range []string{"/safe/1", "/order/2", "/safe/3"} {
					Expect(c.read().body).To(Equal(p))
				}
				Expect(t.begun()).To(Equal([]string{"/safe/1", "/order/2", "/safe/3"}))
				Expect(t.bodies["/order/2"]).To(Equal("two"))
			})

			It("behind a response that closes the connection are not started, of any kind", func() {
				t := newTarget("/safe/1")
				n := &notRead{}
				s := newServer(t)
				s.NotRead = n.add
				c := x.connect(s)
				c.write(get("/safe/1") + get("/safe/2", "Connection: close") + get("/safe/3") + post("/order/4", "four"))
				Eventually(t.begun, patience).Should(ConsistOf("/safe/1", "/safe/2"))
				t.release("/safe/1")
				Expect(c.read()).To(Equal(answer{200, "/safe/1", false}))
				Expect(c.read()).To(Equal(answer{200, "/safe/2", true}))
				c.expectEnd()
				Expect(t.begun()).To(ConsistOf("/safe/1", "/safe/2"))
			})

			It("behind a refused request whose body does not arrive are not started", func() {
				t := newTarget()
				c := x.connect(newServer(t))
				c.write("POST /refuse/1 HTTP/1.1\r\nHost: h\r\nContent-Length: 100\r\n\r\nhalf")
				Expect(c.read()).To(Equal(answer{401, "/refuse/1", true}))
				c.expectEnd()
				Expect(t.begun()).To(Equal([]string{"/refuse/1"}))
			})

			It("behind a refused request whose body has arrived are answered", func() {
				t := newTarget()
				c := x.connect(newServer(t))
				c.write(post("/refuse/1", "body") + get("/safe/2"))
				Expect(c.read()).To(Equal(answer{401, "/refuse/1", false}))
				Expect(c.read()).To(Equal(answer{200, "/safe/2", false}))
			})

			It("are cancelled when their caller leaves", func() {
				t := newTarget("/safe/1", "/safe/2")
				c := x.connect(newServer(t))
				c.write(get("/safe/1") + get("/safe/2"))
				Eventually(t.begun, patience).Should(HaveLen(2))
				Expect(c.Close()).To(Succeed())
				Eventually(t.gone, patience).Should(ConsistOf("/safe/1", "/safe/2"))
			})

			It("that may be followed by no other are cancelled when their caller leaves", func() {
				t := newTarget("/safe/1")
				c := x.connect(newServer(t))
				c.write(get("/safe/1", "Connection: close"))
				Eventually(t.begun, patience).Should(HaveLen(1))
				Expect(c.Close()).To(Succeed())
				Eventually(t.gone, patience).Should(HaveLen(1))
			})

			DescribeTable("before one that cannot be read are answered, then that one with an error",
				func(bad string, status int) {
					t := newTarget("/safe/1")
					c := x.connect(newServer(t))
					c.write(get("/safe/1") + bad)
					Eventually(t.begun, patience).Should(HaveLen(1))
					t.release("/safe/1")
					Expect(c.read()).To(Equal(answer{200, "/safe/1", false}))
					a := c.read()
					Expect(a.status).To(Equal(status))
					Expect(a.close).To(BeTrue())
					c.expectEnd()
					Expect(t.begun()).To(HaveLen(1))
				},
				Entry("not HTTP", "hello hello\r\n\r\n", 400),
				Entry("without a host", "GET /safe/2 HTTP/1.1\r\n\r\n", 400),
				Entry("two lengths", "POST /order/2 HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab", 400),
				Entry("HTTP/2", "PRI * HTTP/2.0\r\nHost: h\r\n\r\n", 400),
				Entry("control character", "GET /safe/2 HTTP/1.1\r\nHost: h\r\nX: a\x01b\r\n\r\n", 400),
				Entry("endless line", "GET /"+strings.Repeat("x", 300_000), 431),
				Entry("endless headers", "GET / HTTP/1.1\r\nHost: h\r\n"+strings.Repeat("A: b\r\n", 50_000), 431),
			)

			It("that stop in the middle of a head are answered with a timeout", func() {
				t := newTarget()
				s := newServer(t)
				s.Limits = func() Limits { return Limits{HeaderBytes: 16 << 10, HeaderTimeout: 100, IdleTimeout: 15000} }
				c := x.connect(s)
				c.write(get("/safe/1") + "GET /safe/2 HT")
				Expect(c.read()).To(Equal(answer{200, "/safe/1", false}))
				Expect(c.read().status).To(Equal(408))
				c.expectEnd()
			})

			It("end with an idle connection after its timeout", func() {
				s := newServer(newTarget())
				s.Limits = func() Limits { return Limits{HeaderBytes: 16 << 10, HeaderTimeout: 3000, IdleTimeout: 100} }
				c := x.connect(s)
				c.write(get("/safe/1"))
				Expect(c.read().status).To(Equal(200))
				c.expectEnd()
				Eventually(s.Connections, patience).Should(BeZero())
			})

			It("end the connection after a handler panicked, and the server serves on", func() {
				t := newTarget()
				s := newServer(t)
				c := x.connect(s)
				c.write(get("/panic/1"))
				_ = c.SetReadDeadline(time.Now().Add(patience))
				_, err := c.reader.ReadByte()
				Expect(err).To(HaveOccurred())
				d := x.connect(s)
				d.write(get("/safe/2"))
				Expect(d.read().status).To(Equal(200))
			})

			It("with an expectation get it before their body is read", func() {
				t := newTarget()
				c := x.connect(newServer(t))
				c.write("POST /order/1 HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 3\r\n\r\n")
				l, err := c.reader.ReadString('\n')
				Expect(err).NotTo(HaveOccurred())
				Expect(l).To(HavePrefix("HTTP/1.1 100"))
				_, err = c.reader.ReadString('\n')
				Expect(err).NotTo(HaveOccurred())
				c.write("abc" + get("/safe/2"))
				Expect(c.read()).To(Equal(answer{200, "/order/1", false}))
				Expect(c.read()).To(Equal(answer{200, "/safe/2", false}))
			})

			It("in chunks are read whole", func() {
				t := newTarget()
				c := x.connect(newServer(t))
				c.write("POST /order/1 HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n" + get("/safe/2"))
				Expect(c.read()).To(Equal(answer{200, "/order/1", false}))
				Expect(c.read()).To(Equal(answer{200, "/safe/2", false}))
				Expect(t.bodies["/order/1"]).To(Equal("abcde"))
			})

			// Planned stop under load: callers keep sending on open connections.
			It("that are at work in a planned stop are all answered, the rest count as not read", func() {
				t := newTarget("/safe/1", "/safe/2")
				n := &notRead{}
				s := newServer(t)
				s.NotRead = n.add
				c, idle := x.connect(s), x.connect(s)
				c.write(get("/safe/1") + get("/safe/2") + post("/order/3", "three") + get("/safe/4"))
				Eventually(t.begun, patience).Should(ConsistOf("/safe/1", "/safe/2"))
				s.Drain()
				p := &stopper{s, make(chan struct{})}
				go p.run()
				idle.expectEnd()
				t.release("/safe/2")
				t.release("/safe/1")
				Expect(c.read()).To(Equal(answer{200, "/safe/1", false}))
				Expect(c.read()).To(Equal(answer{200, "/safe/2", true}))
				c.expectEnd()
				Expect(c.Close()).To(Succeed())
				Eventually(p.done, patience).Should(BeClosed())
				Expect(t.begun()).To(ConsistOf("/safe/1", "/safe/2"))
			})

			It("on many connections are each answered or not passed on in a planned stop", func() {
				const callers = 50
				t := newTarget()
				s := newServer(t)
				results := make(chan int, callers)
				for range callers {
					k := &steadyCaller{x.connect(s), results}
					go k.run()
				}
				Eventually(func() int { return len(t.begun()) }, patience).Should(BeNumerically(">=", callers))
				s.Drain()
				p := &stopper{s, make(chan struct{})}
				go p.run()
				answered := 0
				for range callers {
					var n int
					Eventually(results, patience).Should(Receive(&n))
					answered += n
				}
				Eventually(p.done, patience).Should(BeClosed())
				Expect(answered).To(Equal(len(t.begun())))
			})
		})
	}
})

// steadyCaller sends two requests at a time until the connection ends, and then
// reports how many were answered.
type steadyCaller struct {
	*caller
	answered chan<- int
}

func (s *steadyCaller) run() {
	defer GinkgoRecover()
	n := 0
	defer func() { s.answered <- n }()
	for i := 0; ; i++ {
		s.write(get(fmt.Sprintf("/safe/%d", 2*i)) + get(fmt.Sprintf("/safe/%d", 2*i+1)))
		for range 2 {
			_ = s.SetReadDeadline(time.Now().Add(patience))
			r, err := http.ReadResponse(s.reader, nil)
			if err != nil {
				return
			}
			_ = r.Body.Close()
			n++
			if r.Close {
				_ = s.Close()
				return
			}
		}
	}
}
