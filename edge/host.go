// Package edge runs an entry host of a deployment: it receives the requests of
// callers, enforces the limits of the fleet and forwards requests to targets.
package edge

import (
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/carawayrack/carawayrack/buffer"
	"github.com/carawayrack/carawayrack/catalog"
	"github.com/carawayrack/carawayrack/clock"
	"github.com/carawayrack/carawayrack/connlimit"
	"github.com/carawayrack/carawayrack/controlplane"
	"github.com/carawayrack/carawayrack/coordinator"
	"github.com/carawayrack/carawayrack/forward"
	"github.com/carawayrack/carawayrack/latency"
	"github.com/carawayrack/carawayrack/pipeline"
	"github.com/carawayrack/carawayrack/poison"
	"github.com/carawayrack/carawayrack/routing"
	"github.com/carawayrack/carawayrack/shutdown"
	"github.com/carawayrack/carawayrack/token"
	"github.com/carawayrack/carawayrack/wire"
)

// Host is a running entry host.
type Host struct {
	Settings Settings
	Headers  Headers
	Clock    clock.Clock
	Log      *zap.Logger
	// Translate parses a configuration document.
	Translate func([]byte) (*catalog.Config, error)
	// ReadyPath is the path of the readiness check.
	ReadyPath string

	view    *fleetView
	tokens  *token.Borrower
	control *controlplane.Client
	gossip  *gossip
	// poison detects requests that crash their targets.
	poison *poison.Detector
	hedger hedger
	// unusedTargetLines limits log lines.
	unusedTargetLines lineLimit
	targetConns       *forward.Pool
	// requestBuffers and responseBuffers bound the memory for bodies.
	requestBuffers, responseBuffers *buffer.Budget
	sizes                           responseSizes
	// calls is the number of requests that may have a connection to a target.
	calls   atomic.Int32
	metrics *metrics
	server  *pipeline.Server
	// latencies holds the processing times at targets, by route.
	latencies latency.Routes
	bodyReads bodyReads
	leaving   atomic.Bool
	// leavingAt is when Stop was called; it is set before leaving is.
	leavingAt clock.Millis
	started   clock.Millis
}

// Timeouts and intervals.
const (
	// Connections to targets; see forward.Pool.
	dialTimeout    = 300 * clock.Millis(1)
	unackedTimeout = 1500 * clock.Millis(1)
	idleTimeout    = 6 * clock.Second
	freshIdle      = 3 * clock.Second
	// Connections of callers, if the configuration has no limits.
	callerIdle    = 75 * clock.Second
	headerTimeout = 10 * clock.Second
	headerBytes   = 64 << 10
	// configWait is how long a request waits for a current configuration.
	configWait         = 400 * clock.Millis(1)
	configPollInterval = 10 * clock.Millis(1)
	// configWaitWindow is the time after the start, or after the last proof has
	// become too old, in which requests wait for a current configuration. Later
	// they are refused at once.
	configWaitWindow = 2 * clock.Second
)

// Run opens the listeners and starts to serve requests.
func (h *Host) Run() error {
	h.started = h.Clock.Now()
	h.metrics = newMetrics()
	h.requestBuffers, h.responseBuffers = buffer.NewBudget(h.Settings.Memory), buffer.NewBudget(h.Settings.Memory)
	if n := h.Settings.Limits.FreeBody; n > 0 {
		h.requestBuffers.Free, h.responseBuffers.Free = n, n
	}
	h.view = &fleetView{zone: h.Settings.Zone, self: h.Settings.ID, retry: h.Settings.Retry, random: rand.IntN, log: h.Log}
	h.view.run()
	peers := &wire.Pool{Secret: h.Settings.Secret}
	h.tokens = &token.Borrower{Clock: h.Clock, Hosts: h.view.activeCount, Random: rand.Float64, Self: h.Settings.ID, ZoneLender: h.view.zoneLender}
	h.control = &controlplane.Client{
		Host: coordinator.Host{
			ID: h.Settings.ID, Zone: h.Settings.Zone, Callers: h.Settings.Callers, Peer: h.Settings.Peer, Narrow: h.Settings.Narrow,
		},
		Clock: h.Clock, Log: h.Log, Tokens: h.tokens, Pool: peers, Translate: h.Translate, Leaving: h.leaving.Load,
		Addresses: h.Settings.Cores, Cores: h.view.cores, Reports: h.view.rolloutReports,
		SetState: h.setState, SetFleet: h.view.setFleet, ConfirmCurrent: h.view.confirmCurrent,
	}
	h.tokens.Borrow, h.tokens.Reachable = h.control.Borrow, h.control.Reachable
	h.targetConns = &forward.Pool{
		Clock: h.Clock, DialTimeout: dialTimeout, UnackedTimeout: unackedTimeout,
		IdleTimeout: idleTimeout, FreshIdle: freshIdle, MaxIdle: h.Settings.Limits.IdleTargets,
	}
	h.targetConns.Run()
	h.gossip = &gossip{settings: h.Settings, clock: h.Clock, log: h.Log, view: h.view, metrics: h.metrics}
	h.poison = &poison.Detector{Clock: h.Clock, Log: h.Log, Broadcast: h.gossip.broadcastSuspicion, Dial: dialTarget, Control: h.control.Suspect}
	h.poison.Run()
	h.gossip.poison = h.poison
	h.gossip.peerTokens = &token.Peers{
		Find: h.view.hostAndAccount, Take: h.tokens.TakeForPeer,
		SendRequest: h.gossip.sendTokenRequest, SendLoan: h.gossip.sendTokenLoan,
	}
	h.gossip.peerTokens.Run()
	h.tokens.Request = h.gossip.peerTokens.Request
	h.tokens.Run()
	if err := h.gossip.run(); err != nil {
		return errors.Wrap(err, "edge.Run")
	}
	if err := h.listen(); err != nil {
		return err
	}
	h.control.Run()
	h.healthChecker().Run()
	return nil
}

func (h *Host) listen() error {
	l, err := net.Listen("tcp", h.Settings.Callers)
	if err != nil {
		return errors.Wrap(err, "edge.listen")
	}
	r, err := net.Listen("tcp", h.Settings.Ready)
	if err != nil {
		return errors.Wrap(err, "edge.listen")
	}
	h.server = h.callerServer()
	m := http.NewServeMux()
	m.HandleFunc("GET "+h.ReadyPath, h.serveReady)
	callers := &connlimit.Listener{Listener: l, Name: "callers", Max: h.Settings.Limits.Callers}
	h.responseBuffers.Reclaim = callers.EvictBlocked
	ready := &connlimit.Listener{Listener: r, Name: "ready", Max: h.Settings.Limits.Ready, Heads: h.heads()}
	s := ready.Server(m)
	s.ErrorLog = zap.NewStdLog(h.Log)
	go h.serveLoop(h.server.Run, callers)
	go h.serveLoop(s.Serve, ready)
	return nil
}

func (h *Host) serveLoop(serve func(net.Listener) error, l net.Listener) {
	if err := serve(l); err != nil {
		h.Log.Error("a listener failed", zap.String("address", l.Addr().String()), zap.Error(err))
	}
}

// callerServer returns the server for the connections of callers.
func (h *Host) callerServer() *pipeline.Server {
	return &pipeline.Server{
		Handler: h, Independent: h.independent, Limits: h.callerLimits, NotRead: h.logNotRead, Log: h.Log,
		Heads: h.heads(), NoMemory: h.countNoHeadMemory, Busy: h.responseBuffers.Scarce,
	}
}

func (h *Host) countNoHeadMemory() { h.metrics.refusals.Add(string(HeadMemoryFull), 1) }

// heads returns a budget for the heads of a listener, nil if they are not bounded.
func (h *Host) heads() *connlimit.Budget {
	if h.Settings.Limits.Heads <= 0 {
		return nil
	}
	return &connlimit.Budget{Limit: h.Settings.Limits.Heads}
}

// callerLimits returns the limits of the configuration for connections of
// callers.
func (h *Host) callerLimits() pipeline.Limits {
	l := pipeline.Limits{HeaderBytes: headerBytes, HeaderTimeout: headerTimeout, IdleTimeout: callerIdle}
	c, _ := h.view.current(h.Clock.Now())
	if c == nil {
		return l
	}
	// The limit counts what callers send; the host reads ahead by a buffer.
	if c.Limits.HeaderBytes > 0 {
		l.HeaderBytes = c.Limits.HeaderBytes
	}
	if c.Limits.HeaderTimeout > 0 {
		l.HeaderTimeout = c.Limits.HeaderTimeout
	}
	if c.Limits.IdleTimeout > 0 {
		l.IdleTimeout = c.Limits.IdleTimeout
	}
	return l
}

// independent reports whether a request may run beside others of its
// connection: those on routes whose requests may be repeated may, and those
// that are refused at once.
func (h *Host) independent(r *http.Request) bool {
	c, _ := h.view.current(h.Clock.Now())
	if c == nil {
		return true
	}
	t := routing.Match(c, r)
	return t == nil || t.Kind.Repeatable()
}

// logNotRead logs that a request was sent behind a response that ends its
// connection.
func (h *Host) logNotRead(r *http.Request) {
	h.metrics.refusals.Add(string(NotRead), 1)
	h.Log.Info("not read", zap.String("request", r.Header.Get(h.Headers.RequestID)),
		zap.String("cause", "the connection ends with the response to an earlier request"), zap.Bool("leaving", h.leaving.Load()))
}

// Ready reports whether the host can serve requests.
func (h *Host) Ready() bool {
	c, age := h.view.current(h.Clock.Now())
	return c != nil && age < h.Settings.MaxConfigAge && !h.leaving.Load()
}

func (h *Host) serveReady(w http.ResponseWriter, _ *http.Request) {
	if !h.Ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// waitForCurrentConfig requests a proof of at most the given age that the
// configuration is current and waits for it up to configWait. It returns the
// configuration, or nil if no proof arrives. It does not wait if the last proof
// or, without any, the start is too long ago; see configWaitWindow.
func (h *Host) waitForCurrentConfig(maxAge clock.Millis) *catalog.Config {
	h.control.Trigger()
	now := h.Clock.Now()
	f, age := h.view.current(now)
	proofExpected := age < h.Settings.MaxConfigAge+configWaitWindow
	if f == nil {
		proofExpected = now-h.started < configWaitWindow
	}
	if !proofExpected {
		return nil
	}
	for end := now + configWait; h.Clock.Now() < end; time.Sleep(configPollInterval.Duration()) {
		if c, age := h.view.current(h.Clock.Now()); c != nil && age < maxAge {
			return c
		}
	}
	return nil
}

// ServeHTTP serves one request of a caller.
func (h *Host) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	now := h.Clock.Now()
	c := &call{host: h, w: w, r: r, context: r.Context(), id: r.Header.Get(h.Headers.RequestID), start: now, arrived: now}
	if t, ok := pipeline.Received(c.context); ok {
		// The caller's time runs while the request waits for earlier ones.
		c.start -= clock.FromDuration(time.Since(t))
	}
	h.control.NoteRequest(now)
	defer c.releaseBody()
	if x := c.admit(); x != nil {
		c.refuse(x)
		return
	}
	n := h.calls.Add(1)
	defer h.calls.Add(-1)
	if h.Settings.Limits.Calls > 0 && int(n) > h.Settings.Limits.Calls {
		c.refuse(&refusal{HostFull, http.StatusServiceUnavailable, retryAfterFull, strconv.Itoa(int(n)) + " requests"})
		return
	}
	c.service = h.view.pickService(c.route)
	a, x := c.send()
	if x != nil {
		c.refuse(x)
		return
	}
	if a.stream != nil {
		c.streamResponse(a)
		return
	}
	c.writeResponse(a)
}

// releaseBody gives the memory of the request's body back to the budget.
func (c *call) releaseBody() { c.host.requestBuffers.Give(c.reserved) }

// overdue records that a target has not responded within the usual time.
func (h *Host) overdue(service string, a *attempt) {
	a.overdue.Store(true)
	healthChanged := h.view.overdue(h.Clock.Now(), service, a.choice.ID)
	h.gossip.broadcastHealth(service, a.choice.ID, healthChanged)
}

// refuse writes a response of the host itself. If the request must not run twice
// and may have run, status 502 replaces a status that implies that it has not.
func (c *call) refuse(x *refusal) {
	if c.mayHaveRun.Load() && !c.idempotent() && impliesNotRun(x.status) {
		x.status, x.retryAfter = http.StatusBadGateway, 0
	}
	c.host.metrics.refusals.Add(string(x.reason), 1)
	if cause, ok := c.stopCause.Load().(shutdown.Cause); ok && x.reason == Stopping {
		c.host.metrics.stopRefusals.Add(string(cause), 1)
	}
	c.countRefusal(x)
	name, account := "", ""
	if c.route != nil {
		name = c.route.Name
	}
	if c.account != nil {
		account = c.account.Name
	}
	now := c.host.Clock.Now()
	c.host.metrics.latency.Record(c.kind()+".refused", now-c.start)
	_, age := c.host.view.current(now)
	c.host.Log.Info("refused", zap.String("request", c.id), zap.String("reason", string(x.reason)), zap.Int("status", x.status),
		zap.String("cause", x.cause), zap.String("route", name), zap.String("account", account),
		zap.Strings("tried", c.tried), zap.Int64("tookMs", int64(now-c.start)), zap.Int64("configurationAgeMs", int64(age)))
	x.write(c.w)
}

// writeResponse forwards the complete response of a target to the caller.
func (c *call) writeResponse(a *attempt) {
	copyHeader(c.w.Header(), a.response.Header)
	c.w.Header().Set("Content-Length", strconv.Itoa(len(a.body)))
	c.countResponse(a)
	c.w.WriteHeader(a.response.StatusCode)
	// The error is of no use: the caller has disconnected.
	_, _ = c.w.Write(a.body)
}

// countResponse counts a response of a target that is sent to the caller.
func (c *call) countResponse(a *attempt) {
	c.countEnd(a.response.StatusCode < http.StatusInternalServerError)
	c.host.metrics.latency.Record(c.kind()+".answered", c.host.Clock.Now()-c.start)
	c.host.metrics.responses.Add(c.service+"."+strconv.Itoa(a.response.StatusCode/100), 1)
}
