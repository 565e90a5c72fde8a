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
	usageApply = "applies the configuration in a file, or from standard input"
	usageDiff  = "prints the edits that apply would make"
)

// readConfiguration reads the file that the arguments name.
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

// difference returns the configuration in force and the edits that lead from
// it to the one in the file.
func (s *session) difference() (*config.State, []config.Edit, error) {
	c, err := s.readConfiguration()
	if err != nil {
		return nil, nil, err
	}
	t, err := s.client.Fetch()
	if err != nil {
		return nil, nil, err
	}
	return t, c.Diff(t), nil
}

func runApply(args []string) int {
	s := newSession("apply", usageApply)
	base := s.flags.Int64("base", -1, "version that the change was made against; -1 takes the one in force")
	id := s.flags.String("id", operator.NewChangeID(), "change ID; the same ID takes effect once")
	return s.run(args, func() (int, error) { return s.apply(*base, *id) })
}

func (s *session) apply(base int64, id string) (int, error) {
	t, e, err := s.difference()
	if err != nil {
		return command.Failed, err
	}
	v := t.Version
	if base >= 0 {
		v = uint64(base)
	}
	if o, seen := t.FindOutcome(id); seen {
		// The change was decided before, and only its outcome is asked for.
		return s.outcome(o)
	}
	if len(e) == 0 {
		fmt.Printf("version %d in force; nothing to change\n", t.Version)
		return command.OK, nil
	}
	p, err := s.client.Submit(config.Change{ID: id, Base: v, Author: *s.author, Edits: e})
	return report(p.Outcome.Version, p.InForce, err)
}

// outcome prints how a change was decided before.
func (s *session) outcome(o config.Outcome) (int, error) {
	if o.Accepted {
		fmt.Printf("version %d was made by this change\n", o.Version)
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
