package main

import (
	"fmt"
	"os"
	"time"

	"github.com/carawayrack/carawayrack/command"
	"github.com/carawayrack/carawayrack/soak"
)

const usageSoak = "injects random faults into a fleet of real processes and checks the promises of the service"

func runSoak(args []string) int {
	f := command.Flags("soak", usageSoak)
	binary := f.String("binary", "bin/carawayrack", "path of the carawayrack program")
	seed := f.Int64("seed", 1, "first seed")
	seeds := f.Int64("seeds", 1, "number of seeds")
	seconds := f.Int("seconds", 20, "time in seconds during which faults are injected, for each seed")
	keep := f.Bool("keep", false, "keep the folder of a run also if no promise was broken")
	verbose := f.Bool("v", false, "print the injected faults of each run")
	if code, ok := command.Parse(f, args); !ok {
		return code
	}
	violations := 0
	for current := *seed; current < *seed+*seeds; current++ {
		count, err := soakOne(*binary, current, time.Duration(*seconds)*time.Second, *keep, *verbose)
		if err != nil {
			return command.Fail(err)
		}
		violations += count
	}
	if violations > 0 {
		fmt.Printf("%d promises were broken\n", violations)
		return command.Failed
	}
	return command.OK
}

// soakOne runs one seed, prints its result and returns the number of broken
// promises. It keeps the folder of the run if there are any or keep is true.
func soakOne(binary string, seed int64, span time.Duration, keep, verbose bool) (int, error) {
	dir, err := os.MkdirTemp("", "carawayrack-soak-")
	if err != nil {
		return 0, err
	}
	s := &soak.Soak{Binary: binary, Dir: dir, Seed: seed, Duration: span}
	r, err := s.Run()
	if err != nil {
		return 0, err
	}
	fmt.Printf("seed %d: %d of %d requests served, %d faults, %d promises broken\n", seed, r.Served, r.Sent, len(r.Faults), len(r.Violations))
	if verbose || len(r.Violations) > 0 {
		for _, x := range r.Faults {
			fmt.Println("  " + x)
		}
	}
	for _, v := range r.Violations {
		fmt.Printf("  broken at %d ms: %s: %s\n", v.At, v.Promise, v.Detail)
	}
	if len(r.Violations) == 0 && !keep {
		return 0, os.RemoveAll(dir)
	}
	fmt.Println("  logs in " + dir)
	return len(r.Violations), nil
}
