package main

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/carawayrack/carawayrack/command"
	"github.com/carawayrack/carawayrack/experiment"
)

const usageCapacity = "measures CPU, memory and control traffic of each role at several fleet sizes"

func runCapacity(args []string) int {
	f := command.Flags("capacity", usageCapacity)
	binary := f.String("binary", "bin/carawayrack", "path of the carawayrack program")
	sizes := f.String("sizes", "6:100,12:100,24:100,6:5000,6:20000", "HOSTS:ACCOUNTS, separated by commas")
	seconds := f.Int("seconds", 10, "length of each measurement in seconds")
	if code, ok := command.Parse(f, args); !ok {
		return code
	}
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "ROLE\tHOSTS\tACCOUNTS\tCPU %\tMEMORY MB\tBYTES/S")
	for _, size := range strings.Split(*sizes, ",") {
		h, a, _ := strings.Cut(size, ":")
		hosts, err1 := strconv.Atoi(h)
		accounts, err2 := strconv.Atoi(a)
		if err1 != nil || err2 != nil || hosts < 1 {
			fmt.Fprintf(os.Stderr, "carawaylab: size %q: expected HOSTS:ACCOUNTS\n", size)
			return command.Usage
		}
		dir, err := os.MkdirTemp("", "carawayrack-capacity-")
		if err != nil {
			return command.Fail(err)
		}
		costs, err := experiment.MeasureCost(*binary, dir, hosts, accounts, time.Duration(*seconds)*time.Second)
		if err != nil {
			return command.Fail(err)
		}
		for _, c := range costs {
			fmt.Fprintf(w, "%s\t%d\t%d\t%.2f\t%.1f\t%.0f\n", c.Role, c.Hosts, c.Accounts, c.CPU, c.Memory, c.Bytes)
		}
	}
	if err := w.Flush(); err != nil {
		return command.Fail(err)
	}
	return command.OK
}
