package main

import (
	"encoding/json"
	"fmt"
	"os"
	"text/tabwriter"
	"time"

	"github.com/carawayrack/carawayrack/baseline"
	"github.com/carawayrack/carawayrack/command"
	"github.com/carawayrack/carawayrack/experiment"
)

const usageCompare = "measures carawayrack and the baselines under the same load and faults"

func runCompare(args []string) int {
	f := command.Flags("compare", usageCompare)
	binary := f.String("binary", "bin/carawayrack", "path of the carawayrack program")
	name := f.String("deployment", "association", "deployment to model: association or vaerksted")
	hosts := f.Int("hosts", 12, "number of hosts")
	seconds := f.Int("seconds", 40, "length of each measurement in seconds")
	seed := f.Uint64("seed", 1, "random seed of the load")
	asJSON := f.Bool("json", false, "print JSON")
	if code, ok := command.Parse(f, args); !ok {
		return code
	}
	d := experiment.Association
	if *name == experiment.Vaerksted.Name {
		d = experiment.Vaerksted
	}
	dir, err := os.MkdirTemp("", "carawayrack-compare-")
	if err != nil {
		return command.Fail(err)
	}
	startFuncs := []func() (*experiment.System, error){
		func() (*experiment.System, error) { return experiment.Baseline(d, baseline.Random, *hosts) },
		func() (*experiment.System, error) { return experiment.Baseline(d, baseline.TwoChoices, *hosts) },
		func() (*experiment.System, error) { return experiment.Product(d, *binary, dir, *hosts) },
	}
	var reports []*experiment.Report
	for _, start := range startFuncs {
		r, err := measure(d, start, *hosts, time.Duration(*seconds)*time.Second, *seed)
		if err != nil {
			return command.Fail(err)
		}
		reports = append(reports, r)
	}
	if *asJSON {
		if err := json.NewEncoder(os.Stdout).Encode(reports); err != nil {
			return command.Fail(err)
		}
		return command.OK
	}
	return printReports(reports)
}

// measure starts one system, runs the load and the faults on it and closes it.
func measure(d experiment.Deployment, start func() (*experiment.System, error), hosts int, length time.Duration, seed uint64) (*experiment.Report, error) {
	s, err := start()
	if s != nil {
		defer s.Close()
	}
	if err != nil {
		return nil, err
	}
	r := &experiment.Run{Deployment: d, System: s, Hosts: hosts, Length: length, Seed: seed}
	return r.Measure()
}

// printReports prints a table with a row for each figure and a column for each
// system, and returns the exit code.
func printReports(l []*experiment.Report) int {
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	row := func(name string, f func(*experiment.Report) any) {
		fmt.Fprint(w, name)
		for _, r := range l {
			fmt.Fprintf(w, "\t%v", f(r))
		}
		fmt.Fprintln(w)
	}
	row(l[0].Deployment+fmt.Sprintf(", %d hosts", l[0].Hosts), func(r *experiment.Report) any { return r.System })
	row("sent", func(r *experiment.Report) any { return r.Sent })
	row("served", func(r *experiment.Report) any { return r.Served })
	row("failed or wrong responses", func(r *experiment.Report) any { return r.Failed })
	row("time to detect a slow target, ms", func(r *experiment.Report) any { return r.DetectSlow })
	row("time to detect a failing target, ms", func(r *experiment.Report) any { return r.DetectFailing })
	row("false ejections", func(r *experiment.Report) any { return r.FalseEjections })
	row("worst-served account, served per mille of its entitlement", func(r *experiment.Report) any { return fmt.Sprint(r.WorstServed, " ", r.WorstAccount) })
	row("refused although within the rate limit", func(r *experiment.Report) any { return r.WrongfulRefusals })
	row("served while a zone is evacuated and restored, per mille", func(r *experiment.Report) any { return r.ZoneServed })
	row("requests in the zone later than 3 s after its evacuation", func(r *experiment.Report) any { return r.ZoneLate })
	row("added latency p50, us", func(r *experiment.Report) any { return r.P50 })
	row("added latency p99, us", func(r *experiment.Report) any { return r.P99 })
	row("requests beyond the capacity of targets", func(r *experiment.Report) any { return r.OverCapacity })
	row("requests beyond rate limit and burst", func(r *experiment.Report) any { return r.OverRate })
	row("requests with a caller's key seen by targets", func(r *experiment.Report) any { return r.KeysSeen })
	if err := w.Flush(); err != nil {
		return command.Fail(err)
	}
	return command.OK
}
