// Package configsync brings the configuration to a host: from the control
// replicas, and from peer hosts where those cannot be reached. It decides
// whether the host may trust what it holds.
package configsync

import (
	"sort"

	"github.com/carawayrack/carawayrack/api"
	"github.com/carawayrack/carawayrack/clock"
	"github.com/carawayrack/carawayrack/config"
)

// Tracker decides whether a configuration is fresh. It is so while one of two
// proofs holds: (a) a beat of the leader, younger than Limit, that nothing
// newer was accepted; or (b) sightings, younger than Limit, by a majority of
// the roster of nothing newer. The second is sound because a change counts as
// accepted only when a majority of the roster holds it.
type Tracker struct {
	Self string
	// MaxProofAge is the greatest age of a proof.
	MaxProofAge clock.Millis

	state     *config.State
	beatAt    clock.Millis
	beatSeq   uint64
	beatKnown bool
	sightings map[string]sighting
	// proved is set once this process has had a proof. Before that its own
	// memory counts for nothing: a former process may have held more.
	proved bool
}

type sighting struct {
	at       clock.Millis
	sequence uint64
	flags    api.Flags
}

// Init starts a tracker without configuration.
func (t *Tracker) Init() {
	t.state = config.New()
	t.sightings = map[string]sighting{}
}

// State returns the configuration held.
func (t *Tracker) State() *config.State { return t.state }

// Advance replaces the configuration by a newer one.
func (t *Tracker) Advance(s *config.State) bool {
	if s.Sequence <= t.state.Sequence {
		return false
	}
	t.state = s
	return true
}

// AddProof takes in a beat that came in answer to a question asked at askedAt.
// Its age is overestimated by the time the answer took.
func (t *Tracker) AddProof(askedAt clock.Millis, b api.Proof) {
	if !b.Known {
		return
	}
	at := askedAt - b.Age
	if !t.beatKnown || at > t.beatAt {
		t.beatKnown, t.beatAt, t.beatSeq = true, at, b.Sequence
	}
}

// LastProof returns the newest beat for passing on.
func (t *Tracker) LastProof(now clock.Millis) api.Proof {
	return api.Proof{Known: t.beatKnown, Sequence: t.beatSeq, Age: now - t.beatAt}
}

// AddSightings takes in sightings that came in answer to a question asked at askedAt.
func (t *Tracker) AddSightings(askedAt clock.Millis, l []api.Sighting) {
	for _, x := range l {
		at := askedAt - x.Age
		if o, ok := t.sightings[x.Host]; x.Host != t.Self && (!ok || at > o.at) {
			t.sightings[x.Host] = sighting{at, x.Sequence, x.Flags}
		}
	}
}

// Sightings returns what to pass on, the own sighting included once this
// process has had a proof.
func (t *Tracker) Sightings(now clock.Millis, own api.Flags) []api.Sighting {
	l := make([]api.Sighting, 0, len(t.sightings)+1)
	if t.proved {
		l = append(l, api.Sighting{Host: t.Self, Sequence: t.state.Sequence, Flags: own})
	}
	for h, s := range t.sightings {
		if now-s.at < 2*t.MaxProofAge {
			l = append(l, api.Sighting{Host: h, Sequence: s.sequence, Age: now - s.at, Flags: s.flags})
		}
	}
	return l
}

// FreshUntil returns the time until which the configuration may be trusted.
func (t *Tracker) FreshUntil(now clock.Millis) clock.Millis {
	until := clock.Millis(0)
	if t.beatKnown && t.state.Sequence >= t.beatSeq {
		until = t.beatAt + t.MaxProofAge
	}
	until = max(until, t.majorityUntil(now))
	if until > now {
		t.proved = true
	}
	return until
}

// majorityUntil returns the time until which a majority of each roster has
// been seen to hold nothing newer.
func (t *Tracker) majorityUntil(now clock.Millis) clock.Millis {
	until := clock.Millis(-1)
	for _, m := range t.state.JointRoster() {
		u := t.quorumSeen(now, m) + t.MaxProofAge
		if len(m) == 0 {
			return 0
		}
		if until < 0 || u < until {
			until = u
		}
	}
	return max(until, 0)
}

// quorumSeen returns the time at which a majority of a roster was last seen.
func (t *Tracker) quorumSeen(now clock.Millis, hosts map[string]config.Host) clock.Millis {
	var l []clock.Millis
	for id := range hosts {
		if id == t.Self && t.proved {
			l = append(l, now)
			continue
		}
		if s, ok := t.sightings[id]; ok && s.sequence <= t.state.Sequence {
			l = append(l, s.at)
		}
	}
	need := len(hosts)/2 + 1
	if len(l) < need {
		return -t.MaxProofAge
	}
	sort.Slice(l, func(i, j int) bool { return l[i] > l[j] })
	return l[need-1]
}

// Alive returns the hosts seen lately with their flags.
func (t *Tracker) Alive(now clock.Millis) map[string]api.Flags {
	m := map[string]api.Flags{}
	for h, s := range t.sightings {
		if now-s.at < t.MaxProofAge {
			m[h] = s.flags
		}
	}
	return m
}
