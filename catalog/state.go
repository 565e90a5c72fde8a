// Package catalog defines the state that control replicas agree on and that
// hosts route by: the configuration, the targets that announced themselves and
// the evacuated availability zones.
package catalog

import (
	"encoding/json"
	"slices"
	"sort"

	"github.com/pkg/errors"
)

// State is the replicated state. Apply changes it in place, so that readers on
// other goroutines must copy what they need.
type State struct {
	// Sequence counts the changes applied, also those that had no effect.
	Sequence uint64 `json:"sequence"`
	// Version and Document are the configuration in force, Document packed by
	// Compress.
	Version  uint64 `json:"version"`
	Document []byte `json:"document"`
	// Targets holds the last announcement of each target by ID.
	Targets map[string]Target `json:"targets"`
	// EvacuatedZones are the zones that get no new work.
	EvacuatedZones map[string]bool `json:"zonesOut"`
	// ZoneRevisions holds the Sequence at which the last order to evacuate or
	// restore each zone took effect.
	ZoneRevisions map[string]uint64 `json:"zoneRevisions,omitempty"`
	// Rollouts holds the last roll-out of each service.
	Rollouts map[string]Rollout `json:"rollouts,omitempty"`
	// Suspects holds the quarantined requests by fingerprint.
	Suspects map[uint64]Suspect `json:"suspects,omitempty"`

	// Config is the last Document that UpdateConfig or Decode parsed without an
	// error, nil before the first.
	Config *Config `json:"-"`
	// Translate parses a document that is not compressed.
	Translate func(document []byte) (*Config, error) `json:"-"`
	// configStale is true if Apply has changed Document since the last
	// UpdateConfig.
	configStale bool
	// byAddr holds the IDs of the targets at each address, indexed the number of
	// targets in it. It is made anew if Targets was changed in another way than by put.
	byAddr  map[string][]string
	indexed int
}

// pruneAbove is the number of targets above which the state drops half of those
// that are gone. The others stay, so that a late announcement of a target that
// has left is recognized as old.
const pruneAbove = 2000

// New returns an empty state that parses documents with translate.
func New(translate func([]byte) (*Config, error)) *State {
	return &State{
		Targets: map[string]Target{}, EvacuatedZones: map[string]bool{}, ZoneRevisions: map[string]uint64{},
		Rollouts: map[string]Rollout{}, Suspects: map[uint64]Suspect{}, Translate: translate,
	}
}

// Apply applies a change. Call UpdateConfig before Config is used: of many
// documents in a row only the last needs to be parsed. The error is that of a
// Delta that does not fit the state, which is then as it was.
func (s *State) Apply(c Change) error {
	if c.Delta != nil && c.Version > s.Version {
		b, err := s.expand(c)
		if err != nil {
			return err
		}
		c.Document = b
	}
	s.Sequence++
	if c.Document != nil && (c.Version > s.Version || s.Document == nil) {
		s.Version, s.Document, s.configStale = c.Version, c.Document, true
	}
	if c.Evacuate != "" && s.orderZone(c.Evacuate, c.Revision) {
		s.EvacuatedZones[c.Evacuate] = true
	}
	if c.Restore != "" && s.orderZone(c.Restore, c.Revision) {
		delete(s.EvacuatedZones, c.Restore)
	}
	for _, t := range c.Targets {
		s.put(t)
	}
	for id, born := range c.Unlist {
		s.unlist(id, born)
	}
	if c.Order != nil {
		s.order(*c.Order)
	}
	if c.Step != nil {
		s.step(*c.Step)
	}
	if c.Quarantine != nil {
		s.quarantine(*c.Quarantine)
	}
	if c.Cleared != nil {
		s.clearSuspect(*c.Cleared)
	}
	return nil
}

// orderZone reports whether an order for a zone takes effect, and then raises the
// zone's revision.
func (s *State) orderZone(zone string, revision *uint64) bool {
	if revision != nil && *revision != s.ZoneRevisions[zone] {
		return false
	}
	s.ZoneRevisions[zone] = s.Sequence
	return true
}

// Superseded reports whether the order of the change that was applied last had no
// effect: another order for the zone came first, a roll-out of the service to another
// version is running, or another trial of the suspect has begun.
func (s *State) Superseded(c Change) bool {
	if c.Order != nil {
		return s.Rollouts[c.Order.Service].Version != c.Order.Version
	}
	if c.Quarantine != nil {
		return s.Suspects[c.Quarantine.Fingerprint].Sequence != s.Sequence
	}
	zone := c.Evacuate + c.Restore
	return zone != "" && s.ZoneRevisions[zone] != s.Sequence
}

// expand returns the packed document of a change that has a Delta.
func (s *State) expand(c Change) ([]byte, error) {
	if c.Base != s.Version {
		return nil, errors.WithStack(DeltaMismatch{})
	}
	old, err := Decompress(s.Document)
	if err != nil {
		return nil, err
	}
	d, err := Decompress(c.Delta)
	if err != nil {
		return nil, err
	}
	b, err := ApplyDelta(old, d)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	return Compress(b)
}

// UpdateConfig parses Document into Config if Document has changed since the
// last call. It reports whether Document had changed, also when it returns an
// error; Config then keeps its old value.
func (s *State) UpdateConfig() (changed bool, err error) {
	if !s.configStale {
		return false, nil
	}
	s.configStale = false
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

// put stores an announcement unless the state holds the same or a newer one.
// Only one target can serve at an address: if there are several, the one that
// started last stays and the others become Gone. Targets of unlisted services do
// not count for that.
func (s *State) put(t Target) {
	if o, ok := s.Targets[t.ID]; ok && (!o.Older(t) && !o.isImpostorOf(t) || t.contradicts(o)) {
		return
	}
	if s.Rollouts[t.Service].retires(t) {
		t.Phase = Gone
	}
	if t.Phase == Serving && !t.Unlisted {
		for _, id := range s.targetsAt(t.Addr) {
			o := s.Targets[id]
			if id == t.ID || o.Phase == Gone || o.Unlisted {
				continue
			}
			if o.Born > t.Born {
				t.Phase, t.Displaced = Gone, true
				continue
			}
			o.Phase, o.Displaced = Gone, true
			s.Targets[id] = o
		}
	}
	s.index(t)
	s.Targets[t.ID] = t
	if t.Phase == Gone {
		s.prune()
	}
}

// targetsAt returns the IDs of the targets at an address.
func (s *State) targetsAt(addr string) []string {
	if s.byAddr == nil || s.indexed != len(s.Targets) {
		s.byAddr, s.indexed = map[string][]string{}, len(s.Targets)
		for id, t := range s.Targets {
			s.byAddr[t.Addr] = append(s.byAddr[t.Addr], id)
		}
	}
	return s.byAddr[addr]
}

// index puts t into byAddr, before it is put into Targets.
func (s *State) index(t Target) {
	l := s.targetsAt(t.Addr)
	o, ok := s.Targets[t.ID]
	if ok && o.Addr == t.Addr {
		return
	}
	s.byAddr[t.Addr] = append(l, t.ID)
	if !ok {
		s.indexed++
		return
	}
	old := slices.DeleteFunc(s.byAddr[o.Addr], func(id string) bool { return id == t.ID })
	if s.byAddr[o.Addr] = old; len(old) == 0 {
		delete(s.byAddr, o.Addr)
	}
}

// unlist notes that the configuration has no service of a target, if it still runs the
// incarnation that started at born.
func (s *State) unlist(id string, born int64) {
	if t, ok := s.Targets[id]; ok && t.Born == born {
		t.Unlisted = true
		s.Targets[id] = t
	}
}

// ToUnlist returns the targets that count as listed although the configuration has no
// service of theirs, for Change.Unlist: they were announced before it, or at a process
// that did not hold it. It returns nothing without a configuration.
func (s *State) ToUnlist() map[string]int64 {
	var m map[string]int64
	if s.Config == nil {
		return m
	}
	for id, t := range s.Targets {
		if t.Unlisted || s.Config.Service(t.Service) != nil {
			continue
		}
		if m == nil {
			m = map[string]int64{}
		}
		m[id] = t.Born
	}
	return m
}

// isDisplaced reports whether a listed target that started later was announced at the
// address of t, also if that one is gone by now.
func (s *State) isDisplaced(t Target) bool {
	for _, id := range s.targetsAt(t.Addr) {
		if o := s.Targets[id]; id != t.ID && !o.Unlisted && o.Born > t.Born {
			return true
		}
	}
	return false
}

// isImpostorOf reports whether o is a target of an unlisted service and t, with the same
// ID, one of a listed service. The sender of o is not t.
func (o Target) isImpostorOf(t Target) bool {
	return o.Unlisted && !t.Unlisted && o.Service != t.Service
}

// contradicts reports whether t names another, unlisted service than a listed
// target with the same ID. Its sender is not that target.
func (t Target) contradicts(o Target) bool {
	return t.Unlisted && !o.Unlisted && o.Phase != Gone && t.Service != o.Service
}

// Lists reports whether the configuration has a service. Without a
// configuration every service counts as listed, unless another target has the ID
// or the address of t.
func (s *State) Lists(t Target) bool {
	if s.Config != nil {
		return s.Config.Service(t.Service) != nil
	}
	for _, id := range append([]string{t.ID}, s.targetsAt(t.Addr)...) {
		if o, ok := s.Targets[id]; ok && o.Phase != Gone && o.Service != t.Service {
			return false
		}
	}
	return true
}

// sortedNames returns the keys of a set in order.
func sortedNames(m map[string]bool) []string {
	l := make([]string, 0, len(m))
	for n := range m {
		l = append(l, n)
	}
	sort.Strings(l)
	return l
}

// prune drops the half of the gone targets that started first if there are more
// than pruneAbove targets. Every replica must drop the same ones, so targets
// that started at the same time are ordered by ID.
func (s *State) prune() {
	if len(s.Targets) <= pruneAbove {
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
	s.byAddr = nil
}

// NeedsChange reports whether an announcement must be proposed as a change. It
// is false if the state holds a newer announcement or one that does not differ,
// if the incarnation is gone, and if another sender uses the target's ID. A target that
// was displaced by another one comes back once that is known to be unlisted.
func (s *State) NeedsChange(t Target) bool {
	o, ok := s.Targets[t.ID]
	if !ok || o.isImpostorOf(t) {
		return true
	}
	if !o.Older(t) || t.contradicts(o) {
		return false
	}
	if o.Born == t.Born && o.Phase == Gone {
		return o.Displaced && !s.isDisplaced(t)
	}
	return t.Differs(o)
}

// Encode returns the state as JSON.
func (s *State) Encode() ([]byte, error) {
	b, err := json.Marshal(s)
	return b, errors.Wrap(err, "catalog.State.Encode")
}

// DecodeCompressed parses an encoded state that was packed by Compress.
func DecodeCompressed(b []byte, translate func([]byte) (*Config, error)) (*State, error) {
	x, err := Decompress(b)
	if err != nil {
		return nil, err
	}
	return Decode(x, translate)
}

// Decode parses a state that Encode returned, and its Document with translate.
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
