package edge

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
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

func newEarlyTarget(response string, resets bool) *earlyTarget {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	t := &earlyTarget{l, strings.ReplaceAll(response, "ID", "r1"), resets, make(chan int, 64)}
	DeferCleanup(l.Close)
	go t.run()
	return t
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

// hostBefore returns a host with this target alone.
func hostBefore(t *earlyTarget) *testHost {
	w := newTestHost(&standin{id: "t1", ln: t.ln})
	c, _ := w.host.view.current(w.host.Clock.Now())
	c.Routes[1].Timeout = 8000
	return w
}

// longBody is a body of a size, which fits no buffer of a connection if it is
// large.
func longBody(size int) io.Reader { return strings.NewReader(strings.Repeat("u", size)) }

var _ = Describe("a response that comes before the body has been sent", func() {
	const large, buffered = 24 << 20, 1 << 20
	const head = "HTTP/1.1 200 OK\r\nReq-Id: ID\r\nSeal: x\r\n"

	// Guards against a part of a response that the caller gets as a whole one. The
	// error of the reset goes to the reader or the writer, by chance.
	DescribeTable("is no success if its connection is reset",
		func(response string) {
			for range 20 {
				w := hostBefore(newEarlyTarget(response, true))
				a := w.chunked("/unsafe/", longBody(large))
				Expect(a.status).To(Equal(502))
				Expect(a.body).NotTo(ContainSubstring("hello"))
			}
		},
		Entry("without length", head+"\r\nhello"),
		Entry("shorter than its length", head+"Content-Length: 9\r\n\r\nhello"),
		Entry("without its last chunk", head+"Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n"),
	)

	// Guards against a response that is ready and lost.
	DescribeTable("is delivered if it is whole, though its connection is reset",
		func(response string) {
			w := hostBefore(newEarlyTarget(response, true))
			a := w.chunked("/unsafe/", longBody(large))
			Expect(a.status).To(Equal(200))
			Expect(a.body).To(Equal("hello"))
		},
		Entry("with its length", head+"Content-Length: 5\r\n\r\nhello"),
		Entry("with its last chunk", head+"Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n"),
	)

	// Guards against a connection that is closed while the target still reads.
	DescribeTable("does not keep the target from receiving the whole body, and no other bytes",
		func(size int) {
			t := newEarlyTarget(head+"Content-Length: 5\r\n\r\nhello", false)
			w := hostBefore(t)
			for range 2 {
				a := w.chunked("/unsafe/", longBody(size))
				Expect(a.status).To(Equal(200))
				Expect(a.body).To(Equal("hello"))
				Eventually(t.received, 5*time.Second).Should(Receive(Equal(size)))
			}
		},
		Entry("streamed", large),
		Entry("buffered", buffered),
	)
})

var _ = Describe("a response with an invalid status", func() {
	const inner = "HTTP/1.1 200 OK\r\nReq-Id: ID\r\nSeal: x\r\nContent-Length: 3\r\n\r\nbad"

	// Guards against a status below 100 that counts as interim, so that the body of the
	// response is taken for the response, and against one above 599 that is passed on.
	DescribeTable("is not passed on",
		func(status string) {
			bad := "HTTP/1.1 " + status + " X\r\nReq-Id: ID\r\nSeal: x\r\nContent-Length: 62\r\n\r\n" + inner
			w := newTestHost(newStandin("t1", bad))
			a := w.post("/unsafe/", "body")
			Expect(a.status).To(Equal(502))
			Expect(a.body).NotTo(ContainSubstring("bad"))
			w = newTestHost(newStandin("t1", bad), newStandin("t2", ok))
			Expect(w.get("/safe/").status).To(Equal(200))
		},
		Entry("000", "000"), Entry("099", "099"), Entry("101", "101"), Entry("600", "600"), Entry("999", "999"),
	)
})
