package edge

import (
	"io"
	"net"
	"net/http"
	"runtime"
	"strconv"
	"strings"
	"sync"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/carawayrack/carawayrack/buffer"
)

// halfBody is a target that answers each connection with the start of a body and
// then waits until it is told to end.
type halfBody struct {
	ln   net.Listener
	size int
	// written receives once a connection has got size bytes or was closed.
	written chan struct{}
	end     chan struct{}
}

func newHalfBody(size int, written, end chan struct{}) *halfBody {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	t := &halfBody{ln: l, size: size, written: written, end: end}
	DeferCleanup(l.Close)
	go t.loop()
	return t
}

func (t *halfBody) loop() {
	for {
		c, err := t.ln.Accept()
		if err != nil {
			return
		}
		s := &halfBodyConn{t, c}
		go s.run()
	}
}

// halfBodyConn is one connection to a halfBody.
type halfBodyConn struct {
	target *halfBody
	conn   net.Conn
}

func (s *halfBodyConn) run() {
	defer s.conn.Close()
	head := make([]byte, 4096)
	_, _ = s.conn.Read(head)
	_, err := io.WriteString(s.conn, "HTTP/1.1 200 OK\r\nReq-Id: r1\r\nSeal: x\r\n\r\n")
	piece := strings.Repeat("x", 64<<10)
	for n := 0; n < s.target.size && err == nil; n += len(piece) {
		_, err = io.WriteString(s.conn, piece)
	}
	s.target.written <- struct{}{}
	if err == nil {
		<-s.target.end
	}
}

// liveHeap returns the bytes of the heap that are in use after a collection.
func liveHeap() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// poster posts a request to an unsafe route and waits for the response without a
// timeout of its own.
type poster struct {
	host *testHost
	done *sync.WaitGroup
}

func (p *poster) run() {
	defer GinkgoRecover()
	defer p.done.Done()
	q, err := requestTo(p.host, "/unsafe/")
	Expect(err).NotTo(HaveOccurred())
	q.RequestURI = ""
	q.Header.Set("Left", "60000")
	r, err := http.DefaultTransport.RoundTrip(q)
	if err == nil {
		_ = r.Body.Close()
	}
}

var _ = Describe("the memory for bodies", func() {
	// Guards against faulty targets that send bodies without end to many requests at
	// once: the host ran out of memory, and all its requests ended with it.
	It("is bounded while many responses do not end", func() {
		const responses, size = 80, 3 << 20
		written, end := make(chan struct{}, responses), make(chan struct{})
		var targets []*standin
		for k := range responses / 8 {
			targets = append(targets, &standin{id: "t" + strconv.Itoa(k), ln: newHalfBody(size, written, end).ln})
		}
		w := newTestHost(targets...)
		c, _ := w.host.view.current(w.host.Clock.Now())
		c.Routes[1].Timeout = 60_000
		before := liveHeap()
		var done sync.WaitGroup
		for range responses {
			done.Add(1)
			p := &poster{w, &done}
			go p.run()
		}
		for range responses {
			Eventually(written, "20s").Should(Receive())
		}
		// The host may still read what has arrived: buffers that it has just replaced by
		// larger ones are garbage that the collection in progress does not free. Nothing
		// changes any more once it waits for the rest of the bodies.
		held := func() int64 { return liveHeap() - before }
		GinkgoWriter.Printf("held at first: %d bytes\n", held())
		Eventually(held, "20s").Should(BeNumerically("<", buffer.DefaultLimit+responses*(buffer.DefaultFree+64<<10)))
		Consistently(held).Should(BeNumerically("<", buffer.DefaultLimit+responses*(buffer.DefaultFree+64<<10)))
		GinkgoWriter.Printf("held: %d bytes\n", held())
		close(end)
		done.Wait()
		// The memory of a response is given back once it has been sent, which may be after
		// its caller has got it.
		Eventually(w.host.responseBuffers.Used).Should(BeZero())
	})

	It("does not refuse a request whose body finds none, which is streamed", func() {
		t := newStandin("t1", ok)
		w := newTestHost(t)
		w.host.requestBuffers.Limit = 0
		body := strings.Repeat("z", 300<<10)
		Expect(w.post("/unsafe/", body).status).To(Equal(200))
		Expect(w.chunked("/unsafe/", strings.NewReader(body)).status).To(Equal(200))
		Expect(t.body).To(Equal([]string{body, body}))
		Expect(w.host.requestBuffers.Used()).To(BeZero())
	})
})
