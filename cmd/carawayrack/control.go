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
	if a := control.Started(s); a != "" {
		fmt.Fprintf(os.Stderr, "carawayrack: replica %s already has a log; start without -init to join it\n", a)
		return command.Refused
	}
	if err := (wal.Identity{Dir: s.Data, Name: s.Name}).Bootstrap(); err != nil {
		return command.Fail(err)
	}
	fmt.Println("founded", s.Data)
	return command.OK
}

// expelledCheckInterval is the time between checks for expulsion from the group
// of control replicas.
const expelledCheckInterval = 100 * time.Millisecond

// serveControl runs a control replica until a signal stops it. A replica that was
// expelled from the group sets its data folder aside and starts again with an
// empty one.
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
		case <-time.After(expelledCheckInterval):
		}
		if !c.Expelled() {
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
