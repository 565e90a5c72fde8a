package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"go.uber.org/zap"

	"github.com/carawayrack/carawayrack/command"
	"github.com/carawayrack/carawayrack/host"
	"github.com/carawayrack/carawayrack/logs"
)

const usageHost = "runs an entry host"

func runHost(args []string) int {
	f := command.Flags("host", usageHost)
	path := f.String("settings", "host.ini", "settings file")
	if code, ok := command.Parse(f, args); !ok {
		return code
	}
	s, err := host.Load(*path)
	if err != nil {
		return command.Fail(err)
	}
	l, err := logs.New(s.LogLevel)
	if err != nil {
		return command.Fail(err)
	}
	h := &host.Host{Settings: s, Log: l.Named(s.ID)}
	if err := h.Run(); err != nil {
		return command.Fail(err)
	}
	l.Info("host is serving", zap.String("host", s.ID), zap.String("callers", s.Callers), zap.String("version", version))
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	<-signals
	return stopHost(h, signals)
}

// stopHost drains the host and stops it. A second signal stops it immediately,
// which interrupts the requests in flight.
func stopHost(h *host.Host, signals chan os.Signal) int {
	c, cancel := context.WithCancel(context.Background())
	defer cancel()
	s := &forceStop{signals, cancel}
	go s.run()
	if interrupted := h.Stop(c); interrupted > 0 {
		fmt.Fprintf(os.Stderr, "carawayrack: stopped immediately; %d requests were interrupted\n", interrupted)
		return command.Failed
	}
	return command.OK
}

// forceStop ends a graceful stop early when another signal arrives.
type forceStop struct {
	signals chan os.Signal
	cancel  context.CancelFunc
}

func (s *forceStop) run() {
	<-s.signals
	s.cancel()
}
