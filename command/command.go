// Package command has what the project's programs share on the command line:
// subcommands, help, flags and exit codes.
package command

import (
	"flag"
	"fmt"
	"io"
	"os"
)

// Exit codes.
const (
	OK     = 0
	Failed = 1
	Usage  = 2
	// Refused is the exit code of a command that the fleet refused.
	Refused = 4
)

// Command is one subcommand of a program.
type Command struct {
	Name string
	// Usage is the help text.
	Usage string
	// Run runs the subcommand with the arguments after its name and returns the
	// exit code.
	Run func(args []string) int
}

// Program is a program with subcommands.
type Program struct {
	Name     string
	Version  string
	Commands []Command
}

// Run runs the subcommand that the first argument names and returns its exit code,
// or Usage if there is none.
func (p Program) Run(args []string) int {
	if len(args) == 0 {
		p.help(os.Stderr)
		return Usage
	}
	switch args[0] {
	case "-version", "--version", "version":
		fmt.Println(p.Name, p.Version)
		return OK
	case "-h", "-help", "--help", "help":
		p.help(os.Stdout)
		return OK
	}
	for _, c := range p.Commands {
		if c.Name == args[0] {
			return c.Run(args[1:])
		}
	}
	fmt.Fprintf(os.Stderr, "%s: unknown command %q\n", p.Name, args[0])
	p.help(os.Stderr)
	return Usage
}

func (p Program) help(w io.Writer) {
	fmt.Fprintf(w, "usage: %s COMMAND [flags]; %s COMMAND -h for help; -version\n", p.Name, p.Name)
	for _, c := range p.Commands {
		fmt.Fprintf(w, "  %-9s %s\n", c.Name, c.Usage)
	}
}

// Flags returns a flag set for a subcommand that prints usage in its help.
func Flags(name, usage string) *flag.FlagSet {
	f := flag.NewFlagSet(name, flag.ContinueOnError)
	f.Usage = func() {
		fmt.Fprintf(f.Output(), "%s: %s\n", name, usage)
		f.PrintDefaults()
	}
	return f
}

// Parse parses the flags of a subcommand. If ok is false, the subcommand must
// return code: OK after a request for help, Usage after an error.
func Parse(f *flag.FlagSet, args []string) (code int, ok bool) {
	switch err := f.Parse(args); err {
	case nil:
		return OK, true
	case flag.ErrHelp:
		return OK, false
	default:
		return Usage, false
	}
}

// Fail prints an error to standard error and returns Failed.
func Fail(err error) int {
	fmt.Fprintln(os.Stderr, "error:", err)
	return Failed
}
