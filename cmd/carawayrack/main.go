// Command carawayrack runs the processes of a proxy fleet and has the commands
// for operators.
package main

import (
	"os"

	"github.com/carawayrack/carawayrack/command"
)

// version is the version of the program that processes log and -version prints.
const version = "0.3.0"

func main() {
	p := command.Program{Name: "carawayrack", Version: version, Commands: []command.Command{
		{Name: "control", Usage: usageControl, Run: runControl},
		{Name: "host", Usage: usageHost, Run: runHost},
		{Name: "core", Usage: usageCore, Run: runCore},
		{Name: "edge", Usage: usageEdge, Run: runEdge},
		{Name: "apply", Usage: usageApply, Run: runApply},
		{Name: "diff", Usage: usageDiff, Run: runDiff},
		{Name: "keys", Usage: usageKeys, Run: runKeys},
		{Name: "zones", Usage: usageZones, Run: runZones},
		{Name: "rollouts", Usage: usageRollouts, Run: runRollouts},
		{Name: "status", Usage: usageStatus, Run: runStatus},
		{Name: "replicas", Usage: usageReplicas, Run: runReplicas},
		{Name: "usage", Usage: usageUsage, Run: runUsage},
		{Name: "dump", Usage: usageDump, Run: runDump},
		{Name: "why", Usage: usageWhy, Run: runWhy},
		{Name: "explain-route", Usage: usageExplainRoute, Run: runExplainRoute},
		{Name: "explain", Usage: usageExplain, Run: runExplain},
	}}
	os.Exit(p.Run(os.Args[1:]))
}
