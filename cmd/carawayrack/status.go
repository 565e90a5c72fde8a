package main

import (
	"fmt"
	"maps"
	"os"
	"slices"
	"text/tabwriter"

	"github.com/carawayrack/carawayrack/api"
	"github.com/carawayrack/carawayrack/command"
)

const (
	usageStatus   = "prints the configuration version and the hosts, as the leader knows them"
	usageReplicas = "prints the state of each control replica"

	columnGap = 2
)

func newTable() *tabwriter.Writer {
	return tabwriter.NewWriter(os.Stdout, 0, 0, columnGap, ' ', 0)
}

func runStatus(args []string) int {
	s := newSession("status", usageStatus)
	return s.run(args, s.status)
}

func (s *session) status() (int, error) {
	t, err := s.client.Fetch()
	if err != nil {
		return command.Failed, err
	}
	fmt.Printf("version %d, sequence %d, %d accounts, %d routes, %d services, %d keys\n", t.Version, t.Sequence, len(t.Accounts), len(t.Routes), len(t.Services), len(t.Keys))
	acked := s.acked()
	w := newTable()
	fmt.Fprintln(w, "HOST\tZONE\tCALLERS\tRESTARTS\tSEQUENCE\tZONE EVACUATED")
	for _, id := range slices.Sorted(maps.Keys(t.Hosts)) {
		h := t.Hosts[id]
		fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%d\t%v\n", id, h.Zone, h.Callers, h.Restarts, acked[id], t.Zones[h.Zone].Evacuated)
	}
	return command.OK, w.Flush()
}

// acked returns the sequence that each host has acknowledged to the leader, by
// host ID, or nil if no replica that responds is the leader.
func (s *session) acked() map[string]uint64 {
	for _, a := range s.addresses() {
		if p, err := s.client.Status(a); err == nil && p.Role == "leader" {
			return p.Acked
		}
	}
	return nil
}

func runReplicas(args []string) int {
	s := newSession("replicas", usageReplicas)
	return s.run(args, s.replicas)
}

func (s *session) replicas() (int, error) {
	w := newTable()
	fmt.Fprintln(w, "ADDRESS\tID\tROLE\tTERM\tCOMMIT\tSEQUENCE\tVOTERS\tLEARNERS")
	for _, a := range s.addresses() {
		p, err := s.client.Status(a)
		if err != nil {
			p = api.ReplicaStatus{ID: "unreachable"}
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%d\t%d\t%d\t%d\n", a, p.ID, p.Role, p.Term, p.Commit, p.Sequence, len(p.Voters), len(p.Learners))
	}
	return command.OK, w.Flush()
}
