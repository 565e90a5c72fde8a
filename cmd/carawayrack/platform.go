package main

import (
	"expvar"
	"net"
	"net/http"
	"os"
	"os/signal"
	"runtime/debug"
	"strconv"
	"syscall"

	"go.uber.org/zap"

	"github.com/carawayrack/carawayrack/clock"
	"github.com/carawayrack/carawayrack/command"
	"github.com/carawayrack/carawayrack/coordinator"
	"github.com/carawayrack/carawayrack/edge"
	"github.com/carawayrack/carawayrack/logs"
	"github.com/carawayrack/carawayrack/platform"
)

const (
	usageEdge = "runs an entry host on the users' platform"
	usageCore = "runs a control process on the users' platform"
)

// process holds the flags, settings and log of a process on the users' platform,
// to which package platform adapts the proxy.
type process struct {
	role    string
	metrics string
	// hedge is the share of requests that hosts may hedge, 0 for that of the settings.
	hedge float64
	log   *zap.Logger
	// route explains how a request would be routed; nil for control processes.
	route    http.HandlerFunc
	settings platform.Settings
}

// runProcess reads the flags and the settings, starts a process and serves its
// metrics and state until a signal stops it.
func runProcess(role, usage string, args []string, start func(*process) (state http.HandlerFunc, stop func(), err error)) int {
	p := &process{role: role}
	f := command.Flags(role, usage)
	level := f.String("log", "info", "lowest level to log: debug, info, warn or error")
	f.StringVar(&p.metrics, "metrics", ":9180", "address for metrics and state")
	if role == "edge" {
		f.Float64Var(&p.hedge, "hedge", 0, "share of the requests of each service that may be hedged, 0 to 1; 0: that of the settings")
	}
	if code, ok := command.Parse(f, args); !ok {
		return code
	}
	if !(p.hedge >= 0 && p.hedge <= 1) {
		return command.Fail(platform.Unusable{Field: "-hedge", Got: strconv.FormatFloat(p.hedge, 'g', -1, 64)})
	}
	var err error
	if p.log, _, err = logs.NewStream(os.Stdout, *level); err != nil {
		return command.Fail(err)
	}
	if p.settings, err = platform.Load(); err != nil {
		return command.Fail(err)
	}
	state, stop, err := start(p)
	if err != nil {
		return command.Fail(err)
	}
	if n := p.settings.HeapLimit(); n > 0 {
		debug.SetMemoryLimit(n)
	}
	m := &metricsServer{p.metrics, p.log, state, p.route, p.settings}
	go m.run()
	p.log.Info("started", zap.String("role", role), zap.String("version", version))
	awaitStopSignal(p.log)
	stop()
	p.log.Info("stopped")
	return command.OK
}

// metricsServer serves the metrics and the state of a process over HTTP.
type metricsServer struct {
	addr  string
	log   *zap.Logger
	state http.HandlerFunc
	// route serves the explanations of explain-route, if set.
	route http.HandlerFunc
	// settings have the limits of the listener.
	settings platform.Settings
}

func (m *metricsServer) run() {
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", expvar.Handler())
	mux.HandleFunc("GET /state", m.state)
	if m.route != nil {
		mux.HandleFunc("GET /route", m.route)
	}
	ln, err := net.Listen("tcp", m.addr)
	if err == nil {
		l := m.settings.Listener(ln, platform.MetricsListener)
		err = l.Server(mux).Serve(l)
	}
	m.log.Error("metrics server stopped", zap.Error(err))
}

func runEdge(args []string) int { return runProcess("edge", usageEdge, args, startEdge) }

func startEdge(p *process) (http.HandlerFunc, func(), error) {
	settings := p.settings.Host()
	if p.hedge > 0 {
		settings.HedgeShare = p.hedge
	}
	h := &edge.Host{
		Settings: settings, Headers: platform.Headers(), Clock: clock.Boot(), Log: p.log,
		Translate: platform.Translate, ReadyPath: platform.ReadyPath,
	}
	if err := h.Run(); err != nil {
		return nil, nil, err
	}
	p.route = h.ServeRoute
	d := &platform.Directory{Settings: p.settings, Host: h, Log: p.log}
	return h.ServeState, h.Stop, d.Run()
}

func runCore(args []string) int { return runProcess("core", usageCore, args, startCore) }

func startCore(p *process) (http.HandlerFunc, func(), error) {
	c := &coordinator.Coordinator{Settings: p.settings.Control(), Log: p.log, Translate: platform.Translate}
	if err := c.Run(); err != nil {
		return nil, nil, err
	}
	s := &platform.Server{Settings: p.settings, Coordinator: c, Log: p.log}
	return c.ServeState, c.Stop, s.Run()
}

// awaitStopSignal returns on SIGTERM or SIGINT. SIGHUP is only logged: settings
// that may change while the process runs are read again where they are used.
func awaitStopSignal(l *zap.Logger) {
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	for s := range signals {
		l.Info("signal", zap.String("signal", s.String()))
		if s != syscall.SIGHUP {
			return
		}
	}
}
