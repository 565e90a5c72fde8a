package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"go.uber.org/zap"

	"github.com/carawayrack/carawayrack/command"
	"github.com/carawayrack/carawayrack/control"
	"github.com/carawayrack/carawayrack/logs"
	"github.com/carawayrack/carawayrack/wal"
)

const usageControl = "runs a control replica; with -init, initializes its data folder and exits"

func runControl(args []string) int {
	f := command.Flags("control", usageControl)
	path := f.String("settings", "control.ini", "settings file")
	bootstrap := f.Bool("init", false, "initialize the data folder of a replica of a new fleet, then exit")
	if code, ok := command.Parse(f, args); !ok {
		return code
	}
	s, err := control.Load(*path)
	if err != nil {
		return command.Fail(err)
	}
	if *bootstrap {
		return bootstrapControl(s)
	}
	l, err := logs.New(s.LogLevel)
	if err != nil {
		return command.Fail(err)
	}
	return serveControl(s, l)
}

// bootstrapControl marks a data folder as that of an initial voter. It refuses if
// a reachable replica has a log: then the fleet already exists, and a replica with
// an empty disk must join it as a learner, which it does without -init.
func bootstrapControl(s control.Settings) int {
	if a := control.FindStarted(s); a != "" {
		fmt.Fprintf(os.Stderr, "carawayrack: replica %s already has a log; start without -init to join it\n", a)
		return command.Refused
	}
	if err := control.Bootstrap(s); err != nil {
		return command.Fail(err)
	}
	fmt.Println("founded", s.Data)
	return command.OK
}

// staleDiskCheckInterval is the time between checks whether the replica's disk is
// stale.
const staleDiskCheckInterval = 100 * time.Millisecond

// serveControl runs a control replica until a signal stops it. If the disk turns
// out to be older than what the replica has acknowledged, the data folder is set
// aside and the replica starts again with an empty one, as a learner.
func serveControl(s control.Settings, l *zap.Logger) int {
	c := &control.Control{Settings: s, Log: l}
	if err := c.Run(); err != nil {
		return command.Fail(err)
	}
	l.Info("control replica is serving", zap.String("name", s.Name), zap.String("version", version))
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	for {
		select {
		case <-signals:
			c.Stop()
			return command.OK
		case <-time.After(staleDiskCheckInterval):
		}
		if !c.DiskStale() {
			continue
		}
		c.Stop()
		if err := (wal.Identity{Dir: s.Data, Name: s.Name}).SetAside(); err != nil {
			return command.Fail(err)
		}
		c = &control.Control{Settings: s, Log: l}
		if err := c.Run(); err != nil {
			return command.Fail(err)
		}
	}
}
