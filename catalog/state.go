// Package catalog is what control replicas agree on and hosts go by: the
// configuration, the targets that announced themselves and the availability
// zones taken out.
package catalog

import (
	"encoding/json"
	"sort"

	"github.com/pkg/errors"
)

// State is the replicated state. Apply changes it in place; readers that need
// a stable view work on a Clone.
type State struct {
	// Sequence counts the changes.
	Sequence uint64 `json:"sequence"`
	// Version and Document are the configuration in force.
	Version  uint64            `json:"version"`
	Document []byte            `json:"document"`
	Targets  map[string]Target `json:"targets"`
	// EvacuatedZones are the zones that get no new work.
	EvacuatedZones map[string]bool `json:"zonesOut"`

	// Config is the Document as parsed by the last UpdateConfig, nil before
	// the first.
	Config *Config `json:"-"`
	// Translate parses documents.
	Translate func(document []byte) (*Config, error) `json:"-"`
	// unsettled is true if Document is newer than Config.
	unsettled bool
}

// goneKept is the number of targets that are gone of which the state still
// knows that they are.
const goneKept = 2000

// New returns an empty state.
func New(translate func([]byte) (*Config, error)) *State {
	return &State{Targets: map[string]Target{}, EvacuatedZones: map[string]bool{}, Translate: translate}
}

// Apply applies a change. Call UpdateConfig before Config is used: of many
// documents in a row only the last needs to be parsed.
func (s *State) Apply(c Change) error {
	s.Sequence++
	if c.Document != nil && c.Version > s.Version {
		s.Version, s.Document, s.unsettled = c.Version, c.Document, true
	}
	if c.Evacuate != "" {
		s.EvacuatedZones[c.Evacuate] = true
	}
	if c.Restore != "" {
		delete(s.EvacuatedZones, c.Restore)
	}
	for _, t := range c.Targets {
		s.put(t)
	}
	return nil
}

// UpdateConfig brings Config up to date and reports whether it has changed.
func (s *State) UpdateConfig() (changed bool, err error) {
	if !s.unsettled {
		return false, nil
	}
	s.unsettled = false
	return true, s.parse()
}

func (s *State) parse() error {
	b, err := Decompress(s.Document)
	if err != nil {
		return err
	}
	c, err := s.Translate(b)
	if err != nil {
		return errors.Wrap(err, "catalog.parse")
	}
	c.Index()
	s.Config = c
	return nil
}

func (s *State) put(t Target) {
	if o, ok := s.Targets[t.ID]; ok && !o.Older(t) {
		return
	}
	if t.Phase == Serving {
		for id, o := range s.Targets {
			if o.Addr != t.Addr || id == t.ID || o.Phase == Gone {
				continue
			}
			if o.Born > t.Born {
				t.Phase = Gone
				continue
			}
			o.Phase = Gone
			s.Targets[id] = o
		}
	}
	s.Targets[t.ID] = t
	if t.Phase == Gone {
		s.forget()
	}
}

// forget drops the targets that have been gone for longest.
func (s *State) forget() {
	if len(s.Targets) <= goneKept {
		return
	}
	var l []Target
	for _, t := range s.Targets {
		if t.Phase == Gone {
			l = append(l, t)
		}
	}
	sort.Slice(l, func(i, j int) bool {
		if l[i].Born != l[j].Born {
			return l[i].Born < l[j].Born
		}
		return l[i].ID < l[j].ID
	})
	for _, t := range l[:len(l)/2] {
		delete(s.Targets, t.ID)
	}
}

// NeedsChange reports whether an announcement must be proposed as a change. It
// is false if the state holds the same or a newer announcement.
func (s *State) NeedsChange(t Target) bool {
	o, ok := s.Targets[t.ID]
	if !ok {
		return true
	}
	if !o.Older(t) || (o.Born == t.Born && o.Phase == Gone) {
		return false
	}
	return t.Differs(o)
}

// Encode returns the state as JSON.
func (s *State) Encode() ([]byte, error) {
	b, err := json.Marshal(s)
	return b, errors.Wrap(err, "catalog.State.Encode")
}

// DecodeCompressed reads a state that was packed by Compress.
func DecodeCompressed(b []byte, translate func([]byte) (*Config, error)) (*State, error) {
	x, err := Decompress(b)
	if err != nil {
		return nil, err
	}
	return Decode(x, translate)
}

// Decode reads a state.
func Decode(b []byte, translate func([]byte) (*Config, error)) (*State, error) {
	s := New(translate)
	if err := json.Unmarshal(b, s); err != nil {
		return nil, errors.Wrap(err, "catalog.Decode")
	}
	if s.Document == nil {
		return s, nil
	}
	return s, s.parse()
}
