// Package config holds the configuration of the fleet: its state, the changes
// that operators make to it, and the rules by which changes are accepted.
package config

import (
	"encoding/json"
	"maps"

	"github.com/pkg/errors"
)

// State is the whole configuration. A state is never modified once it is
// shared: Apply returns a new one.
type State struct {
	// Sequence counts every change, Version those that operators made.
	Sequence uint64 `json:"sequence"`
	Version  uint64 `json:"version"`
	// Digest covers every change up to Sequence, in order.
	Digest   string             `json:"digest"`
	Accounts map[string]Account `json:"accounts"`
	Services map[string]Service `json:"services"`
	// Routes are keyed by prefix.
	Routes map[string]Route `json:"routes"`
	Zones  map[string]Zone  `json:"zones"`
	Keys   map[string]Key   `json:"keys"`
	Hosts  map[string]Host  `json:"hosts"`
	// PreviousHosts is the roster before the roster change in progress, nil if
	// there is none.
	PreviousHosts map[string]Host `json:"previous,omitempty"`
	// RosterSequence is the sequence at which Hosts or PreviousHosts changed last.
	RosterSequence uint64 `json:"roster"`
	// InitialHosts is the first roster.
	InitialHosts map[string]Host `json:"founders,omitempty"`
	// Outcomes remembers how recent changes were decided, oldest first.
	Outcomes []Outcome `json:"outcomes"`
	// LastAccepted is the outcome of the operators' change that made Version.
	LastAccepted Outcome `json:"writer"`
}

// Outcome is the decision on a change.
type Outcome struct {
	ID       string `json:"id"`
	Author   string `json:"author"`
	Accepted bool   `json:"accepted"`
	// Version is the version that the change made, or the one it lost to.
	Version uint64 `json:"version"`
	// Sequence is the sequence number at which the change was decided.
	Sequence uint64 `json:"sequence"`
	// Winner is the ID of the change that made the version a rejected
	// change lost to.
	Winner  string `json:"winner,omitempty"`
	Problem string `json:"problem,omitempty"`
}

const outcomesKept = 10_000

// New returns an empty configuration.
func New() *State {
	return &State{
		Accounts: map[string]Account{},
		Services: map[string]Service{},
		Routes:   map[string]Route{},
		Zones:    map[string]Zone{},
		Keys:     map[string]Key{},
		Hosts:    map[string]Host{},
	}
}

// Encode returns the state as JSON.
func (s *State) Encode() ([]byte, error) {
	b, err := json.Marshal(s)
	return b, errors.Wrap(err, "config.Encode")
}

// DecodeState reads a state.
func DecodeState(b []byte) (*State, error) {
	s := New()
	if err := decodeStrict(b, s); err != nil {
		return nil, errors.Wrap(err, "config.DecodeState")
	}
	return s, nil
}

// FindOutcome returns the outcome of a change that was decided before.
func (s *State) FindOutcome(id string) (Outcome, bool) {
	for i := len(s.Outcomes) - 1; i >= 0; i-- {
		if s.Outcomes[i].ID == id {
			return s.Outcomes[i], true
		}
	}
	return Outcome{}, false
}

func (s *State) copy() *State {
	n := *s
	n.Outcomes = append([]Outcome(nil), s.Outcomes...)
	return &n
}

// JointRoster returns the rosters that must agree: the current one and, while
// a roster change is under way, the one before.
func (s *State) JointRoster() []map[string]Host {
	if s.PreviousHosts == nil {
		return []map[string]Host{s.Hosts}
	}
	return []map[string]Host{s.Hosts, s.PreviousHosts}
}

func put[V any](m map[string]V, k string, v V) map[string]V {
	n := maps.Clone(m)
	n[k] = v
	return n
}

func remove[V any](m map[string]V, k string) map[string]V {
	n := maps.Clone(m)
	delete(n, k)
	return n
}

// EvacuatedZones returns the names of the zones that operators have evacuated.
func (s *State) EvacuatedZones() map[string]bool {
	m := map[string]bool{}
	for n, z := range s.Zones {
		if z.Evacuated {
			m[n] = true
		}
	}
	return m
}
