package main

import (
	"fmt"
	"io"
	"os"

	"github.com/carawayrack/carawayrack/command"
	"github.com/carawayrack/carawayrack/config"
	"github.com/carawayrack/carawayrack/operator"
)

const (
	usageApply = "applies the configuration in a file or from standard input"
	usageDiff  = "prints the edits that apply would make"
)

// readConfiguration reads the configuration from the file in the first argument,
// or from standard input if there is none or it is "-".
func (s *session) readConfiguration() (*operator.Configuration, error) {
	var r io.Reader = os.Stdin
	if n := s.flags.Arg(0); n != "" && n != "-" {
		x, err := os.Open(n)
		if err != nil {
			return nil, err
		}
		defer x.Close()
		r = x
	}
	return operator.Read(r)
}

// difference returns the current configuration and the edits that turn it into
// the one in the file.
func (s *session) difference() (*config.State, []config.Edit, error) {
	wanted, err := s.readConfiguration()
	if err != nil {
		return nil, nil, err
	}
	current, err := s.client.Fetch()
	if err != nil {
		return nil, nil, err
	}
	return current, wanted.Diff(current), nil
}

func runApply(args []string) int {
	s := newSession("apply", usageApply)
	base := s.flags.Int64("base", -1, "version that the change was made against; -1 for the current version")
	id := s.flags.String("id", operator.NewChangeID(), "change ID; a repeated ID is applied only once")
	return s.run(args, func() (int, error) { return s.apply(*base, *id) })
}

// apply submits the edits as one change, unless a change with this ID was decided
// before or there is nothing to change.
func (s *session) apply(base int64, id string) (int, error) {
	current, edits, err := s.difference()
	if err != nil {
		return command.Failed, err
	}
	baseVersion := current.Version
	if base >= 0 {
		baseVersion = uint64(base)
	}
	if o, seen := current.FindOutcome(id); seen {
		// A change with this ID was decided before: print its outcome again.
		return s.printDecided(o)
	}
	if len(edits) == 0 {
		fmt.Printf("version %d in force; nothing to change\n", current.Version)
		return command.OK, nil
	}
	p, err := s.client.Submit(config.Change{ID: id, Base: baseVersion, Author: *s.author, Edits: edits})
	return printSubmitted(p.Outcome.Version, p.InForce, err)
}

// printDecided prints the outcome of a change that was decided before.
func (s *session) printDecided(o config.Outcome) (int, error) {
	if o.Accepted {
		fmt.Printf("this change was accepted as version %d\n", o.Version)
		return command.OK, nil
	}
	fmt.Printf("this change was rejected at version %d: %s%s\n", o.Version, o.Problem, o.Winner)
	return command.Refused, nil
}

func runDiff(args []string) int {
	s := newSession("diff", usageDiff)
	return s.run(args, func() (int, error) {
		_, e, err := s.difference()
		if err != nil {
			return command.Failed, err
		}
		return printJSON(e)
	})
}
