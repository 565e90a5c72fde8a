package main

import (
	"fmt"

	"github.com/carawayrack/carawayrack/command"
	"github.com/carawayrack/carawayrack/config"
)

const usageZones = "zones out ZONE | zones back ZONE | zones list"

func runZones(args []string) int {
	s := newSession("zones", usageZones)
	return s.run(args, s.zones)
}

func (s *session) zones() (int, error) {
	switch verb := s.flags.Arg(0); {
	case (verb == "out" || verb == "back") && s.flags.NArg() == 2:
		return s.submitEdit(config.Edit{PutZone: &config.Zone{Name: s.flags.Arg(1), Evacuated: verb == "out"}})
	case verb == "list" && s.flags.NArg() == 1:
		return s.listZones()
	}
	return printUsage(usageZones)
}

func (s *session) listZones() (int, error) {
	t, err := s.client.Fetch()
	if err != nil {
		return command.Failed, err
	}
	for n, z := range t.Zones {
		fmt.Printf("%s\tout=%v\n", n, z.Evacuated)
	}
	return command.OK, nil
}
