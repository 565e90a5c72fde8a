// Command carawaylab runs demonstrations, measurements and fault tests on fleets
// of real processes that communicate over the loopback interface.
package main

import (
	"os"

	"github.com/carawayrack/carawayrack/command"
)

const version = "0.1.0"

func main() {
	p := command.Program{Name: "carawaylab", Version: version, Commands: []command.Command{
		{Name: "demo", Usage: usageDemo, Run: runDemo},
		{Name: "capacity", Usage: usageCapacity, Run: runCapacity},
		{Name: "compare", Usage: usageCompare, Run: runCompare},
		{Name: "soak", Usage: usageSoak, Run: runSoak},
		{Name: "target", Usage: usageTarget, Run: runTarget},
	}}
	os.Exit(p.Run(os.Args[1:]))
}
