package pipeline

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"
)

const patience = 10 * time.Second

// target is a handler whose responses the test releases one by one.
type target struct {
	mu sync.Mutex
	// started and cancelled hold the paths of requests in the order in which they
	// started, or in which their callers left.
	started, cancelled []string
	bodies             map[string]string
	// gates holds back the responses to the paths that are in it.
	gates map[string]chan struct{}
	// running and most are the current and the greatest number of requests at work.
	running, most int
}

func newTarget(held ...string) *target {
	t := &target{bodies: map[string]string{}, gates: map[string]chan struct{}{}}
	for _, p := range held {
		t.gates[p] = make(chan struct{})
	}
	return t
}

func (t *target) release(path string) { close(t.gates[path]) }

func (t *target) begin(path string) chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.started = append(t.started, path)
	t.running++
	t.most = max(t.most, t.running)
	return t.gates[path]
}

func (t *target) end(path, body string, cancelled bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.running--
	t.bodies[path] = body
	if cancelled {
		t.cancelled = append(t.cancelled, path)
	}
}

func (t *target) begun() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return append([]string{}, t.started...)
}

func (t *target) gone() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return append([]string{}, t.cancelled...)
}

// ServeHTTP responds with the path. Paths that begin with /refuse are answered
// before their body is read.
func (t *target) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	p := r.URL.Path
	g := t.begin(p)
	b := ""
	if !strings.HasPrefix(p, "/refuse") {
		x, err := io.ReadAll(r.Body)
		if err != nil {
			b = "error: " + err.Error()
		} else {
			b = string(x)
		}
	}
	if strings.HasPrefix(p, "/panic") {
		panic("as the test asked")
	}
	cancelled := false
	if g != nil {
		select {
		case <-g:
		case <-r.Context().Done():
			cancelled = true
		}
	}
	t.end(p, b, cancelled)
	if strings.HasPrefix(p, "/refuse") {
		w.WriteHeader(http.StatusUnauthorized)
	}
	_, _ = fmt.Fprint(w, p)
}

func safe(r *http.Request) bool { return strings.HasPrefix(r.URL.Path, "/safe") }

// caller is the client's end of a connection.
type caller struct {
	net.Conn
	reader *bufio.Reader
}

// hangUp closes the connection, which the test may have closed already.
func (c *caller) hangUp() { _ = c.Close() }

// write sends s in the background, since the server may not read all of it.
func (c *caller) write(s string) {
	w := &writer{c.Conn, s}
	go w.run()
}

type writer struct {
	conn net.Conn
	text string
}

// run ignores the error: the server may close the connection first.
func (w *writer) run() { _, _ = io.WriteString(w.conn, w.text) }

func get(path string, header ...string) string {
	s := "GET " + path + " HTTP/1.1\r\nHost: h\r\n"
	for _, h := range header {
		s += h + "\r\n"
	}
	return s + "\r\n"
}

func post(path, body string) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", path, len(body), body)
}

// answer is one response.
type answer struct {
	status int
	body   string
	close  bool
}

// read reads one response.
func (c *caller) read() answer {
	GinkgoHelper()
	_ = c.SetReadDeadline(time.Now().Add(patience))
	r, err := http.ReadResponse(c.reader, nil)
	Expect(err).NotTo(HaveOccurred())
	b, err := io.ReadAll(r.Body)
	Expect(err).NotTo(HaveOccurred())
	return answer{r.StatusCode, string(b), r.Close}
}

// expectEnd expects the end of the connection and no further bytes.
func (c *caller) expectEnd() {
	GinkgoHelper()
	_ = c.SetReadDeadline(time.Now().Add(patience))
	b, err := io.ReadAll(c.reader)
	Expect(b).To(BeEmpty())
	Expect(err).NotTo(HaveOccurred())
}

// transport connects a caller to a server.
type transport struct {
	name string
	// dial returns the caller's end.
	dial func(*Server) net.Conn
}

var transports = []transport{{"without a network", dialPipe}, {"over TCP", dialTCP}}

func dialPipe(s *Server) net.Conn {
	a, b := net.Pipe()
	s.ServeConn(b)
	return a
}

func dialTCP(s *Server) net.Conn {
	s.mu.Lock()
	l := s.listener
	s.mu.Unlock()
	if l == nil {
		var err error
		l, err = net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		s.mu.Lock()
		s.listener = l
		s.mu.Unlock()
		r := &listening{s, l}
		go r.run()
	}
	c, err := net.Dial("tcp", l.Addr().String())
	Expect(err).NotTo(HaveOccurred())
	return c
}

type listening struct {
	server   *Server
	listener net.Listener
}

func (l *listening) run() { _ = l.server.Run(l.listener) }

func testLimits() Limits {
	return Limits{HeaderBytes: 16 << 10, HeaderTimeout: 3000, IdleTimeout: 15000}
}

func newServer(t *target) *Server {
	s := &Server{Handler: t, Independent: safe, Limits: testLimits, Log: zap.NewNop()}
	DeferCleanup(s.Close)
	return s
}

func (x transport) connect(s *Server) *caller {
	c := &caller{Conn: x.dial(s)}
	c.reader = bufio.NewReader(c)
	DeferCleanup(c.hangUp)
	return c
}
