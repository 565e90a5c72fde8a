package edge

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"github.com/carawayrack/carawayrack/buffer"
	"github.com/carawayrack/carawayrack/catalog"
	"github.com/carawayrack/carawayrack/clock"
	"github.com/carawayrack/carawayrack/controlplane"
	"github.com/carawayrack/carawayrack/coordinator"
	"github.com/carawayrack/carawayrack/forward"
	"github.com/carawayrack/carawayrack/poison"
	"github.com/carawayrack/carawayrack/token"
)

// testHeaders are the header names that the tests use.
var testHeaders = Headers{
	RequestID: "Req-Id", Deadline: "Left", Key: "Key", Account: "Account", ExpectedTarget: "Expect-Id",
	NotRun: "Not-Run", Seal: "Seal", Load: "Load", WarmUp: "Cold",
	Leaving: "Leaving", Target: "Target-Id",
}

// standin is a target that responds as a test specifies.
type standin struct {
	id string
	ln net.Listener

	mu   sync.Mutex
	seen []*http.Request
	body []string
	// script holds the raw responses in order; the last one is repeated. ID is
	// replaced by the request's ID. An empty response, and one that begins with CUT,
	// closes the connection.
	script []string
	// closed counts the connections that the host closed.
	closed int
	silent bool
	// delay is the time before each response.
	delay time.Duration
}

func newStandin(id string, script ...string) *standin {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	s := &standin{id: id, ln: l, script: script}
	DeferCleanup(func() { _ = l.Close() })
	go s.loop()
	return s
}

func (s *standin) loop() {
	for {
		c, err := s.ln.Accept()
		if err != nil {
			return
		}
		x := &session{s, c}
		go x.run()
	}
}

type session struct {
	target *standin
	conn   net.Conn
}

func (x *session) run() {
	defer x.conn.Close()
	r := bufio.NewReader(x.conn)
	for {
		q, err := http.ReadRequest(r)
		if err != nil {
			x.target.ended()
			return
		}
		b, err := io.ReadAll(q.Body)
		if err != nil {
			x.target.ended()
			return
		}
		a, silent := x.target.next(q, string(b))
		if silent {
			_, _ = r.ReadByte()
			x.target.ended()
			return
		}
		if a == "" {
			return
		}
		time.Sleep(x.target.delay)
		a, cut := strings.CutPrefix(a, "CUT")
		_, _ = x.conn.Write([]byte(strings.ReplaceAll(a, "ID", q.Header.Get(testHeaders.RequestID))))
		if cut || strings.Contains(a, "Connection: close") {
			return
		}
	}
}

func (s *standin) ended() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed++
}

func (s *standin) next(q *http.Request, body string) (string, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.seen = append(s.seen, q)
	s.body = append(s.body, body)
	a := s.script[0]
	if len(s.script) > 1 {
		s.script = s.script[1:]
	}
	return a, s.silent
}

// set replaces the responses.
func (s *standin) set(script ...string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.script = script
}

func (s *standin) requests() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.seen)
}

// ok is a complete response.
const ok = "HTTP/1.1 200 OK\r\nReq-Id: ID\r\nSeal: x\r\nContent-Length: 5\r\n\r\nhello"

func status(code int, extra string) string {
	return fmt.Sprintf("HTTP/1.1 %d X\r\nReq-Id: ID\r\n%sContent-Length: 2\r\n\r\nno", code, extra)
}

// testHost is a host with stand-in targets and without a control process.
type testHost struct {
	host   *Host
	server *callerServer
	// tokensLeft is the number of tokens that borrow still lends.
	tokensLeft int
	// down makes targets refuse the connections of crash checks.
	down       atomic.Bool
	mu         sync.Mutex
	broadcasts [][]byte
	// suspectCalls are the requests about suspects to control processes, which grant
	// trials if grantTrials is set.
	suspectCalls []coordinator.SuspectArgs
	grantTrials  bool
}

// suspect stands in for a control process.
func (w *testHost) suspect(a coordinator.SuspectArgs) (coordinator.SuspectReply, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.suspectCalls = append(w.suspectCalls, a)
	return coordinator.SuspectReply{Granted: a.Trial && w.grantTrials, Wait: 10 * clock.Second, Sequence: 9}, nil
}

func (w *testHost) suspectArgs() []coordinator.SuspectArgs {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]coordinator.SuspectArgs{}, w.suspectCalls...)
}

func (w *testHost) dial(string) error {
	if w.down.Load() {
		return syscall.ECONNREFUSED
	}
	return nil
}

func (w *testHost) broadcast(b []byte) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.broadcasts = append(w.broadcasts, b)
}

func (w *testHost) messages() [][]byte {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([][]byte{}, w.broadcasts...)
}

func newTestHost(targets ...*standin) *testHost {
	w := &testHost{tokensLeft: 1 << 30}
	h := &Host{
		Settings: Settings{ID: "h", Zone: "z", MaxConfigAge: 4000, MaxRefusalAge: 1400, Retry: RetryBudget{Ratio: 0.2, Slack: 60}, Grace: 600},
		Headers:  testHeaders, Clock: clock.Boot(), Log: zap.NewNop(),
	}
	h.metrics = newMetrics()
	h.requestBuffers, h.responseBuffers = buffer.NewBudget(0), buffer.NewBudget(0)
	h.view = &fleetView{zone: "z", retry: h.Settings.Retry, random: func(int) int { return 0 }, log: h.Log}
	h.view.run()
	h.tokens = &token.Borrower{Clock: h.Clock, Hosts: func() int { return 1 }, Borrow: w.borrow, Reachable: func() bool { return true }, Random: func() float64 { return 0 }}
	h.tokens.Run()
	h.control = &controlplane.Client{Clock: h.Clock, Log: h.Log}
	h.gossip = &gossip{settings: h.Settings, clock: h.Clock, log: h.Log, view: h.view, dirty: make(chan struct{}, 1)}
	h.poison = &poison.Detector{Clock: h.Clock, Log: h.Log, Broadcast: w.broadcast, Dial: w.dial, Control: w.suspect}
	h.poison.Run()
	h.targetConns = &forward.Pool{Clock: h.Clock, DialTimeout: 500}
	h.targetConns.Run()
	DeferCleanup(h.targetConns.Close)
	w.host = h
	w.set(targets...)
	h.view.confirmCurrent(h.Clock.Now())
	h.server = h.callerServer()
	w.server = newCallerServer(h)
	return w
}

// callerServer is the listener of a host.
type callerServer struct {
	// URL is the address with its scheme.
	URL  string
	host *Host
	ln   net.Listener
}

func newCallerServer(h *Host) *callerServer {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	s := &callerServer{"http://" + l.Addr().String(), h, l}
	DeferCleanup(h.server.Close)
	go s.run()
	return s
}

func (s *callerServer) run() { _ = s.host.server.Run(s.ln) }

func (w *testHost) borrow(a coordinator.BorrowArgs) (coordinator.BorrowReply, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := min(w.tokensLeft, a.Tokens)
	w.tokensLeft -= n
	return coordinator.BorrowReply{Tokens: n, Wait: 500, Known: true}, nil
}

// set replaces the configuration and the targets of the host.
func (w *testHost) set(targets ...*standin) { w.restart(1, targets...) }

// restart does the same with targets that have started at the given time or later.
func (w *testHost) restart(born int64, targets ...*standin) {
	s := catalog.New(nil)
	s.Config = &catalog.Config{
		Version:  1,
		Services: []catalog.Service{{Name: "s"}},
		Accounts: []catalog.Account{{Name: "acc", Keys: []string{"k1"}, Priority: -1, Rate: 100, Burst: 100}},
		Routes: []catalog.Route{
			{Name: "safe", Host: "h", Prefix: "/safe/", Kind: catalog.Idempotent, Timeout: 2000, Objective: 500, Attempts: 2, Parts: []catalog.Part{{Service: "s", Weight: 1}}},
			{Name: "unsafe", Host: "h", Prefix: "/unsafe/", Kind: catalog.Unsafe, Timeout: 700, Objective: 500, Attempts: 2, Parts: []catalog.Part{{Service: "s", Weight: 1}}},
			{Name: "open", Host: "h", Prefix: "/open/", Kind: catalog.Idempotent, Timeout: 2000, Objective: 500, Attempts: 2, Open: true, Parts: []catalog.Part{{Service: "s", Weight: 1}}},
		},
	}
	s.Config.Index()
	for i, t := range targets {
		s.Targets[t.id] = catalog.Target{ID: t.id, Service: "s", Zone: "z", Addr: t.ln.Addr().String(), Phase: catalog.Serving, Slots: 8, Born: born + int64(i)}
	}
	w.host.view.setState(w.host.Clock.Now(), s)
}

// configure replaces the configuration by a changed copy. The targets stay.
func (w *testHost) configure(change func(*catalog.Config)) {
	v := w.host.view
	c := *v.config
	c.Version++
	change(&c)
	c.Index()
	v.mu.Lock()
	defer v.mu.Unlock()
	v.config = &c
}

// response is what a caller received.
type response struct {
	status int
	body   string
	header http.Header
}

// requestTo returns a request of a caller as the host reads it.
func requestTo(w *testHost, path string) (*http.Request, error) {
	q, err := http.NewRequest(http.MethodPost, w.server.URL+path, nil)
	if err != nil {
		return nil, err
	}
	q.Host, q.RequestURI = "h", path
	q.Header.Set("Req-Id", "r1")
	q.Header.Set("Key", "k1")
	return q, nil
}

func (w *testHost) call(method, path, body string, header ...string) (response, error) {
	q, err := http.NewRequest(method, w.server.URL+path, strings.NewReader(body))
	Expect(err).NotTo(HaveOccurred())
	q.Host = "h"
	q.Header.Set("Req-Id", "r1")
	q.Header.Set("Key", "k1")
	q.Header.Set("Left", "5000")
	for i := 0; i+1 < len(header); i += 2 {
		q.Header.Set(header[i], header[i+1])
	}
	c := &http.Client{Transport: &http.Transport{DisableCompression: true}, Timeout: 10 * time.Second}
	defer c.CloseIdleConnections()
	r, err := c.Do(q)
	if err != nil {
		return response{}, err
	}
	defer r.Body.Close()
	b, err := io.ReadAll(r.Body)
	return response{r.StatusCode, string(b), r.Header}, err
}

// withKeys sends a request with the given values of the key's header, and returns the status
// of the response.
func (w *testHost) withKeys(path string, keys ...string) int {
	q, err := http.NewRequest(http.MethodGet, w.server.URL+path, nil)
	Expect(err).NotTo(HaveOccurred())
	q.Host = "h"
	q.Header.Set("Req-Id", "r1")
	q.Header["Key"] = keys
	c := &http.Client{Timeout: 10 * time.Second}
	defer c.CloseIdleConnections()
	r, err := c.Do(q)
	Expect(err).NotTo(HaveOccurred())
	defer r.Body.Close()
	return r.StatusCode
}

// chunked sends a body without a Content-Length. The host may respond before it
// has read the body.
func (w *testHost) chunked(path string, body io.Reader) response {
	k, err := net.Dial("tcp", w.server.ln.Addr().String())
	Expect(err).NotTo(HaveOccurred())
	defer k.Close()
	q, err := http.NewRequest(http.MethodPost, "http://h"+path, body)
	Expect(err).NotTo(HaveOccurred())
	q.ContentLength = -1
	q.Header.Set("Req-Id", "r1")
	q.Header.Set("Key", "k1")
	s := &requestWriter{q, k}
	go s.run()
	r, err := http.ReadResponse(bufio.NewReader(k), q)
	Expect(err).NotTo(HaveOccurred())
	b, err := io.ReadAll(r.Body)
	Expect(err).NotTo(HaveOccurred())
	return response{r.StatusCode, string(b), r.Header}
}

// requestWriter writes a request until the host closes the connection.
type requestWriter struct {
	request *http.Request
	conn    net.Conn
}

func (s *requestWriter) run() { _ = s.request.Write(s.conn) }

func (w *testHost) get(path string, header ...string) response {
	a, err := w.call(http.MethodGet, path, "", header...)
	Expect(err).NotTo(HaveOccurred())
	return a
}

func (w *testHost) post(path, body string, header ...string) response {
	a, err := w.call(http.MethodPost, path, body, header...)
	Expect(err).NotTo(HaveOccurred())
	return a
}
