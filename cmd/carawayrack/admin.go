package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"time"

	"github.com/carawayrack/carawayrack/command"
	"github.com/carawayrack/carawayrack/host"
	"github.com/carawayrack/carawayrack/journal"
	"github.com/carawayrack/carawayrack/refusal"
	"github.com/carawayrack/carawayrack/usage"
)

const (
	usageDump  = "prints the state of one process: dump -admin IP:PORT"
	usageWhy   = "prints the journal events about a target, host, account or request ID: why -admin IP:PORT,... SUBJECT"
	usageUsage = "prints the usage of accounts, summed over hosts: usage -admin IP:PORT,..."

	adminTimeout = 5 * time.Second
)

// newProcessSession returns a session with the additional flag -admin for the
// administration addresses of processes, and the flag's value.
func newProcessSession(name, usage string) (*session, *string) {
	s := newSession(name, usage)
	return s, s.flags.String("admin", "", "administration addresses of processes, separated by commas")
}

// get returns the response body for a path of a process's administration
// interface. For any status other than 200 the error is an Unauthorized refusal
// with the body.
func (s *session) get(addr, path string) ([]byte, error) {
	request, err := http.NewRequest(http.MethodGet, "http://"+addr+path, nil)
	if err != nil {
		return nil, err
	}
	request.Header.Set("Authorization", "Bearer "+s.secret)
	c := &http.Client{Timeout: adminTimeout}
	response, err := c.Do(request)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	b, err := io.ReadAll(response.Body)
	if err == nil && response.StatusCode != http.StatusOK {
		return nil, refusal.New(refusal.Unauthorized, string(b))
	}
	return b, err
}

// getEach decodes the JSON response of every process and calls f with it. It stops
// at the first error.
func getEach[T any](s *session, addrs, path string, f func(addr string, v T)) error {
	for _, a := range split(addrs) {
		b, err := s.get(a, path)
		if err != nil {
			return err
		}
		var v T
		if err := json.Unmarshal(b, &v); err != nil {
			return err
		}
		f(a, v)
	}
	return nil
}

func runDump(args []string) int {
	s, admin := newProcessSession("dump", usageDump)
	return s.run(args, func() (int, error) {
		b, err := s.get(*admin, "/state")
		if err != nil {
			return command.Failed, err
		}
		_, err = os.Stdout.Write(b)
		return command.OK, err
	})
}

func runWhy(args []string) int {
	s, admin := newProcessSession("why", usageWhy)
	return s.run(args, func() (int, error) {
		err := getEach(s, *admin, "/why/"+url.PathEscape(s.flags.Arg(0)), func(a string, l []journal.Event) {
			for _, e := range l {
				fmt.Printf("%s %s %s %q: %s (%s)\n", e.Time, a, e.Kind, e.Subject, e.Cause, e.Evidence)
			}
		})
		return command.OK, err
	})
}

func runUsage(args []string) int {
	s, admin := newProcessSession("usage", usageUsage)
	return s.run(args, func() (int, error) {
		var rows []usage.Row
		err := getEach(s, *admin, "/state", func(_ string, d host.Dump) { rows = append(rows, d.Usage...) })
		if err != nil {
			return command.Failed, err
		}
		return printJSON(usage.Sum(rows))
	})
}
