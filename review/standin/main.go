// Command standin runs the cases of the review that cannot be put as a day of
// the bench. It starts the project's own programs as separate processes on
// loopback addresses and plays the clients, the instances, the operator and the
// platform around them, as the users' pages describe them.
//
// The exit status is 1 if the rule of the case was broken, 0 if it held, and 2
// if the case could not run. With TROUBLE=0 in the environment the case runs
// without its disruption.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// maxDuration is the longest time of one run; after it the case counts as one
// that could not run.
const maxDuration = 110 * time.Second

const (
	held     = 0
	broken   = 1
	couldNot = 2
)

// cases holds the function of each case by its name. It reports whether the rule
// was broken; an error means that the case could not run.
var cases = map[string]func(*run) (bool, error){}

// run is one run of a case.
type run struct {
	*record
	fleet *fleet
	// trouble is false if the case runs without its disruption.
	trouble bool
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE FOLDER, from the root of the repository")
		os.Exit(couldNot)
	}
	os.Exit(play(os.Args[1], os.Args[2]))
}

// play plays a case and writes record.txt in its folder.
func play(name, folder string) int {
	rec, err := newRecord(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return couldNot
	}
	defer rec.close()
	r := &run{record: rec, trouble: os.Getenv("TROUBLE") != "0"}
	r.printf("case %s, disruption %v", name, r.trouble)
	r.fleet, err = newFleet(rec)
	if err != nil {
		r.printf("cannot run: %v", err)
		return couldNot
	}
	defer r.fleet.end()

	type result struct {
		broken bool
		err    error
	}
	done := make(chan result, 1)
	go func() {
		b, err := cases[name](r)
		done <- result{b, err}
	}()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	var x result
	select {
	case x = <-done:
	case s := <-signals:
		x.err = fmt.Errorf("signal: %v", s)
	case <-time.After(maxDuration):
		x.err = fmt.Errorf("not finished after %v", maxDuration)
	}
	switch {
	case x.err != nil:
		r.printf("cannot run: %v", x.err)
		return couldNot
	case x.broken:
		r.printf("result: the rule was broken")
		return broken
	}
	r.printf("result: the rule held")
	return held
}
