package main

import (
	"fmt"
	"net/http"

	"github.com/carawayrack/carawayrack/command"
	"github.com/carawayrack/carawayrack/platform"
	"github.com/carawayrack/carawayrack/refusal"
)

const usageRollouts = "orders a roll-out or prints its state: rollouts start -control IP:PORT -service NAME -version NAME -seconds N; rollouts status -control IP:PORT -service NAME"

func runRollouts(args []string) int {
	action := ""
	if len(args) > 0 {
		action, args = args[0], args[1:]
	}
	if action != "start" && action != "status" {
		return command.Fail(refusal.New(refusal.BadRequest, "the first argument must be start or status"))
	}
	f := command.Flags("rollouts "+action, usageRollouts)
	addr := f.String("control", "127.0.0.1:8400", "address of a control process for the calls of operators")
	service := f.String("service", "", "name of the service")
	target, seconds := new(string), new(float64)
	if action == "start" {
		target = f.String("version", "", "version of the targets that get the requests")
		seconds = f.Float64("seconds", 60, "time in which the roll-out must be completed")
	}
	if code, ok := command.Parse(f, args); !ok {
		return code
	}
	c := platform.Client{HTTP: &http.Client{Timeout: adminTimeout}}
	if action == "start" {
		if err := c.StartRollout(*addr, *service, *target, *seconds); err != nil {
			return command.Fail(err)
		}
	}
	state, name, err := c.Rollout(*addr, *service)
	if err != nil {
		return command.Fail(err)
	}
	fmt.Println(*service, name, state)
	return command.OK
}
