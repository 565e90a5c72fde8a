package main

import (
	"expvar"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

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

	readTimeout = 5 * time.Second
)

// deploymentFlags are the flags of processes on the platform.
type deploymentFlags struct {
	level, metrics string
}

func parseDeployment(name, usage string, args []string) (deploymentFlags, int, bool) {
	var d deploymentFlags
	f := command.Flags(name, usage)
	f.StringVar(&d.level, "log", "info", "lowest level to log: debug, info, warn or error")
	f.StringVar(&d.metrics, "metrics", ":9180", "address for metrics and the state")
	code, ok := command.Parse(f, args)
	return d, code, ok
}

// metricsServer serves counters and the state of a process.
type metricsServer struct {
	addr  string
	log   *zap.Logger
	state http.HandlerFunc
}

func (m *metricsServer) run() {
	x := http.NewServeMux()
	x.Handle("GET /metrics", expvar.Handler())
	x.HandleFunc("GET /state", m.state)
	s := &http.Server{Addr: m.addr, Handler: x, ReadHeaderTimeout: readTimeout}
	m.log.Error("metrics are not served", zap.Error(s.ListenAndServe()))
}

func runEdge(args []string) int {
	d, code, ok := parseDeployment("edge", usageEdge, args)
	if !ok {
		return code
	}
	l, _, err := logs.NewStream(os.Stdout, d.level)
	if err != nil {
		return command.Fail(err)
	}
	s, err := platform.Load()
	if err != nil {
		return command.Fail(err)
	}
	h := &edge.Host{
		Settings: s.Host(), Headers: platform.Headers(), Clock: clock.Boot(), Log: l,
		Translate: platform.Translate, ReadyPath: platform.ReadyPath,
	}
	if err := h.Run(); err != nil {
		return command.Fail(err)
	}
	y := &platform.Directory{Settings: s, Host: h, Log: l}
	if err := y.Run(); err != nil {
		return command.Fail(err)
	}
	m := &metricsServer{d.metrics, l, h.ServeState}
	go m.run()
	l.Info("started", zap.String("role", "edge"), zap.String("version", version))
	awaitEnd(l)
	h.Stop()
	l.Info("stopped")
	return command.OK
}

func runCore(args []string) int {
	d, code, ok := parseDeployment("core", usageCore, args)
	if !ok {
		return code
	}
	l, _, err := logs.NewStream(os.Stdout, d.level)
	if err != nil {
		return command.Fail(err)
	}
	s, err := platform.Load()
	if err != nil {
		return command.Fail(err)
	}
	c := &coordinator.Coordinator{Settings: s.Control(), Log: l, Translate: platform.Translate}
	if err := c.Run(); err != nil {
		return command.Fail(err)
	}
	p := &platform.Server{Settings: s, Coordinator: c, Log: l}
	if err := p.Run(); err != nil {
		return command.Fail(err)
	}
	m := &metricsServer{d.metrics, l, c.ServeState}
	go m.run()
	l.Info("started", zap.String("role", "core"), zap.String("version", version))
	awaitEnd(l)
	c.Stop()
	l.Info("stopped")
	return command.OK
}

// awaitEnd returns when the process is told to stop. Settings that may change
// are read again where they are used.
func awaitEnd(l *zap.Logger) {
	c := make(chan os.Signal, 4)
	signal.Notify(c, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	for s := range c {
		l.Info("signal", zap.String("signal", s.String()))
		if s != syscall.SIGHUP {
			return
		}
	}
}
