package edge

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing/iotest"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/carawayrack/carawayrack/buffer"
	"github.com/carawayrack/carawayrack/catalog"
	"github.com/carawayrack/carawayrack/clock"
)

// bodySender is a target whose responses a function writes. The connection is closed when the
// function returns.
type bodySender struct {
	ln   net.Listener
	send func(net.Conn)
	// ended receives when the function has returned.
	ended chan struct{}
}

func newBodySender(send func(net.Conn)) *bodySender {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	s := &bodySender{l, send, make(chan struct{}, 1000)}
	DeferCleanup(l.Close)
	go s.run()
	return s
}

func (s *bodySender) run() {
	for {
		c, err := s.ln.Accept()
		if err != nil {
			return
		}
		x := &bodySenderConn{s, c}
		go x.run()
	}
}

func (s *bodySender) standin(id string) *standin { return &standin{id: id, ln: s.ln} }

type bodySenderConn struct {
	bodySender *bodySender
	conn       net.Conn
}

func (x *bodySenderConn) run() {
	defer x.conn.Close()
	r, err := http.ReadRequest(bufio.NewReader(x.conn))
	if err != nil {
		return
	}
	_, _ = fmt.Fprintf(x.conn, "HTTP/1.1 200 OK\r\nReq-Id: %s\r\nSeal: x\r\n", r.Header.Get("Req-Id"))
	x.bodySender.send(x.conn)
	x.bodySender.ended <- struct{}{}
}

// noise returns n bytes.
func noise(n int) []byte {
	b := make([]byte, n)
	rand.New(rand.NewSource(int64(n))).Read(b)
	return b
}

// withLength sends a body with a length, of which it may keep back the end.
func withLength(body []byte, keep int) func(net.Conn) {
	return func(c net.Conn) {
		_, _ = fmt.Fprintf(c, "Content-Length: %d\r\n\r\n", len(body))
		_, _ = c.Write(body[:len(body)-keep])
	}
}

func inChunks(body []byte, last string) func(net.Conn) {
	return func(c net.Conn) {
		_, _ = io.WriteString(c, "Transfer-Encoding: chunked\r\n\r\n")
		for b := body; len(b) > 0; {
			n := min(len(b), 50_000)
			_, _ = fmt.Fprintf(c, "%x\r\n%s\r\n", n, b[:n])
			b = b[n:]
		}
		_, _ = io.WriteString(c, last)
	}
}

func untilClose(body []byte) func(net.Conn) {
	return func(c net.Conn) {
		_, _ = io.WriteString(c, "\r\n")
		_, _ = c.Write(body)
	}
}

// slowReader is a caller that has sent a request and reads the response as the test tells.
type slowReader struct {
	net.Conn
	response *http.Response
}

// begin sends a request and reads the head of the response. The caller's system accepts
// few bytes that it has not read.
func (w *testHost) begin(path string) *slowReader {
	GinkgoHelper()
	k, err := net.Dial("tcp", w.server.ln.Addr().String())
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(func() { _ = k.Close() })
	Expect(k.(*net.TCPConn).SetReadBuffer(16 << 10)).To(Succeed())
	_, err = fmt.Fprintf(k, "GET %s HTTP/1.1\r\nHost: h\r\nReq-Id: r1\r\n\r\n", path)
	Expect(err).NotTo(HaveOccurred())
	_ = k.SetReadDeadline(time.Now().Add(20 * time.Second))
	r, err := http.ReadResponse(bufio.NewReaderSize(k, 16), nil)
	Expect(err).NotTo(HaveOccurred())
	return &slowReader{k, r}
}

// attempts returns the number of attempts with an outcome.
func (w *testHost) attempts(outcome string) func() string {
	return func() string {
		v := w.host.metrics.attempts.Get("s." + outcome)
		if v == nil {
			return "0"
		}
		return v.String()
	}
}

// newDownloadHost returns a host whose route under /open/ is one of downloads.
func newDownloadHost(timeout clock.Millis, targets ...*standin) *testHost {
	w := newTestHost(targets...)
	w.withDownloads(timeout)
	return w
}

// longerBody is the body of a response that is reset.
var longerBody = noise(16 << 20)

var _ = Describe("a large response", func() {
	body := noise(5 << 20)

	// Guards against a large response that is refused, changed or lacks its end.
	DescribeTable("reaches the caller whole and with its seal",
		func(send func(net.Conn), n int, budget int64) {
			w := newDownloadHost(20_000, newBodySender(send).standin("t1"))
			w.host.responseBuffers.Limit = budget
			r, err := w.call(http.MethodGet, "/open/", "")
			Expect(err).NotTo(HaveOccurred())
			Expect(r.status).To(Equal(200))
			Expect(r.header.Get("Seal")).To(Equal("x"))
			Expect(bytes.Equal([]byte(r.body), body[:n])).To(BeTrue())
			Eventually(w.attempts("served")).Should(Equal("1"))
			Eventually(w.host.responseBuffers.Used).Should(BeZero())
		},
		Entry("with a length", withLength(body, 0), len(body), int64(buffer.DefaultLimit)),
		Entry("in chunks", inChunks(body, "0\r\n\r\n"), len(body), int64(buffer.DefaultLimit)),
		Entry("ended by the close of its connection", untilClose(body), len(body), int64(buffer.DefaultLimit)),
		Entry("of just the size that is read first", withLength(body[:streamSize], 0), streamSize, int64(buffer.DefaultLimit)),
		Entry("that is read whole but held in the budget", inChunks(body[:100_000], "0\r\n\r\n"), 100_000, int64(buffer.DefaultLimit)),
		Entry("without memory", withLength(body, 0), len(body), int64(0)),
		Entry("in chunks without memory", inChunks(body, "0\r\n\r\n"), len(body), int64(0)),
	)

	// Guards against a caller that takes a part of a response for all of it.
	DescribeTable("that breaks off is seen as truncated, and its target is to blame",
		func(send func(net.Conn)) {
			t := newBodySender(send).standin("t1")
			// The end of the call and that of the attempt are close together.
			for range 20 {
				w := newDownloadHost(20_000, t)
				_, err := w.call(http.MethodGet, "/open/", "")
				Expect(err).To(MatchError(io.ErrUnexpectedEOF))
				Eventually(w.attempts("broken")).Should(Equal("1"))
				Eventually(w.host.responseBuffers.Used).Should(BeZero())
			}
		},
		Entry("with a length", withLength(body, 1)),
		Entry("in chunks", inChunks(body, "")),
		Entry("without a length, with a reset", func(c net.Conn) {
			// A reset discards what has not been read. This is more than the systems of
			// both sides hold, so that the host has read more than streamSize.
			untilClose(longerBody)(c)
			_ = c.(*net.TCPConn).SetLinger(0)
		}),
	)

	It("that breaks off before the caller has got any of it comes from another target", func() {
		broken := newBodySender(withLength(body, len(body)-streamSize/2))
		for _, ids := range [][]string{{"t1", "t2"}, {"t2", "t1"}} {
			w := newDownloadHost(20_000, broken.standin(ids[0]), newBodySender(withLength(body, 0)).standin(ids[1]))
			r, err := w.call(http.MethodGet, "/open/", "")
			Expect(err).NotTo(HaveOccurred())
			Expect(bytes.Equal([]byte(r.body), body)).To(BeTrue())
		}
		// The host begins with the same target in both cases.
		Expect(broken.ended).To(HaveLen(1))
	})

	It("is passed on before the target has sent its end", func() {
		rest := make(chan struct{})
		w := newDownloadHost(20_000, newBodySender(func(c net.Conn) {
			_, _ = fmt.Fprintf(c, "Content-Length: %d\r\n\r\n", len(body))
			_, _ = c.Write(body[:1<<20])
			<-rest
			_, _ = c.Write(body[1<<20:])
		}).standin("t1"))
		r := w.begin("/open/")
		b := make([]byte, 1<<20)
		_, err := io.ReadFull(r.response.Body, b)
		Expect(err).NotTo(HaveOccurred())
		close(rest)
		end, err := io.ReadAll(r.response.Body)
		Expect(err).NotTo(HaveOccurred())
		Expect(bytes.Equal(append(b, end...), body)).To(BeTrue())
	})

	// Guards against a slow caller that keeps a slot of a target, which aborts the response
	// after some seconds.
	It("frees its target while the caller reads slowly, as far as there is memory", func() {
		w := newDownloadHost(20_000, newBodySender(withLength(body[:3<<20], 0)).standin("t1"))
		r := w.begin("/open/")
		Eventually(w.attempts("served"), "5s").Should(Equal("1"))
		got, err := io.ReadAll(r.response.Body)
		Expect(err).NotTo(HaveOccurred())
		Expect(bytes.Equal(got, body[:3<<20])).To(BeTrue())
	})

	// Guards against an attempt that runs on after its caller has left.
	It("ends at its target within 0.5 s when the caller leaves", func() {
		for _, budget := range []int64{0, buffer.DefaultLimit} {
			s := newBodySender(withLength(noise(40<<20), 0))
			w := newDownloadHost(20_000, s.standin("t1"))
			w.host.responseBuffers.Limit = budget
			r := w.begin("/open/")
			Consistently(s.ended, "200ms").ShouldNot(Receive())
			Expect(r.Close()).To(Succeed())
			Eventually(s.ended, "500ms").Should(Receive())
			Eventually(w.attempts("cancelled")).Should(Equal("1"))
		}
	})

	// Guards against a target that stops and keeps the request for ever. What the target sends
	// fits maxReadAhead with its overhead: a response that fills it counts as cancelled
	// if the caller has not read for blameTolerance, which depends on the speed of the machine.
	It("that stops ends at the deadline, and its target is to blame", func() {
		closed := make(chan time.Duration, 1)
		w := newDownloadHost(700, newBodySender(func(c net.Conn) {
			start := time.Now()
			withLength(body, len(body)-maxReadAhead/4)(c)
			_, _ = c.Read(make([]byte, 1))
			closed <- time.Since(start)
		}).standin("t1"))
		r := w.begin("/open/")
		Eventually(closed, "10s").Should(Receive(BeNumerically("<", 1500*time.Millisecond)))
		Eventually(w.attempts("timedOut")).Should(Equal("1"), w.host.metrics.attempts.String)
		b, err := io.ReadAll(r.response.Body)
		Expect(err).To(MatchError(io.ErrUnexpectedEOF))
		Expect(bytes.Equal(b, body[:maxReadAhead/4])).To(BeTrue())
	})

	// Guards against healthy targets that get no requests because callers read slowly.
	It("that is cut off because its caller does not read is not the target's fault", func() {
		w := newDownloadHost(20_000, newBodySender(func(c net.Conn) {
			_, _ = fmt.Fprintf(c, "Content-Length: %d\r\n\r\n", 40<<20)
			_ = c.SetWriteDeadline(time.Now().Add(time.Second))
			for {
				if _, err := c.Write(body); err != nil {
					_ = c.(*net.TCPConn).SetLinger(0)
					return
				}
			}
		}).standin("t1"))
		w.host.responseBuffers.Limit = 0
		r := w.begin("/open/")
		time.Sleep(1200 * time.Millisecond)
		_, err := io.ReadAll(r.response.Body)
		Expect(err).To(MatchError(io.ErrUnexpectedEOF))
		Eventually(w.attempts("cancelled")).Should(Equal("1"))
		Expect(w.attempts("broken")()).To(Equal("0"))
	})

	// Guards against a host that runs out of memory while many callers do not read.
	It("occupies a bounded part of the host's memory while many callers do not read", func() {
		const callers, budget = 60, 8 << 20
		large := noise(2 << 20)
		s := newBodySender(withLength(large, 0))
		var targets []*standin
		for i := range callers / 6 {
			targets = append(targets, s.standin("t"+strconv.Itoa(i)))
		}
		w := newDownloadHost(20_000, targets...)
		w.host.responseBuffers.Limit = budget
		before := liveHeap()
		var all []*slowReader
		for range callers {
			all = append(all, w.begin("/open/"))
		}
		held := func() int64 { return liveHeap() - before }
		// Beside the budget each response has the part that is read first or its free
		// chunks, and a chunk that is being written with its framing.
		bound := int64(budget + callers*(buffer.DefaultFree+3*64<<10))
		Eventually(held, "10s").Should(BeNumerically("<", bound))
		Consistently(held, "1s", "200ms").Should(BeNumerically("<", bound))
		GinkgoWriter.Printf("held: %d bytes, budget: %d\n", held(), w.host.responseBuffers.Used())
		Expect(w.host.responseBuffers.Used()).To(BeNumerically("<=", budget))
		var done sync.WaitGroup
		for _, r := range all {
			done.Add(1)
			x := &comparer{r, large, &done}
			go x.run()
		}
		done.Wait()
		Eventually(w.host.responseBuffers.Used).Should(BeZero())
	})

	// Guards against a target that breaks off responses and counts as cancelled, because the
	// end of the call has cancelled the attempt before its outcome was recorded.
	It("that breaks off keeps its call until the outcome is recorded", func() {
		w := newDownloadHost(2000)
		c := &call{host: w.host, w: httptest.NewRecorder(), context: context.Background()}
		a := &attempt{call: c, context: c.context, response: &http.Response{}, ended: make(chan struct{})}
		a.newStream(buffer.Body{Bytes: []byte("begun")})
		Expect(a.stream.Fill(iotest.ErrReader(io.ErrUnexpectedEOF))).NotTo(Succeed())
		p := &passing{c, a, make(chan error, 1)}
		go p.run()
		Consistently(p.done, "100ms").ShouldNot(Receive())
		close(a.ended)
		Eventually(p.done).Should(Receive(MatchError(io.ErrUnexpectedEOF)))
	})

	// Guards against an upload that is cut off at its target because the response to it has
	// been passed on.
	It("that comes early does not keep the target from receiving the whole body", func() {
		t := newEarlyTarget(largeResponse(streamSize+1), false)
		w := hostBefore(t)
		a := w.chunked("/unsafe/", longBody(24<<20))
		Expect(a.status).To(Equal(200))
		Expect(a.body).To(HaveLen(streamSize + 1))
		Eventually(t.received, 5*time.Second).Should(Receive(Equal(24 << 20)))
	})

	It("of a failure comes from another target if the request may be repeated", func() {
		failure := strings.Replace(largeResponse(streamSize+1), "200 OK", "500 X", 1)
		for _, ids := range [][]string{{"t1", "t2"}, {"t2", "t1"}} {
			w := newDownloadHost(2000, newStandin(ids[0], failure), newStandin(ids[1], ok))
			Expect(w.get("/open/").status).To(Equal(200))
		}
		w := newDownloadHost(2000, newStandin("t1", failure))
		Expect(w.post("/unsafe/", "b").status).To(Equal(500))
	})
})

// passing passes a response on.
type passing struct {
	call    *call
	attempt *attempt
	done    chan error
}

func (p *passing) run() {
	_, err := p.call.pass(p.attempt)
	p.done <- err
}

// comparer reads a response and compares it.
type comparer struct {
	reader *slowReader
	body   []byte
	done   *sync.WaitGroup
}

func (x *comparer) run() {
	defer GinkgoRecover()
	defer x.done.Done()
	b, err := io.ReadAll(x.reader.response.Body)
	Expect(err).NotTo(HaveOccurred())
	Expect(bytes.Equal(b, x.body)).To(BeTrue())
}

var _ = Describe("the sizes of responses", func() {
	It("are small after enough small ones, and not after a large one", func() {
		s := &responseSizes{}
		r := &catalog.Route{Name: "r", Kind: catalog.Download}
		for range smallResponses {
			Expect(s.areSmall(r)).To(BeFalse())
			s.record(r, true)
		}
		Expect(s.areSmall(r)).To(BeTrue())
		s.record(r, false)
		Expect(s.areSmall(r)).To(BeFalse())
	})
})
