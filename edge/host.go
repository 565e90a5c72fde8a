// Package edge is an entry host of a deployment: it takes the requests of
// callers, keeps the limits of the fleet and passes requests on to targets.
package edge

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/carawayrack/carawayrack/catalog"
	"github.com/carawayrack/carawayrack/clock"
	"github.com/carawayrack/carawayrack/forward"
	"github.com/carawayrack/carawayrack/wire"
)

// Host is a running entry host.
type Host struct {
	Settings  Settings
	Headers   Headers
	Clock     clock.Clock
	Log       *zap.Logger
	Translate func([]byte) (*catalog.Config, error)
	// ReadyPath is the path of the question whether the host is ready.
	ReadyPath string

	view   *view
	tokens *tokens
	link   *link
	gossip *gossip
	// suspects are the requests that crash their targets.
	suspects *suspects
	conns    *forward.Pool
	metrics  *metrics
	server   *http.Server
	leaving  atomic.Bool
	started  clock.Millis
}

// Timing of connections.
const (
	dialTimeout    = 300 * clock.Millis(1)
	unackedTimeout = 1500 * clock.Millis(1)
	idleTimeout    = 6 * clock.Second
	freshIdle      = 3 * clock.Second
	callerIdle     = 75 * time.Second
	headerTimeout  = 10 * time.Second
	// renewFor is how long a request waits for a current configuration.
	renewFor  = 400 * clock.Millis(1)
	renewStep = 10 * clock.Millis(1)
	// renewWithin is how long after a start, or after the last proof has
	// become too old, requests wait at all.
	renewWithin = 2 * clock.Second
)

// Run starts to serve.
func (h *Host) Run() error {
	h.started = h.Clock.Now()
	h.metrics = newMetrics()
	h.view = &view{zone: h.Settings.Zone, self: h.Settings.ID, retry: h.Settings.Retry, random: rand.IntN, log: h.Log}
	h.view.run()
	peers := &wire.Pool{Secret: h.Settings.Secret}
	h.tokens = &tokens{clock: h.Clock, hosts: h.view.activeCount, random: rand.Float64}
	h.tokens.run()
	h.link = &link{
		settings: h.Settings, clock: h.Clock, log: h.Log, view: h.view, tokens: h.tokens, pool: peers,
		translate: h.Translate, leaving: h.leaving.Load,
	}
	h.tokens.borrow, h.tokens.reachable = h.link.borrow, h.link.reachable
	h.conns = &forward.Pool{
		Clock: h.Clock, DialTimeout: dialTimeout, UnackedTimeout: unackedTimeout,
		IdleTimeout: idleTimeout, FreshIdle: freshIdle,
	}
	h.conns.Run()
	h.gossip = &gossip{settings: h.Settings, clock: h.Clock, log: h.Log, view: h.view, metrics: h.metrics}
	h.suspects = &suspects{clock: h.Clock, log: h.Log, tell: h.gossip.suspect}
	h.suspects.run()
	h.gossip.suspects = h.suspects
	if err := h.gossip.run(); err != nil {
		return errors.Wrap(err, "edge.Run")
	}
	if err := h.listen(); err != nil {
		return err
	}
	h.link.run()
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
	h.server = &http.Server{Handler: h, IdleTimeout: callerIdle, ReadHeaderTimeout: headerTimeout, ErrorLog: zap.NewStdLog(h.Log)}
	m := http.NewServeMux()
	m.HandleFunc("GET "+h.ReadyPath, h.serveReady)
	go h.serveLoop(h.server, l)
	go h.serveLoop(&http.Server{Handler: m, IdleTimeout: callerIdle, ReadHeaderTimeout: headerTimeout}, r)
	return nil
}

func (h *Host) serveLoop(s *http.Server, l net.Listener) {
	if err := s.Serve(l); err != http.ErrServerClosed {
		h.Log.Error("a listener ended", zap.String("address", l.Addr().String()), zap.Error(err))
	}
}

// Ready reports whether the host can serve.
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

// renew waits a little for a proof that the configuration is current, if
// there was one lately or the host has just started; nil if there is none.
func (h *Host) renew() *catalog.Config {
	h.link.kick()
	now := h.Clock.Now()
	f, age := h.view.current(now)
	hopeful := age < h.Settings.MaxConfigAge+renewWithin
	if f == nil {
		hopeful = now-h.started < renewWithin
	}
	if !hopeful {
		return nil
	}
	for end := now + renewFor; h.Clock.Now() < end; time.Sleep(renewStep.Duration()) {
		if c, age := h.view.current(h.Clock.Now()); c != nil && age < h.Settings.MaxConfigAge {
			return c
		}
	}
	return nil
}

// ServeHTTP serves one request of a caller.
func (h *Host) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c := &call{host: h, w: w, r: r, context: r.Context(), id: r.Header.Get(h.Headers.RequestID), start: h.Clock.Now()}
	h.link.used(c.start)
	if h.leaving.Load() {
		w.Header().Set("Connection", "close")
	}
	if x := c.admit(); x != nil {
		c.refuse(x)
		return
	}
	c.service = h.view.part(c.route)
	a, x := c.send()
	if x != nil {
		c.refuse(x)
		return
	}
	c.deliver(a)
}

// overdue notes that a target has not answered in the usual time.
func (h *Host) overdue(service string, a *attempt) {
	a.overdue.Store(true)
	turned := h.view.overdue(h.Clock.Now(), service, a.choice.ID)
	h.gossip.alarm(service, a.choice.ID, turned)
}

// refuse answers for the host.
func (c *call) refuse(x *refusal) {
	if c.mayHaveRun.Load() && !c.idempotent() && promises(x.status) {
		x.status, x.retryAfter = http.StatusBadGateway, 0
	}
	c.host.metrics.refusals.Add(string(x.reason), 1)
	name, account := "", ""
	if c.route != nil {
		name = c.route.Name
	}
	if c.account != nil {
		account = c.account.Name
	}
	now := c.host.Clock.Now()
	c.host.metrics.latency.record(c.kind()+".refused", now-c.start)
	_, age := c.host.view.current(now)
	c.host.Log.Info("refused", zap.String("request", c.id), zap.String("reason", string(x.reason)), zap.Int("status", x.status),
		zap.String("cause", x.cause), zap.String("route", name), zap.String("account", account),
		zap.Strings("tried", c.tried), zap.Int64("tookMs", int64(now-c.start)), zap.Int64("configurationAgeMs", int64(age)))
	x.write(c.w)
}

// deliver passes a whole answer on.
func (c *call) deliver(a *attempt) {
	h := c.w.Header()
	copyHeader(h, a.response.Header)
	h.Set("Content-Length", strconv.Itoa(len(a.body)))
	if _, ok := h["Content-Type"]; !ok {
		// A nil value keeps the library from guessing one.
		h["Content-Type"] = nil
	}
	c.host.metrics.latency.record(c.kind()+".answered", c.host.Clock.Now()-c.start)
	c.host.metrics.answers.Add(c.service+"."+strconv.Itoa(a.response.StatusCode/100), 1)
	c.w.WriteHeader(a.response.StatusCode)
	// A caller that has left has no use for the rest.
	_, _ = c.w.Write(a.body)
}

const (
	// acceptFor is the part of the grace in which a leaving host still takes
	// requests: callers go on using its address for a while.
	acceptFor = 0.7
	// finishMargin is left at the end of the grace.
	finishMargin = 200 * clock.Millis(1)
)

// Stop serves for as long as callers may still come, finishes what is under
// way and returns.
func (h *Host) Stop() {
	start := time.Now()
	h.leaving.Store(true)
	h.link.kick()
	g := h.Settings.Grace.Duration()
	time.Sleep(time.Duration(float64(g) * acceptFor))
	x, stop := context.WithDeadline(context.Background(), start.Add(g-finishMargin.Duration()))
	defer stop()
	if err := h.server.Shutdown(x); err != nil {
		h.Log.Warn("requests were under way at the end", zap.Error(err))
	}
}
