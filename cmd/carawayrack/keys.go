package main

import (
	"fmt"

	"github.com/carawayrack/carawayrack/command"
	"github.com/carawayrack/carawayrack/config"
)

const usageKeys = "keys issue ACCOUNT | keys withdraw KEY-ID | keys list"

func runKeys(args []string) int {
	s := newSession("keys", usageKeys)
	return s.run(args, s.keys)
}

func (s *session) keys() (int, error) {
	name := s.flags.Arg(1)
	switch verb := s.flags.Arg(0); {
	case verb == "issue" && s.flags.NArg() == 2:
		secret, key := config.NewKey(name)
		code, err := s.submitEdit(config.Edit{IssueKey: &key})
		if err == nil {
			fmt.Println(secret)
		}
		return code, err
	case verb == "withdraw" && s.flags.NArg() == 2:
		return s.submitEdit(config.Edit{WithdrawKey: name})
	case verb == "list" && s.flags.NArg() == 1:
		return s.listKeys()
	}
	return printUsage(usageKeys)
}

// submitEdit submits a change with one edit and prints the outcome.
func (s *session) submitEdit(e config.Edit) (int, error) {
	p, err := s.client.Edit(*s.author, func(*config.State) []config.Edit { return []config.Edit{e} })
	return printSubmitted(p.Outcome.Version, p.InForce, err)
}

func (s *session) listKeys() (int, error) {
	t, err := s.client.Fetch()
	if err != nil {
		return command.Failed, err
	}
	for id, x := range t.Keys {
		fmt.Printf("%s\t%s\twithdrawn=%v\n", id, x.Account, x.Withdrawn)
	}
	return command.OK, nil
}
