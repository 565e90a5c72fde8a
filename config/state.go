// Package config defines the configuration of the fleet: its state, the changes
// by operators and control replicas, and the rules for accepting changes.
package config

import (
	"encoding/json"
	"maps"

	"github.com/pkg/errors"
)

// State is the whole configuration at one sequence. It is immutable: Apply
// returns a new state.
type State struct {
	// Sequence counts all decided changes, Version the accepted changes by
	// operators.
	Sequence uint64 `json:"sequence"`
	Version  uint64 `json:"version"`
	// Digest is a hash chain over the encoded changes up to Sequence. Hosts
	// compare it with the digest of an update to detect that states differ.
	Digest   string             `json:"digest"`
	Accounts map[string]Account `json:"accounts"`
	Services map[string]Service `json:"services"`
	// Routes are keyed by prefix.
	Routes map[string]Route `json:"routes"`
	Zones  map[string]Zone  `json:"zones"`
	// Keys are keyed by key ID.
	Keys map[string]Key `json:"keys"`
	// Hosts is the roster of entry hosts, keyed by host ID.
	Hosts map[string]Host `json:"hosts"`
	// PreviousHosts is the roster before the roster change in progress, nil if
	// there is none.
	PreviousHosts map[string]Host `json:"previous,omitempty"`
	// RosterSequence is the sequence at which Hosts or PreviousHosts changed last.
	RosterSequence uint64 `json:"roster"`
	// InitialHosts is the first roster, nil before there is one.
	InitialHosts map[string]Host `json:"founders,omitempty"`
	// Outcomes holds the outcomes of the most recent changes by operators,
	// oldest first. A change that is submitted again gets its outcome from here.
	Outcomes []Outcome `json:"outcomes"`
	// LastAccepted is the outcome of the operators' change that created the current
	// Version. The Version in it is not set.
	LastAccepted Outcome `json:"writer"`
}

// Outcome is the decision on a change: whether it was accepted, and if not, why.
type Outcome struct {
	ID       string `json:"id"`
	Author   string `json:"author"`
	Accepted bool   `json:"accepted"`
	// Version is the version that an accepted change created, or the version
	// that was current when the change was rejected.
	Version uint64 `json:"version"`
	// Sequence is the sequence number at which the change was decided.
	Sequence uint64 `json:"sequence"`
	// Winner is set if the change was rejected because its base was not the
	// current version: the ID of the change that created the current version.
	Winner string `json:"winner,omitempty"`
	// Problem is the reason if the change was rejected for another cause.
	Problem string `json:"problem,omitempty"`
}

// maxOutcomes is the number of outcomes that a state keeps.
const maxOutcomes = 10_000

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

// DecodeState decodes a state from JSON. Unknown fields and data after the JSON
// value are errors.
func DecodeState(b []byte) (*State, error) {
	s := New()
	if err := decodeStrict(b, s); err != nil {
		return nil, errors.Wrap(err, "config.DecodeState")
	}
	return s, nil
}

// FindOutcome returns the outcome of the change with the given ID, if it is among
// the kept outcomes.
func (s *State) FindOutcome(id string) (Outcome, bool) {
	for i := len(s.Outcomes) - 1; i >= 0; i-- {
		if s.Outcomes[i].ID == id {
			return s.Outcomes[i], true
		}
	}
	return Outcome{}, false
}

// copy returns a shallow copy with its own list of outcomes. The maps are
// shared: put and remove replace them.
func (s *State) copy() *State {
	n := *s
	n.Outcomes = append([]Outcome(nil), s.Outcomes...)
	return &n
}

// JointRoster returns the rosters that apply: the current one and, while a roster
// change is in progress, the previous one. Decisions need a majority in each.
func (s *State) JointRoster() []map[string]Host {
	if s.PreviousHosts == nil {
		return []map[string]Host{s.Hosts}
	}
	return []map[string]Host{s.Hosts, s.PreviousHosts}
}

// put returns a copy of m with k set to v.
func put[V any](m map[string]V, k string, v V) map[string]V {
	n := maps.Clone(m)
	n[k] = v
	return n
}

// remove returns a copy of m without k.
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
