package balance

import (
	"math"

	"github.com/carawayrack/carawayrack/clock"
)

const (
	// outcomeWindow is the time in which ended requests are counted: the rules of
	// deployments measure the targets in use over 2 s.
	outcomeWindow = 2 * clock.Second
	// outcomeBucket is the resolution of the window.
	outcomeBucket  = 100 * clock.Millis(1)
	outcomeBuckets = int(outcomeWindow / outcomeBucket)
	// peerOutcomesMaxAge is how long the counts of another host are used: hosts send
	// them each second, and two datagrams in a row may be lost.
	peerOutcomesMaxAge = 3 * clock.Second
	// outcomesKey is the key of observations that carry Outcomes. No target is expected
	// to have it: the keys of targets are 32-bit hashes.
	outcomesKey = 0
	// maxEncodedOutcomes is the largest count that an observation holds.
	maxEncodedOutcomes = 255
)

// Outcomes counts the requests of a service that ended within outcomeWindow.
// Unserved ones failed, timed out, or were refused because no target was available.
type Outcomes struct{ Ended, Unserved int }

// Observation returns the counts in the form of an observation of the key 0. Processes
// that know nothing of counts ignore it as one of an unknown target. Counts above
// maxEncodedOutcomes are scaled down, which keeps the share.
func (o Outcomes) Observation(service string) Observation {
	if o.Ended > maxEncodedOutcomes {
		share := float64(o.Unserved) / float64(o.Ended)
		o = Outcomes{maxEncodedOutcomes, int(math.Round(share * maxEncodedOutcomes))}
	}
	return Observation{Key: outcomesKey, InFlight: uint8(o.Ended), SuccessesNeeded: uint8(o.Unserved), OKAge: ServiceKey(service)}
}

// Outcomes returns the counts that an observation carries, the key of their service
// and their age. It returns false for an observation of a target.
func (e Observation) Outcomes() (o Outcomes, service uint16, age clock.Millis, ok bool) {
	if e.Key != outcomesKey {
		return Outcomes{}, 0, 0, false
	}
	ended := int(e.InFlight)
	return Outcomes{ended, min(int(e.SuccessesNeeded), ended)}, e.OKAge, clock.Millis(e.FailAge), true
}

// ServiceKey returns the hash of a service's name that stands for it in observations
// that carry counts.
func ServiceKey(name string) uint16 { return uint16(Key(name)) }

// recentOutcomes counts requests by the bucket of the time at which they ended.
type recentOutcomes [outcomeBuckets]outcomeBucketCounts

// outcomeBucketCounts holds the counts of the bucket with the given number.
type outcomeBucketCounts struct {
	Outcomes
	number clock.Millis
}

func (r *recentOutcomes) add(now clock.Millis, served bool) {
	n := now / outcomeBucket
	b := &r[int(n)%outcomeBuckets]
	if b.number != n {
		*b = outcomeBucketCounts{number: n}
	}
	b.Ended++
	if !served {
		b.Unserved++
	}
}

func (r *recentOutcomes) sum(now clock.Millis) Outcomes {
	var s Outcomes
	for _, b := range r {
		if b.number > now/outcomeBucket-clock.Millis(outcomeBuckets) {
			s.Ended += b.Ended
			s.Unserved += b.Unserved
		}
	}
	return s
}

// peerOutcomes are the counts of another host at the time at.
type peerOutcomes struct {
	Outcomes
	at clock.Millis
}

// CountOutcome counts a request of the service that ended at this host, whether or not
// it reached a target.
func (p *Pool) CountOutcome(now clock.Millis, served bool) { p.outcomes.add(now, served) }

// Outcomes returns this host's counts.
func (p *Pool) Outcomes(now clock.Millis) Outcomes { return p.outcomes.sum(now) }

// SetPeerOutcomes sets the counts of another host of the zone at a time, unless newer
// ones are known. It forgets old counts.
func (p *Pool) SetPeerOutcomes(now clock.Millis, host string, o Outcomes, at clock.Millis) {
	if p.peerOutcomes == nil {
		p.peerOutcomes = map[string]peerOutcomes{}
	}
	if at >= p.peerOutcomes[host].at {
		p.peerOutcomes[host] = peerOutcomes{o, at}
	}
	for h, x := range p.peerOutcomes {
		if now-x.at > peerOutcomesMaxAge {
			delete(p.peerOutcomes, h)
		}
	}
}

// UnservedShare is the share of the requests of a service that were not served, as far
// as a host knows.
type UnservedShare struct {
	// Known is false if the host has no recent counts of other hosts although its zone
	// has others.
	Known bool `json:"known"`
	// Share is 0 if no request ended.
	Share    float64 `json:"share"`
	Ended    int     `json:"ended"`
	Unserved int     `json:"unserved"`
	// Hosts is the number of other hosts whose counts are included, OldestAge the age
	// of the oldest of them.
	Hosts     int          `json:"hosts"`
	OldestAge clock.Millis `json:"oldestAgeMillis"`
}

// UnservedShare returns the share of the service's requests at this host and those
// hosts of the zone that have sent their counts within peerOutcomesMaxAge.
func (p *Pool) UnservedShare(now clock.Millis) UnservedShare {
	o := p.outcomes.sum(now)
	s := UnservedShare{Ended: o.Ended, Unserved: o.Unserved}
	for _, x := range p.peerOutcomes {
		if now-x.at > peerOutcomesMaxAge {
			continue
		}
		s.Ended += x.Ended
		s.Unserved += x.Unserved
		s.Hosts++
		s.OldestAge = max(s.OldestAge, now-x.at)
	}
	s.Known = s.Hosts > 0 || len(p.hosts) <= 1
	if s.Ended > 0 {
		s.Share = float64(s.Unserved) / float64(s.Ended)
	}
	return s
}
