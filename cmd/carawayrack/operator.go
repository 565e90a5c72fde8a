package main

import (
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"os/user"
	"strings"

	"github.com/carawayrack/carawayrack/clock"
	"github.com/carawayrack/carawayrack/command"
	"github.com/carawayrack/carawayrack/operator"
	"github.com/carawayrack/carawayrack/refusal"
)

const operatorPatience = 10 * clock.Second

// session is one operator's command that talks to a fleet.
type session struct {
	flags   *flag.FlagSet
	control *string
	file    *string
	author  *string
	secret  string
	client  *operator.Client
}

// newSession returns a session with the flags that all such commands share.
func newSession(name, usage string) *session {
	f := command.Flags(name, usage)
	return &session{
		flags:   f,
		control: f.String("control", os.Getenv("CARAWAYRACK_CONTROL"), "addresses of control replicas, separated by commas (CARAWAYRACK_CONTROL)"),
		file:    f.String("secret-file", os.Getenv("CARAWAYRACK_SECRET_FILE"), "file that holds the fleet's secret (CARAWAYRACK_SECRET_FILE)"),
		author:  f.String("author", userName(), "name recorded with changes"),
	}
}

func userName() string {
	u, err := user.Current()
	if err != nil {
		return "unknown"
	}
	return u.Username
}

// run parses the flags, reads the secret and runs the command.
func (s *session) run(args []string, f func() (int, error)) int {
	if code, ok := command.Parse(s.flags, args); !ok {
		return code
	}
	b, err := os.ReadFile(*s.file)
	if err != nil {
		return command.Fail(err)
	}
	s.secret = strings.TrimSpace(string(b))
	s.client = &operator.Client{Replicas: s.addresses(), Secret: s.secret, LeaderTimeout: operatorPatience}
	code, err := f()
	if x, ok := err.(*refusal.Refusal); ok {
		fmt.Fprintln(os.Stderr, "refused:", x)
		return command.Refused
	}
	if err != nil {
		return command.Fail(err)
	}
	return code
}

func (s *session) addresses() []string { return split(*s.control) }

// split returns the parts of a list separated by commas.
func split(list string) []string {
	var l []string
	for _, a := range strings.Split(list, ",") {
		if a = strings.TrimSpace(a); a != "" {
			l = append(l, a)
		}
	}
	return l
}

// wrongUsage prints how a command is used.
func wrongUsage(usage string) (int, error) {
	fmt.Fprintln(os.Stderr, "usage:", usage)
	return command.Usage, nil
}

// report prints the outcome of a change.
func report(version uint64, inForce bool, err error) (int, error) {
	if err != nil {
		return command.Failed, err
	}
	if !inForce {
		fmt.Printf("version %d accepted; not every host has confirmed it yet\n", version)
		return command.OK, nil
	}
	fmt.Printf("version %d in force\n", version)
	return command.OK, nil
}

func printJSON(v any) (int, error) {
	e := json.NewEncoder(os.Stdout)
	e.SetIndent("", "  ")
	return command.OK, e.Encode(v)
}
