// Package configsync fetches the configuration for a host, from the control replicas
// and by gossip from other hosts, and decides whether it is fresh.
package configsync

import (
	"sort"

	"github.com/carawayrack/carawayrack/api"
	"github.com/carawayrack/carawayrack/clock"
	"github.com/carawayrack/carawayrack/config"
)

// Tracker decides whether a configuration is fresh. It is fresh while one of two
// proofs is younger than MaxProofAge: (a) a leadership proof that nothing newer was
// accepted; or (b) sightings of a majority of the roster's hosts, none of which held
// anything newer. The second is sound because a change counts as accepted only when
// a majority of the roster holds it. Its methods must not be called concurrently.
type Tracker struct {
	// Self is the ID of this host.
	Self string
	// MaxProofAge is the greatest age of a proof that the configuration is fresh.
	MaxProofAge clock.Millis

	state         *config.State
	proofAt       clock.Millis
	proofSequence uint64
	proofKnown    bool
	sightings     map[string]sighting
	// hadProof is true once this process has had a proof. Before that, its own
	// configuration does not count towards a majority, since a former process of
	// this host may have held a newer one.
	hadProof bool
}

// sighting is the newest known observation of a host: when it was seen, and the
// sequence and flags that it had.
type sighting struct {
	at       clock.Millis
	sequence uint64
	flags    api.Flags
}

// Run starts with an empty configuration.
func (t *Tracker) Run() {
	t.state = config.New()
	t.sightings = map[string]sighting{}
}

// State returns the newest configuration that this host holds.
func (t *Tracker) State() *config.State { return t.state }

// Advance replaces the configuration by s. It reports false if s is not newer.
func (t *Tracker) Advance(s *config.State) bool {
	if s.Sequence <= t.state.Sequence {
		return false
	}
	t.state = s
	return true
}

// AddProof adds a leadership proof from the reply to a request that was sent at
// sentAt. The proof's age is taken as of sentAt, so it is overestimated by at most the
// duration of the call.
func (t *Tracker) AddProof(sentAt clock.Millis, b api.Proof) {
	if !b.Known {
		return
	}
	at := sentAt - b.Age
	if !t.proofKnown || at > t.proofAt {
		t.proofKnown, t.proofAt, t.proofSequence = true, at, b.Sequence
	}
}

// LastProof returns the newest leadership proof, to send to peers.
func (t *Tracker) LastProof(now clock.Millis) api.Proof {
	return api.Proof{Known: t.proofKnown, Sequence: t.proofSequence, Age: now - t.proofAt}
}

// AddSightings adds sightings from the reply to a request that was sent at sentAt.
func (t *Tracker) AddSightings(sentAt clock.Millis, l []api.Sighting) {
	for _, x := range l {
		at := sentAt - x.Age
		if o, ok := t.sightings[x.Host]; x.Host != t.Self && (!ok || at > o.at) {
			t.sightings[x.Host] = sighting{at, x.Sequence, x.Flags}
		}
	}
}

// Sightings returns the sightings to send to peers. They include this host once this
// process has had a proof.
func (t *Tracker) Sightings(now clock.Millis, own api.Flags) []api.Sighting {
	l := make([]api.Sighting, 0, len(t.sightings)+1)
	if t.hadProof {
		l = append(l, api.Sighting{Host: t.Self, Sequence: t.state.Sequence, Flags: own})
	}
	for h, s := range t.sightings {
		if now-s.at < 2*t.MaxProofAge {
			l = append(l, api.Sighting{Host: h, Sequence: s.sequence, Age: now - s.at, Flags: s.flags})
		}
	}
	return l
}

// FreshUntil returns the time until which the configuration is fresh.
func (t *Tracker) FreshUntil(now clock.Millis) clock.Millis {
	until := clock.Millis(0)
	if t.proofKnown && t.state.Sequence >= t.proofSequence {
		until = t.proofAt + t.MaxProofAge
	}
	until = max(until, t.majorityUntil(now))
	if until > now {
		t.hadProof = true
	}
	return until
}

// majorityUntil returns the time until which the configuration is fresh by the
// sightings of a majority of each roster, 0 if it is not.
func (t *Tracker) majorityUntil(now clock.Millis) clock.Millis {
	until := clock.Millis(-1)
	for _, m := range t.state.JointRoster() {
		u := t.majoritySeenAt(now, m) + t.MaxProofAge
		if len(m) == 0 {
			return 0
		}
		if until < 0 || u < until {
			until = u
		}
	}
	return max(until, 0)
}

// majoritySeenAt returns the latest time such that a majority of a roster was seen at
// that time or later to hold nothing newer. It returns -MaxProofAge if there is no
// such majority.
func (t *Tracker) majoritySeenAt(now clock.Millis, hosts map[string]config.Host) clock.Millis {
	var l []clock.Millis
	for id := range hosts {
		if id == t.Self && t.hadProof {
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

// Alive returns the flags of the hosts that were seen within MaxProofAge, by host ID.
func (t *Tracker) Alive(now clock.Millis) map[string]api.Flags {
	m := map[string]api.Flags{}
	for h, s := range t.sightings {
		if now-s.at < t.MaxProofAge {
			m[h] = s.flags
		}
	}
	return m
}
