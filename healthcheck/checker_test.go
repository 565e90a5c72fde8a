package healthcheck

import (
	"bufio"
	"expvar"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/carawayrack/carawayrack/balance"
	"github.com/carawayrack/carawayrack/clock"
	"github.com/carawayrack/carawayrack/forward"
)

func TestHealthcheck(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "healthcheck")
}

// target answers each connection with one raw response.
type target struct {
	ln       net.Listener
	response string
	requests chan *http.Request
}

func newTarget(response string) *target {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	t := &target{l, response, make(chan *http.Request, 100)}
	DeferCleanup(l.Close)
	go t.loop()
	return t
}

func (t *target) loop() {
	for {
		c, err := t.ln.Accept()
		if err != nil {
			return
		}
		t.answer(c)
	}
}

// answer keeps the connection open after a response until the client closes it.
func (t *target) answer(c net.Conn) {
	defer c.Close()
	r := bufio.NewReader(c)
	q, err := http.ReadRequest(r)
	if err != nil {
		return
	}
	t.requests <- q
	if t.response == "" {
		return
	}
	_, _ = io.WriteString(c, t.response)
	_, _ = r.ReadByte()
}

func (t *target) check() *Check {
	return &Check{Service: "s", Path: "/health", Target: balance.HealthCheck{ID: "t1", Addr: t.ln.Addr().String(), Born: 1}}
}

func newChecker() *Checker {
	p := &forward.Pool{Clock: clock.Boot(), DialTimeout: 500}
	p.Run()
	DeferCleanup(p.Close)
	return &Checker{
		Clock: clock.Boot(), Log: zap.NewNop(), Pool: p, Results: new(expvar.Map),
		Headers: Headers{ExpectedTarget: "Expect-Id", Target: "Target-Id", RequestID: "Req-Id"},
		Wanted:  func(clock.Millis, string, balance.Choice) error { return nil },
		Heed:    func(string, string, int64, *http.Response) balance.Notice { return balance.Notice{} },
	}
}

const (
	healthy   = "HTTP/1.1 200 OK\r\nTarget-Id: t1\r\nContent-Length: 2\r\n\r\nok"
	unhealthy = "HTTP/1.1 503 X\r\nTarget-Id: t1\r\nContent-Length: 2\r\n\r\nno"
	// response is one to a request.
	response = "HTTP/1.1 200 OK\r\nReq-Id: r1\r\nSeal: x\r\nContent-Length: 5\r\n\r\nhello"
)

// withStatus returns a response with a status, whose body looks like a healthy response.
func withStatus(status string) string {
	return "HTTP/1.1 " + status + " X\r\nTarget-Id: t1\r\nContent-Length: 56\r\n\r\n" +
		"HTTP/1.1 200 OK\r\nTarget-Id: t1\r\nContent-Length: 3\r\n\r\nbad"
}

var _ = Describe("a health check", func() {
	It("passes if the target says in time that it is healthy", func() {
		t, k := newTarget(healthy), newChecker()
		Expect(k.Send(t.check())).To(Succeed())
		q := <-t.requests
		Expect(q.Method).To(Equal(http.MethodGet))
		Expect(q.RequestURI).To(Equal("/health"))
		Expect(q.Header.Get("Expect-Id")).To(Equal("t1"))
	})

	DescribeTable("fails on any other response",
		func(raw string) { Expect(newChecker().Send(newTarget(raw).check())).NotTo(Succeed()) },
		Entry("unhealthy", unhealthy),
		Entry("of another target", "HTTP/1.1 200 OK\r\nTarget-Id: t2\r\nContent-Length: 2\r\n\r\nok"),
		Entry("to an earlier request", response+unhealthy),
		Entry("not HTTP", "hello\r\n\r\n"),
		Entry("closed connection", ""),
		Entry("without end", "HTTP/1.1 200 OK\r\nTarget-Id: t1\r\nContent-Length: 99999\r\n\r\n"+strings.Repeat("x", 99999)),
		Entry("status 000", withStatus("000")),
		Entry("status 099", withStatus("099")),
		Entry("status 600", withStatus("600")),
	)

	It("passes by the response behind one to an earlier request", func() {
		Expect(newChecker().Send(newTarget(response + healthy).check())).To(Succeed())
	})

	It("is not sent to a target that wants none", func() {
		t, k := newTarget(healthy), newChecker()
		unwanted := errors.New("unwanted")
		k.Wanted = func(_ clock.Millis, service string, c balance.Choice) error {
			Expect(service).To(Equal("s"))
			Expect(c).To(Equal(balance.Choice{ID: "t1", Born: 1}))
			return unwanted
		}
		var f *forward.Failure
		Expect(errors.As(k.Send(t.check()), &f)).To(BeTrue())
		Expect(f.Cause).To(Equal(unwanted))
		Expect(t.requests).To(BeEmpty())
	})

	It("counts and reports its result", func() {
		k := newChecker()
		var results []bool
		k.Done = func(_ *Check, passed bool) { results = append(results, passed) }
		k.Check(newTarget(healthy).check())
		k.Check(newTarget(unhealthy).check())
		Expect(results).To(Equal([]bool{true, false}))
		Expect(k.Results.Get("s.passed").String()).To(Equal("1"))
		Expect(k.Results.Get("s.failed").String()).To(Equal("1"))
	})
})
