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

// leaderTimeout bounds the time to find the leader of the control replicas.
const leaderTimeout = 10 * clock.Second

// session is one run of an operator's command: its flags and its client for the
// fleet.
type session struct {
	flags      *flag.FlagSet
	control    *string
	secretFile *string
	author     *string
	secret     string
	client     *operator.Client
}

// newSession returns a session with the flags that all operators' commands have.
func newSession(name, usage string) *session {
	f := command.Flags(name, usage)
	return &session{
		flags:      f,
		control:    f.String("control", os.Getenv("CARAWAYRACK_CONTROL"), "addresses of control replicas, separated by commas (CARAWAYRACK_CONTROL)"),
		secretFile: f.String("secret-file", os.Getenv("CARAWAYRACK_SECRET_FILE"), "file with the fleet's secret (CARAWAYRACK_SECRET_FILE)"),
		author:     f.String("author", userName(), "author recorded with changes"),
	}
}

func userName() string {
	u, err := user.Current()
	if err != nil {
		return "unknown"
	}
	return u.Username
}

// run parses the flags, reads the secret file, calls f and returns the exit code.
func (s *session) run(args []string, f func() (int, error)) int {
	if code, ok := command.Parse(s.flags, args); !ok {
		return code
	}
	b, err := os.ReadFile(*s.secretFile)
	if err != nil {
		return command.Fail(err)
	}
	s.secret = strings.TrimSpace(string(b))
	s.client = &operator.Client{Replicas: s.addresses(), Secret: s.secret, LeaderTimeout: leaderTimeout}
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

// split returns the non-empty parts of a comma-separated list.
func split(list string) []string {
	var l []string
	for _, a := range strings.Split(list, ",") {
		if a = strings.TrimSpace(a); a != "" {
			l = append(l, a)
		}
	}
	return l
}

// printUsage prints the usage of a command and returns the exit code for it.
func printUsage(usage string) (int, error) {
	fmt.Fprintln(os.Stderr, "usage:", usage)
	return command.Usage, nil
}

// printSubmitted prints the outcome of a submitted change and returns the exit
// code.
func printSubmitted(version uint64, inForce bool, err error) (int, error) {
	if err != nil {
		return command.Failed, err
	}
	if !inForce {
		fmt.Printf("version %d accepted; some hosts have not acknowledged it yet\n", version)
		return command.OK, nil
	}
	fmt.Printf("version %d in force\n", version)
	return command.OK, nil
}

// printJSON prints v as indented JSON.
func printJSON(v any) (int, error) {
	e := json.NewEncoder(os.Stdout)
	e.SetIndent("", "  ")
	return command.OK, e.Encode(v)
}
