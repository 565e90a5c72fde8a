// Command drill plays the scripted cases 6 and up of the review: it starts the project's
// programs as separate processes on loopback addresses, with small stand-ins for the
// platform, the operator, the instances and the clients, and checks one rule.
package main

import (
	"fmt"
	"os"
)

// The exit codes of a case.
const (
	held   = 0
	broken = 1
	cannot = 2
)

// drill is one case. It returns an exit code.
type drill func(w *world, trouble bool) int

// drills holds the cases by name. Each file case_NAME.go adds its own.
var drills = map[string]drill{}

func main() {
	if len(os.Args) != 3 || drills[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: drill CASE FOLDER, in the repository's root")
		os.Exit(cannot)
	}
	os.Exit(run(drills[os.Args[1]], os.Args[2]))
}

// run plays a case and writes record.txt into the folder.
func run(d drill, folder string) int {
	r, err := newRecord(folder)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return cannot
	}
	defer r.close()
	w, err := newWorld(r)
	if err != nil {
		r.note("cannot run: %v", err)
		return cannot
	}
	defer w.close()
	trouble := os.Getenv("TROUBLE") != "0"
	r.note("trouble: %v", trouble)
	code := d(w, trouble)
	r.note("exit code %d", code)
	return code
}
