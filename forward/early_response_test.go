package forward

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/url"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/pkg/errors"
)

// How an early target goes on after its response.
const (
	resets = iota
	closes
	halfCloses
	readsOn
	stops
)

// early is a target that responds once it has the head of a request.
type early struct {
	ln       net.Listener
	response string
	then     int
	// received is sent the number of bytes of each body, -1 if it was cut or had
	// other bytes than 'u', and then that of bytes behind it.
	received chan int
}

func newEarly(response string, then int) *early {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	t := &early{l, response, then, make(chan int, 8)}
	DeferCleanup(l.Close)
	go t.run()
	return t
}

func (t *early) run() {
	for {
		c, err := t.ln.Accept()
		if err != nil {
			return
		}
		t.serve(c.(*net.TCPConn))
	}
}

func (t *early) serve(c *net.TCPConn) {
	defer c.Close()
	r := bufio.NewReader(c)
	for {
		q, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_, _ = io.WriteString(c, t.response)
		time.Sleep(50 * time.Millisecond)
		switch t.then {
		case resets:
			_ = c.SetLinger(0)
			return
		case closes:
			return
		case stops:
			_, _ = q.Body.Read(make([]byte, 1))
			time.Sleep(5 * time.Second)
			return
		case halfCloses:
			_ = c.CloseWrite()
		}
		b, err := io.ReadAll(q.Body)
		n := len(b)
		if err != nil || strings.Trim(string(b), "u") != "" {
			n = -1
		}
		t.received <- n
		if t.then == halfCloses {
			return
		}
	}
}

// upload is the size of a request body that does not fit the buffers of a
// connection.
const upload = 32 << 20

// exchangeWithEarly returns an exchange with a long body. Length is -1 if the body
// is sent in chunks.
func exchangeWithEarly(p *Pool, t *early, length int64) *Exchange {
	return &Exchange{
		Pool: p, Addr: t.ln.Addr().String(), Unframed: true, Deadline: time.Now().Add(10 * time.Second),
		Request: &http.Request{
			Method: http.MethodPost, URL: &url.URL{Opaque: "/"}, Host: "h", Header: http.Header{},
			Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1, ContentLength: length,
			Body: io.NopCloser(io.LimitReader(letters{}, upload)),
		},
	}
}

// letters is a reader of 'u' without end.
type letters struct{}

func (letters) Read(b []byte) (int, error) {
	for i := range b {
		b[i] = 'u'
	}
	return len(b), nil
}

const (
	noLength    = "HTTP/1.1 200 OK\r\n\r\nhello"
	withLength  = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello"
	cutLength   = "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhello"
	wholeChunks = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n"
	cutChunks   = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n"
)

var _ = Describe("a response that comes before the request has been sent", func() {
	var pool *Pool
	BeforeEach(func() {
		pool = &Pool{}
		pool.Run()
		DeferCleanup(pool.Close)
	})

	// Guards against a part of a response that is taken for a whole one: the error of
	// a reset goes to the writer of the request, and the reader gets a regular end.
	DescribeTable("is complete only if its end is known",
		func(response string, then int, complete bool) {
			for _, length := range []int64{upload, -1} {
				e := exchangeWithEarly(pool, newEarly(response, then), length)
				r, err := e.Run(context.Background())
				Expect(err).NotTo(HaveOccurred())
				// The writer notices the reset first.
				time.Sleep(300 * time.Millisecond)
				b, err := io.ReadAll(r.Body)
				Expect(string(b)).To(Equal("hello"))
				if complete {
					Expect(err).NotTo(HaveOccurred())
					e.Finish()
					continue
				}
				Expect(err).To(HaveOccurred())
				e.Close()
			}
		},
		Entry("no length, reset", noLength, resets, false),
		Entry("no length, closed before the body was read, which resets", noLength, closes, false),
		Entry("no length, half closed while the body is read", noLength, halfCloses, true),
		Entry("whole length, reset", withLength, resets, true),
		Entry("whole length, closed", withLength, closes, true),
		Entry("whole length, reads on", withLength, readsOn, true),
		Entry("cut length, reset", cutLength, resets, false),
		Entry("cut length, closed", cutLength, closes, false),
		Entry("cut length, half closed", cutLength, halfCloses, false),
		Entry("whole chunks, reset", wholeChunks, resets, true),
		Entry("whole chunks, closed", wholeChunks, closes, true),
		Entry("whole chunks, reads on", wholeChunks, readsOn, true),
		Entry("cut chunks, reset", cutChunks, resets, false),
		Entry("cut chunks, closed", cutChunks, closes, false),
		Entry("cut chunks, half closed", cutChunks, halfCloses, false),
	)

	// Guards against a connection that is closed, or used again, while the target
	// still reads the body.
	DescribeTable("does not keep the target from receiving the whole body, and no other bytes",
		func(response string, then int) {
			for _, length := range []int64{upload, -1} {
				t := newEarly(response, then)
				for range 2 {
					e := exchangeWithEarly(pool, t, length)
					r, err := e.Run(context.Background())
					Expect(err).NotTo(HaveOccurred())
					b, err := io.ReadAll(r.Body)
					Expect(err).NotTo(HaveOccurred())
					Expect(string(b)).To(Equal("hello"))
					e.Finish()
					Eventually(t.received, 5*time.Second).Should(Receive(Equal(upload)))
				}
			}
		},
		Entry("whole length", withLength, readsOn),
		Entry("whole chunks", wholeChunks, readsOn),
		Entry("no length", noLength, halfCloses),
	)

	// Guards against a caller that leaves once it has the whole response, while the rest
	// of the body that it has sent is still being forwarded.
	DescribeTable("does not end the body of a caller that has left since",
		func(response string, then int) {
			for _, length := range []int64{upload, -1} {
				t := newEarly(response, then)
				ctx, leave := context.WithCancel(context.Background())
				e := exchangeWithEarly(pool, t, length)
				r, err := e.Run(ctx)
				Expect(err).NotTo(HaveOccurred())
				_, err = io.ReadAll(r.Body)
				Expect(err).NotTo(HaveOccurred())
				leave()
				e.Finish()
				Eventually(t.received, 5*time.Second).Should(Receive(Equal(upload)))
			}
		},
		Entry("whole length", withLength, readsOn),
		Entry("whole chunks", wholeChunks, readsOn),
		Entry("no length", noLength, halfCloses),
	)

	// Guards against a response that is held until the deadline.
	It("is not held for long by a target that does not read", func() {
		e := exchangeWithEarly(pool, newEarly(withLength, stops), upload)
		r, err := e.Run(context.Background())
		Expect(err).NotTo(HaveOccurred())
		_, err = io.ReadAll(r.Body)
		Expect(err).NotTo(HaveOccurred())
		start := time.Now()
		e.Finish()
		Expect(time.Since(start)).To(BeNumerically("<", 4*time.Second))
	})
})

var _ = Describe("the status of a response", func() {
	// Guards against a status that is no status: below 100, the response was taken for
	// an interim one, and its body for the response.
	DescribeTable("must be one that a response can have",
		func(status string, valid bool) {
			t := newEarly("HTTP/1.1 "+status+" X\r\nContent-Length: 41\r\n\r\n"+
				"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nbad", readsOn)
			e := exchangeWithEarly(pool(), t, 1)
			e.Request.Body = io.NopCloser(strings.NewReader("u"))
			r, err := e.Run(context.Background())
			defer e.Close()
			if valid {
				Expect(err).NotTo(HaveOccurred())
				Expect(r.Status).To(HavePrefix(status))
				return
			}
			var x *Failure
			Expect(errors.As(err, &x)).To(BeTrue())
			Expect(x.NotRun).To(BeFalse())
			Expect(x.Error()).To(ContainSubstring("status"))
		},
		Entry("none", "000", false),
		Entry("one digit", "001", false),
		Entry("signed", "+20", false),
		Entry("below 100", "099", false),
		Entry("101, which was not asked for", "101", false),
		Entry("the lowest", "200", true),
		Entry("the highest", "599", true),
		Entry("above 599", "600", false),
		Entry("far above 599", "999", false),
	)
})

func pool() *Pool {
	p := &Pool{}
	p.Run()
	DeferCleanup(p.Close)
	return p
}
