package forward

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/pkg/errors"
)

// flood is a target that answers each connection with a start and then one piece
// without end, until the other side closes. OWN in both stands for the ID of the
// request, which it reads from the header Id.
type flood struct {
	ln           net.Listener
	start, piece string
	// sent receives the number of bytes sent once a connection was closed.
	sent chan int
}

func newFlood(start, piece string) *flood {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	f := &flood{l, start, strings.Repeat(piece, 4096/len(piece)), make(chan int, 64)}
	DeferCleanup(l.Close)
	go f.run()
	return f
}

func (f *flood) run() {
	for {
		c, err := f.ln.Accept()
		if err != nil {
			return
		}
		f.serve(c)
	}
}

func (f *flood) serve(c net.Conn) {
	defer c.Close()
	q, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	own := strings.NewReplacer("OWN", q.Header.Get("Id"))
	n, err := own.WriteString(c, f.start)
	for err == nil {
		var k int
		k, err = own.WriteString(c, f.piece)
		n += k
	}
	f.sent <- n
}

// bound is the number of bytes that a flood may send, most of which wait in the
// kernel's buffers.
const bound = 16 << 20

func exchangeWith(f *flood, id string) *Exchange {
	p := &Pool{}
	p.Run()
	DeferCleanup(p.Close)
	return &Exchange{
		Pool: p, Addr: f.ln.Addr().String(), Unframed: true, Deadline: time.Now().Add(10 * time.Second),
		Mismatched: func(r *http.Response) bool { return r.Header.Get("Id") != id },
		Request: &http.Request{
			Method: http.MethodGet, URL: &url.URL{Opaque: "/"}, Host: "h", Header: http.Header{"Id": {id}},
			Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		},
	}
}

var _ = Describe("bytes without end", func() {
	DescribeTable("instead of a response end the exchange with a cause, not at its deadline",
		func(start, piece string, cause any) {
			f := newFlood(start, piece)
			e := exchangeWith(f, "1")
			_, err := e.Run(context.Background())
			var x *Failure
			Expect(errors.As(err, &x)).To(BeTrue())
			Expect(x.Cause).To(BeAssignableToTypeOf(cause))
			Expect(x.NotRun).To(BeFalse())
			e.Close()
			var n int
			Eventually(f.sent, 10*time.Second).Should(Receive(&n))
			Expect(n).To(BeNumerically("<", bound))
		},
		Entry("status line", "HTTP/1.1 200 ", "x", HeadTooLarge{}),
		Entry("headers", "HTTP/1.1 200 OK\r\n", "A: b\r\n", HeadTooLarge{}),
		Entry("one header", "HTTP/1.1 200 OK\r\nA: ", "b", HeadTooLarge{}),
		Entry("interim responses", "", "HTTP/1.1 102 Processing\r\n\r\n", HeadTooLarge{}),
		Entry("responses to other requests", "", "HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 1\r\n\r\nx", MismatchedResponse{}),
		Entry("a response to another request that contains the expected one",
			"HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 99999999\r\n\r\n"+strings.Repeat("x", maxMismatchedBody),
			"HTTP/1.1 200 OK\r\nId: OWN\r\nContent-Length: 5\r\n\r\nwrong", MismatchedResponse{}),
	)

	// Whether the bytes arrive before the connection is used again is chance. If
	// they do not, the exchange fails with a cause.
	It("behind a whole response do not reach a later exchange", func() {
		f := newFlood("HTTP/1.1 200 OK\r\nId: OWN\r\nContent-Length: 5\r\n\r\nhello", "HTTP/1.1 200 OK\r\nId: OWN\r\nContent-Length: 5\r\n\r\nwrong")
		p := &Pool{}
		p.Run()
		for i := range 50 {
			e := exchangeWith(f, strconv.Itoa(i))
			e.Pool = p
			r, err := e.Run(context.Background())
			if err != nil {
				var x *Failure
				Expect(errors.As(err, &x)).To(BeTrue())
				Expect(x.Cause).To(BeAssignableToTypeOf(MismatchedResponse{}))
				Expect(x.NotRun).To(BeFalse())
				e.Close()
				continue
			}
			Expect(r.Header.Get("Id")).To(Equal(strconv.Itoa(i)))
			b, err := io.ReadAll(r.Body)
			Expect(err).NotTo(HaveOccurred())
			Expect(string(b)).To(Equal("hello"))
			e.Finish()
		}
		p.Close()
	})

	It("in a body are read only as far as the caller of Run reads", func() {
		f := newFlood("HTTP/1.1 200 OK\r\nId: OWN\r\n\r\n", "x")
		e := exchangeWith(f, "1")
		r, err := e.Run(context.Background())
		Expect(err).NotTo(HaveOccurred())
		_, err = io.CopyN(io.Discard, r.Body, 1<<20)
		Expect(err).NotTo(HaveOccurred())
		e.Close()
		var n int
		Eventually(f.sent, 10*time.Second).Should(Receive(&n))
		Expect(n).To(BeNumerically("<", bound))
	})
})
