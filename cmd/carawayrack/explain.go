package main

import (
	"fmt"
	"os"

	"github.com/carawayrack/carawayrack/command"
	"github.com/carawayrack/carawayrack/explain"
)

const usageExplain = "prints the log lines that explain the outcome of a request, from the logs of edge and core processes: explain REQUEST FILE..."

func runExplain(args []string) int {
	f := command.Flags("explain", usageExplain)
	if code, ok := command.Parse(f, args); !ok {
		return code
	}
	if f.NArg() < 1 {
		f.Usage()
		return command.Failed
	}
	l, err := readLogs(f.Args()[1:])
	if err != nil {
		return command.Fail(err)
	}
	r, err := explain.Request(l, f.Arg(0))
	if err != nil {
		return command.Fail(err)
	}
	for _, x := range r {
		fmt.Println(x.Text)
	}
	return command.OK
}

// readLogs reads log lines from files, or from standard input if files is empty.
func readLogs(files []string) ([]explain.Line, error) {
	if len(files) == 0 {
		return explain.Read(os.Stdin)
	}
	var all []explain.Line
	for _, n := range files {
		f, err := os.Open(n)
		if err != nil {
			return nil, err
		}
		l, err := explain.Read(f)
		_ = f.Close()
		if err != nil {
			return nil, err
		}
		all = append(all, l...)
	}
	return all, nil
}
