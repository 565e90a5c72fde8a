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

const usageControl = "runs a control replica; with -init founds its data folder first"

func runControl(args []string) int {
	f := command.Flags("control", usageControl)
	path := f.String("settings", "control.ini", "settings file")
	found := f.Bool("init", false, "found the data folder of one of the first replicas, then exit")
	if code, ok := command.Parse(f, args); !ok {
		return code
	}
	s, err := control.Load(*path)
	if err != nil {
		return command.Fail(err)
	}
	if *found {
		return foundControl(s)
	}
	l, err := logs.New(s.LogLevel)
	if err != nil {
		return command.Fail(err)
	}
	return serveControl(s, l)
}

// foundControl gives a data folder the identity of a founder. It refuses if a
// replica that can be reached holds a log: then this disk is a new one, and
// starts without -init as a learner.
func foundControl(s control.Settings) int {
	if a := control.FindStarted(s); a != "" {
		fmt.Fprintf(os.Stderr, "carawayrack: replica %s holds a log; start without -init to join it\n", a)
		return command.Refused
	}
	if err := (wal.Identity{Dir: s.Data, Name: s.Name}).Bootstrap(); err != nil {
		return command.Fail(err)
	}
	fmt.Println("founded", s.Data)
	return command.OK
}

const expelledCheck = 100 * time.Millisecond

func serveControl(s control.Settings, l *zap.Logger) int {
	c := &control.Control{Settings: s, Log: l}
	if err := c.Run(); err != nil {
		return command.Fail(err)
	}
	l.Info("control replica serves", zap.String("name", s.Name), zap.String("version", version))
	end := make(chan os.Signal, 1)
	signal.Notify(end, syscall.SIGTERM, syscall.SIGINT)
	for {
		select {
		case <-end:
			c.Stop()
			return command.OK
		case <-time.After(expelledCheck):
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
