package pipeline

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"
)

// streamer answers paths that begin with /safe/stream with pieces that the test sends one
// by one, and others with their path.
type streamer struct {
	// pieces is read for the body; it ends with the channel. length is the header
	// Content-Length, none if it is empty.
	pieces chan string
	length string
	// abort makes the handler panic after the last piece.
	abort bool
	// written is the number of bytes that were accepted, started the number of requests.
	written, started atomic.Int64
	failed           chan error
}

func newStreamer() *streamer {
	return &streamer{pieces: make(chan string, 10), failed: make(chan error, 1)}
}

func (s *streamer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.started.Add(1)
	if !strings.HasPrefix(r.URL.Path, "/safe/stream") {
		_, _ = io.WriteString(w, r.URL.Path)
		return
	}
	if s.length != "" {
		w.Header().Set("Content-Length", s.length)
	}
	_, _ = io.WriteString(w, "begin ")
	err := http.NewResponseController(w).Flush()
	for p := range s.pieces {
		if err != nil {
			break
		}
		var n int
		n, err = io.WriteString(w, p)
		s.written.Add(int64(n))
	}
	s.failed <- err
	if s.abort {
		panic(http.ErrAbortHandler)
	}
}

func (s *streamer) server() *Server {
	x := &Server{Handler: s, Independent: safe, Limits: testLimits, Log: zap.NewNop()}
	DeferCleanup(x.Close)
	return x
}

// head reads the head of a response.
func (c *caller) head() *http.Response {
	GinkgoHelper()
	_ = c.SetReadDeadline(time.Now().Add(patience))
	r, err := http.ReadResponse(c.reader, nil)
	Expect(err).NotTo(HaveOccurred())
	return r
}

// expect reads the next bytes of a body.
func expect(r *http.Response, text string) {
	GinkgoHelper()
	b := make([]byte, len(text))
	_, err := io.ReadFull(r.Body, b)
	Expect(err).NotTo(HaveOccurred())
	Expect(string(b)).To(Equal(text))
}

var _ = Describe("a streamed response", func() {
	for _, x := range transports {
		for _, length := range []string{"", "10"} {
			Context(x.name+", length "+strconv.Quote(length), func() {
				// Guards against a host that holds large responses until they are complete,
				// and against a connection that is of no use after one.
				It("arrives as it is written, and those behind it follow in order", func() {
					s := newStreamer()
					s.length = length
					c := x.connect(s.server())
					c.write(get("/safe/stream") + get("/safe/2"))
					r := c.head()
					expect(r, "begin ")
					s.pieces <- "an"
					expect(r, "an")
					Eventually(s.started.Load).Should(Equal(int64(2)))
					s.pieces <- "d."
					close(s.pieces)
					rest, err := io.ReadAll(r.Body)
					Expect(err).NotTo(HaveOccurred())
					Expect(string(rest)).To(Equal("d."))
					Expect(c.read()).To(Equal(answer{200, "/safe/2", false}))
					c.write(get("/safe/3"))
					Expect(c.read()).To(Equal(answer{200, "/safe/3", false}))
				})

				// Guards against a caller that takes a part of a response for all of it.
				It("is seen as truncated if it breaks off, and nothing follows", func() {
					s := newStreamer()
					// A handler that returns too early is enough if there is a length.
					s.length, s.abort = length, length == ""
					c := x.connect(s.server())
					c.write(get("/safe/stream") + get("/safe/2"))
					r := c.head()
					expect(r, "begin ")
					close(s.pieces)
					rest, err := io.ReadAll(r.Body)
					Expect(rest).To(BeEmpty())
					Expect(err).To(MatchError(io.ErrUnexpectedEOF))
				})
			})
		}

		It("waits for earlier ones "+x.name, func() {
			t, s := newTarget("/safe/1"), newStreamer()
			v := newServer(t)
			v.Handler = byPath{t, s}
			c := x.connect(v)
			c.write(get("/safe/1") + get("/safe/stream"))
			Eventually(s.started.Load).Should(Equal(int64(1)))
			close(s.pieces)
			Consistently(s.failed, "100ms").ShouldNot(Receive())
			t.release("/safe/1")
			Expect(c.read().body).To(Equal("/safe/1"))
			Expect(c.read().body).To(Equal("begin "))
		})

		It("ends when the caller leaves "+x.name, func() {
			s := newStreamer()
			c := x.connect(s.server())
			c.write(get("/safe/stream"))
			expect(c.head(), "begin ")
			c.hangUp()
			Eventually(func() error {
				s.pieces <- "more"
				select {
				case err := <-s.failed:
					return err
				default:
					return nil
				}
			}, patience).Should(HaveOccurred())
			close(s.pieces)
		})
	}

	It("without a length to a caller of HTTP/1.0 ends with the connection, and with a reset if it breaks off", func() {
		for _, abort := range []bool{false, true} {
			s := newStreamer()
			s.abort = abort
			c := transports[1].connect(s.server())
			c.write("GET /safe/stream HTTP/1.0\r\nHost: h\r\n\r\n")
			r := c.head()
			expect(r, "begin ")
			close(s.pieces)
			_, err := io.ReadAll(r.Body)
			Expect(err != nil).To(Equal(abort))
		}
	})

	// Guards against a response to an upload that keeps all requests of the connection
	// from being handled while the upload goes on.
	It("may begin before the body of its request has been read", func() {
		s := newStreamer()
		v := s.server()
		v.Handler = &early{s}
		c := transports[1].connect(v)
		c.write("POST /safe/stream HTTP/1.1\r\nHost: h\r\nContent-Length: 100\r\n\r\npart")
		r := c.head()
		Expect(r.Close).To(BeTrue())
		expect(r, "begin ")
		close(s.pieces)
		_, err := io.ReadAll(r.Body)
		Expect(err).NotTo(HaveOccurred())
	})

	// Guards against a host whose memory holds what slow callers do not read, and against a
	// link on which small responses wait for seconds behind a large one.
	It("is written no faster than the caller reads, with a small window", func() {
		s := newStreamer()
		c := transports[1].connect(s.server())
		Expect(c.Conn.(*net.TCPConn).SetReadBuffer(16 << 10)).To(Succeed())
		c.write(get("/safe/stream"))
		f := &feeder{s, 50}
		go f.run()
		last := int64(-1)
		Eventually(func() bool {
			n := s.written.Load()
			same := n == last && n > 0
			last = n
			return same
		}, patience, "300ms").Should(BeTrue())
		GinkgoWriter.Printf("accepted: %d bytes\n", last)
		// What the kernel has accepted may hold a link of 6.2 Mbit/s for a quarter of the
		// shortest objective, 1 s.
		Expect(last).To(BeNumerically("<=", 6_200_000/8/4))
		r := c.head()
		n, err := io.Copy(io.Discard, bufio.NewReader(r.Body))
		Expect(err).NotTo(HaveOccurred())
		Expect(n).To(Equal(int64(len("begin ") + 50*pieceSize)))
	})
})

const pieceSize = 32 << 10

// feeder sends n pieces.
type feeder struct {
	streamer *streamer
	n        int
}

func (f *feeder) run() {
	for range f.n {
		f.streamer.pieces <- strings.Repeat("x", pieceSize)
	}
	close(f.streamer.pieces)
}

// byPath gives streams to a streamer and the rest to a target.
type byPath struct {
	target   *target
	streamer *streamer
}

func (b byPath) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if strings.HasPrefix(r.URL.Path, "/safe/stream") {
		b.streamer.ServeHTTP(w, r)
		return
	}
	b.target.ServeHTTP(w, r)
}

// early reads the body of the request in the background while it responds.
type early struct{ streamer *streamer }

func (e *early) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	b := make([]byte, len("part"))
	_, _ = io.ReadFull(r.Body, b)
	d := &drainer{r.Body}
	go d.run()
	// The drainer waits for the rest of the body by now.
	time.Sleep(50 * time.Millisecond)
	e.streamer.ServeHTTP(w, r)
}

type drainer struct{ body io.Reader }

func (d *drainer) run() {
	_, err := io.Copy(io.Discard, d.body)
	if err == nil || errors.Is(err, io.EOF) {
		panic(fmt.Sprint("a body without its end was read whole: ", err))
	}
}
