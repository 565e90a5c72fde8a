package main

import (
	"os"
	"os/signal"
	"strings"
	"syscall"

	"github.com/carawayrack/carawayrack/clock"
	"github.com/carawayrack/carawayrack/command"
	"github.com/carawayrack/carawayrack/standin"
)

const usageTarget = "runs stand-in targets of one service"

func runTarget(args []string) int {
	f := command.Flags("target", usageTarget)
	service := f.String("service", "portal", "name of the service")
	count := f.Int("count", 4, "number of targets")
	zones := f.Int("zones", 4, "number of availability zones")
	admin := f.String("announce", "", "administration addresses of the hosts to announce to, separated by commas")
	secret := f.String("secret", "", "the fleet's secret")
	control := f.String("control", "127.0.0.1:0", "address of the HTTP interface that injects faults and returns counts")
	slots := f.Int("slots", 3, "concurrent requests that a warm target can handle")
	cold := f.Int("cold", 1, "concurrent requests that a cold target can handle")
	coldFor := f.Int("cold-millis", 1000, "length of a cold start in milliseconds")
	work := f.Int("work-millis", 5, "processing time of a request in milliseconds")
	if code, ok := command.Parse(f, args); !ok {
		return code
	}
	g := &standin.Group{
		Service: *service, Zones: *zones, Count: *count, Admin: strings.Split(*admin, ","), Secret: *secret,
		Slots: *slots, ColdSlots: *cold, ColdFor: clock.Millis(*coldFor), Work: clock.Millis(*work), Control: *control,
	}
	if err := g.Run(); err != nil {
		return command.Fail(err)
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	<-signals
	g.Close()
	return command.OK
}
