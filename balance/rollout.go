package balance

import (
	"sort"

	"github.com/carawayrack/carawayrack/catalog"
)

// side is the part of a pool's targets that a request may use during a roll-out.
type side int

const (
	// anySide stands for all targets.
	anySide side = iota
	// oldSide stands for the targets of other versions than the new one.
	oldSide
	// newSide stands for some targets of the new version, as few as its share needs.
	newSide
	// wholeNewSide stands for all targets of the new version.
	wholeNewSide
)

const (
	// trialLoad is the load of the new version's targets while it has a small share,
	// relative to that with all requests: some versions fail under load only. With
	// more load, targets that are well used already would queue requests and look slow.
	trialLoad = 1.0
	// minTrialTargets is the smallest number of targets of a zone that get the
	// requests of a small share: one failing target must not look like a version.
	minTrialTargets = 2
	// provenShare is the share from which all targets of the new version are used,
	// also for retries and hedges.
	provenShare = 0.5
)

// SetRollout sets the last roll-out of the service, the zero value if there was
// none. Call it before SetTargets.
func (p *Pool) SetRollout(r catalog.Rollout) { p.rollout = r }

// inRollout reports whether requests are being moved to another version.
func (p *Pool) inRollout() bool { return p.rollout.State == catalog.RolloutRunning }

// sides returns the parts of the targets to try in turn for a request. Each request
// that is sent for the first time goes to the new version with the probability of
// its share, at each host independently of others. If the new version has no free
// slot, the request goes to the old one: it must not wait or fail for the new one.
func (p *Pool) sides(a Request) []side {
	switch {
	case !p.inRollout():
		return []side{anySide}
	case p.rollout.Share >= 1:
		if p.newInUse() {
			return []side{wholeNewSide}
		}
		return []side{anySide}
	case a.Repeated && p.rollout.Share < provenShare || a.Sample >= p.rollout.Share:
		return []side{oldSide}
	}
	return []side{newSide, oldSide}
}

// onSide reports whether a request may use a target during a roll-out.
func (p *Pool) onSide(t *target, a Request) bool {
	fresh := t.Version == p.rollout.Version
	switch a.side {
	case oldSide:
		return !fresh
	case newSide:
		return fresh && (t.trial || p.rollout.Share >= provenShare)
	case wholeNewSide:
		return fresh
	}
	return true
}

// newInUse reports whether a target of the new version accepts requests.
func (p *Pool) newInUse() bool {
	for _, t := range p.order {
		if t.Version == p.rollout.Version && p.inUse(t) {
			return true
		}
	}
	return false
}

// replaced reports whether a target must get no requests because all of them go to
// the new version.
func (p *Pool) replaced(t *target) bool {
	return p.inRollout() && p.rollout.Share >= 1 && t.Version != p.rollout.Version && p.newInUse()
}

// updateTrials selects the targets of the new version that get the requests of a
// small share: in each zone the first ones in the order of their keys, which is the
// same at all hosts, the healthy ones before the others.
func (p *Pool) updateTrials() {
	var l []*target
	all := map[string]int{}
	for _, t := range p.order {
		t.trial = false
		if t.Version == p.rollout.Version && p.inUse(t) {
			all[t.Zone]++
			l = append(l, t)
		}
	}
	sort.Slice(l, func(i, j int) bool {
		if a, b := l[i].successesNeeded == 0, l[j].successesNeeded == 0; a != b {
			return a
		}
		return l[i].key < l[j].key
	})
	used := map[string]int{}
	for _, t := range l {
		limit := max(int(p.rollout.Share*float64(all[t.Zone])/trialLoad+1), minTrialTargets)
		if used[t.Zone] < limit {
			t.trial = true
			used[t.Zone]++
		}
	}
}
