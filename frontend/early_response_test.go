package frontend

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"github.com/carawayrack/carawayrack/api"
	"github.com/carawayrack/carawayrack/clock"
	"github.com/carawayrack/carawayrack/config"
	"github.com/carawayrack/carawayrack/forward"
	"github.com/carawayrack/carawayrack/journal"
	"github.com/carawayrack/carawayrack/leaseholder"
	"github.com/carawayrack/carawayrack/limit"
	"github.com/carawayrack/carawayrack/shardclient"
	"github.com/carawayrack/carawayrack/slots"
	"github.com/carawayrack/carawayrack/usage"
)

// earlyTarget responds once it has the head of a request. Then it resets the
// connection, or reads on.
type earlyTarget struct {
	ln       net.Listener
	response string
	resets   bool
	// received is sent the number of bytes of each body, -1 if it was cut or had
	// other bytes than 'u'.
	received chan int
}

func (t *earlyTarget) run() {
	for {
		c, err := t.ln.Accept()
		if err != nil {
			return
		}
		t.serve(c.(*net.TCPConn))
	}
}

func (t *earlyTarget) serve(c *net.TCPConn) {
	defer c.Close()
	r := bufio.NewReader(c)
	for {
		q, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_, _ = io.WriteString(c, t.response)
		if t.resets {
			time.Sleep(20 * time.Millisecond)
			_ = c.SetLinger(0)
			return
		}
		b, err := io.ReadAll(q.Body)
		n := len(b)
		if err != nil || strings.Trim(string(b), "u") != "" {
			n = -1
		}
		t.received <- n
	}
}

// leaseholderOf grants every request a slot of a target, and lends tokens until tokens of
// them are lent.
type leaseholderOf struct {
	target *earlyTarget
	tokens int
	lent   int
}

func (l *leaseholderOf) call(_, _ string, args, reply any, _ clock.Millis) error {
	if r, ok := reply.(*leaseholder.TakeReply); ok {
		r.Life, r.Wait = clock.Second, 10*clock.Second
		if l.lent < l.tokens {
			l.lent++
			r.Loan = limit.Loan{ID: limit.LoanID{Number: uint64(l.lent)}, Tokens: 1}
		}
		return nil
	}
	r, ok := reply.(*leaseholder.AcquireReply)
	if !ok {
		return nil
	}
	q := args.(*leaseholder.AcquireArgs).Request
	r.Result.Grant = &slots.Grant{Service: q.Service, Target: "t1", Addr: l.target.ln.Addr().String(), Deadline: 20 * clock.Second}
	return nil
}

// serve starts a handler before a target, and returns the target and the handler's
// URL.
func serve(response string, resets bool) (*earlyTarget, string) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	t := &earlyTarget{l, response, resets, make(chan int, 8)}
	DeferCleanup(l.Close)
	go t.run()
	s := newState()
	h := newHandler(&leaseholderOf{target: t}, func() *config.State { return s })
	x := httptest.NewServer(h)
	DeferCleanup(x.Close)
	return t, x.URL + "/"
}

// newState returns a configuration with one service and one open route.
func newState() *config.State {
	s := config.New()
	s.Services["s"] = config.Service{Name: "s"}
	s.Routes["/"] = config.Route{Prefix: "/", Service: "s", Open: true}
	s.Hosts["h"] = config.Host{ID: "h", Zone: "z"}
	s.Zones["z"] = config.Zone{}
	s.RosterSequence = 1
	return s
}

// newHandler returns a handler that runs, with k as the leaseholder of all shards.
func newHandler(k *leaseholderOf, state func() *config.State) *Handler {
	l := &shardclient.Locator{Config: state, Call: k.call, SearchTimeout: clock.Second}
	fences := &shardclient.Fences{}
	ledger := &shardclient.Ledger{
		Host: "h", Locator: l, Fences: fences, ContactTimeout: 20 * clock.Second, Journal: func(journal.Event) {},
		Release: func(string, leaseholder.ReleaseArgs) {},
	}
	ledger.Run()
	DeferCleanup(ledger.Close)
	tokens := &shardclient.Tokens{Host: "h", Locator: l, Fences: fences}
	tokens.Run()
	DeferCleanup(tokens.Close)
	h := &Handler{
		Host: "h", Config: state, Current: func() bool { return true }, Stopping: func() bool { return false }, Ledger: ledger,
		Tokens: tokens, Pool: &forward.Pool{}, Usage: &usage.Counter{}, Journal: func(journal.Event) {}, Log: zap.NewNop(),
		Alive: func() map[string]api.Flags { return nil },
	}
	h.Pool.Run()
	DeferCleanup(h.Pool.Close)
	h.Run()
	return h
}

// requestWriter writes a request until the other side closes the connection.
type requestWriter struct {
	request *http.Request
	conn    net.Conn
	done    chan struct{}
}

func (w *requestWriter) run() {
	_ = w.request.Write(w.conn)
	close(w.done)
}

// post sends a body of a size and returns the status and the body of the response,
// and the error of reading it. The response may come before the body has been sent.
func post(url string, size int, chunked bool) (int, string, error) {
	q, err := http.NewRequest(http.MethodPost, url, strings.NewReader(strings.Repeat("u", size)))
	Expect(err).NotTo(HaveOccurred())
	if chunked {
		q.ContentLength = -1
	}
	k, err := net.Dial("tcp", q.Host)
	Expect(err).NotTo(HaveOccurred())
	defer k.Close()
	Expect(k.SetDeadline(time.Now().Add(15 * time.Second))).To(Succeed())
	w := &requestWriter{q, k, make(chan struct{})}
	go w.run()
	r, err := http.ReadResponse(bufio.NewReader(k), q)
	Expect(err).NotTo(HaveOccurred())
	b, err := io.ReadAll(r.Body)
	<-w.done
	return r.StatusCode, string(b), err
}

// unknownOutcome is the status of a request that cannot be repeated and may have run.
const unknownOutcome = http.StatusConflict

// long is the size of a request body that fits no buffer of a connection.
const long = 24 << 20

func withLength(n int) string {
	return "HTTP/1.1 200 OK\r\nContent-Length: " + strconv.Itoa(n) + "\r\n\r\n"
}

var _ = Describe("a response that comes before the body has been sent", func() {
	// Guards against a part of a response that the caller gets as a whole one.
	DescribeTable("is no success if its connection is reset",
		func(response string) {
			_, url := serve(response, true)
			status, body, err := post(url, long, false)
			Expect(err).NotTo(HaveOccurred())
			Expect(status).To(Equal(unknownOutcome))
			Expect(body).NotTo(ContainSubstring("hello"))
		},
		Entry("without length", "HTTP/1.1 200 OK\r\n\r\nhello"),
		Entry("shorter than its length", withLength(9)+"hello"),
		Entry("without its last chunk", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n"),
	)

	It("is seen as truncated if it was too long to be read before", func() {
		const size = 2 * responseHeadSize
		_, url := serve(withLength(size)+strings.Repeat("x", size-1), true)
		_, body, err := post(url, long, false)
		Expect(err).To(HaveOccurred())
		Expect(len(body)).To(BeNumerically("<", size))
	})

	// Guards against a body of which the server of the caller reads a part itself, or
	// that ends with the response.
	DescribeTable("does not keep the target from receiving the whole body, and no other bytes",
		func(size int, chunked bool) {
			t, url := serve(withLength(size)+strings.Repeat("x", size), false)
			for range 2 {
				status, body, err := post(url, long, chunked)
				Expect(err).NotTo(HaveOccurred())
				Expect(status).To(Equal(200))
				Expect(body).To(Equal(strings.Repeat("x", size)))
				Eventually(t.received, 5*time.Second).Should(Receive(Equal(long)))
			}
		},
		Entry("after a short response", 5, false),
		Entry("after a long response", 2*responseHeadSize, false),
		Entry("in chunks, after a short response", 5, true),
		Entry("in chunks, after a long response", 2*responseHeadSize, true),
	)
})

// Guards against a status below 100 that counts as interim, so that the body of the
// response is taken for the response, and against one that net/http does not write.
var _ = DescribeTable("a response with an invalid status is not passed on",
	func(status string) {
		_, url := serve("HTTP/1.1 "+status+" X\r\nContent-Length: 41\r\n\r\n"+withLength(3)+"bad", false)
		got, body, err := post(url, 1, false)
		Expect(err).NotTo(HaveOccurred())
		Expect(got).To(Equal(unknownOutcome))
		Expect(body).NotTo(ContainSubstring("bad"))
	},
	Entry("000", "000"), Entry("099", "099"), Entry("101", "101"), Entry("600", "600"), Entry("999", "999"),
)
