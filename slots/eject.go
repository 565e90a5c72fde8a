package slots

import (
	"fmt"
	"sort"

	"github.com/carawayrack/carawayrack/clock"
	"github.com/carawayrack/carawayrack/journal"
)

const (
	// A target fails after failuresFromSeveralHosts failures in a row if
	// several hosts report them, or after failuresFromOneHost if one does.
	failuresFromSeveralHosts = 3
	failuresFromOneHost      = 6
	// A host gets no slots of a target for pathAvoidTime or longer after
	// pathFailures failures in a row that only this host has, if another host
	// had a success within otherSuccessWindow.
	pathFailures       = 3
	otherSuccessWindow = 2 * clock.Second
	pathAvoidTime      = 3 * clock.Second
	// A target fails partly if its failure rate, in per mille and over at
	// least failingSamples requests, is failingShare or more.
	failingShare   = 350
	failingSamples = 12
	// A target can be ejected as slow after slowSamples latencies.
	slowSamples  = 8
	minEjectTime = 5 * clock.Second
	maxEjectTime = 60 * clock.Second
	// ejectionsResetAfter is the time since the last ejection after which the
	// next one lasts minEjectTime again.
	ejectionsResetAfter = 120 * clock.Second
	// If connections to a target broke within announceTimeout during this many
	// different requests, the target is at fault and not the requests.
	minDiedFingerprints = 3
)

// Release frees the slot of a grant and records the outcome of its request,
// unless the target has restarted since. It ignores unknown grants.
func (p *Pool) Release(now clock.Millis, r Release) {
	g, ok := p.grants[r.ID]
	if !ok {
		return
	}
	p.removeGrant(r.ID, g)
	if t := p.targets[r.Target]; t != nil && t.ann.Incarnation == g.grant.Incarnation {
		p.recordOutcome(now, t, r)
	}
	p.dispatch(now)
}

func (p *Pool) recordOutcome(now clock.Millis, t *target, r Release) {
	switch {
	case r.Outcome == OK:
		p.recordSuccess(now, t, r)
	case r.Outcome == Shed:
		p.resetToCold(now, t, "shed a request")
	case r.Outcome.isFailure():
		p.recordFailure(now, t, r)
	}
}

func (p *Pool) recordSuccess(now clock.Millis, t *target, r Release) {
	e := &t.stats
	e.consecutiveFailures = 0
	e.failingHosts = map[string]bool{}
	e.lastSuccess = now
	e.lastSuccessByHost[r.Host] = now
	e.path(r.Host).consecutiveFailures = 0
	e.recordResult(false)
	p.crashes.recordSuccess(r.Fingerprint)
	if r.FirstByte <= 0 {
		p.countSuccess(now, t)
		return
	}
	slow := p.slow(r.FirstByte)
	e.recordLatency(r.FirstByte)
	p.updateBaseline()
	if !slow {
		e.consecutiveSlow = 0
		p.countSuccess(now, t)
		return
	}
	e.consecutiveSlow++
	if e.consecutiveSlow >= slowResponsesForReset && t.limit > p.coldLimit(t.ann) {
		p.resetToCold(now, t, fmt.Sprintf("%d responses in a row above %d times the usual latency", e.consecutiveSlow, slowFactor))
	}
	p.ejectIfSlow(now, t)
}

// updateBaseline sets the usual latency to the median of the targets' latencies.
func (p *Pool) updateBaseline() {
	var l []int64
	for _, t := range p.targets {
		if t.stats.latencySamples > 0 {
			l = append(l, t.stats.latency)
		}
	}
	if len(l) == 0 {
		return
	}
	sort.Slice(l, func(i, j int) bool { return l[i] < l[j] })
	p.baseline = max(l[(len(l)-1)/2], 1)
}

func (p *Pool) ejectIfSlow(now clock.Millis, t *target) {
	e := &t.stats
	if e.latencySamples >= slowSamples && p.slow(clock.Millis(e.latency/1000)) {
		p.eject(now, t, "slow", fmt.Sprintf("latency %d us, usual %d us", e.latency, p.baseline))
	}
}

func (p *Pool) recordFailure(now clock.Millis, t *target, r Release) {
	e := &t.stats
	if r.Outcome == Refused {
		p.resetToCold(now, t, "refused a connection")
	}
	if r.Outcome == Died {
		p.recordCrash(now, t, r)
		if !p.diesUnderManyRequests(now, t) {
			return
		}
	}
	e.consecutiveFailures++
	e.failingHosts[r.Host] = true
	e.recordResult(true)
	w := e.path(r.Host)
	w.consecutiveFailures++
	if w.consecutiveFailures >= pathFailures && len(e.failingHosts) == 1 && e.otherHostSucceeded(r.Host, now-otherSuccessWindow) {
		p.avoidPath(now, t, r.Host, w)
		return
	}
	if cause := p.failureCause(t); cause != "" {
		p.eject(now, t, cause, fmt.Sprintf("%d in a row from %d hosts, %d per mille of %d, last %s", e.consecutiveFailures, len(e.failingHosts), e.failureRate, e.samples, r.Outcome))
	}
}

// diesUnderManyRequests reports whether connections to the target broke within
// announceTimeout during at least minDiedFingerprints different requests, which a
// single request that crashes targets does not explain.
func (p *Pool) diesUnderManyRequests(now clock.Millis, t *target) bool {
	k := 0
	for f, at := range t.stats.diedAt {
		if now-at > announceTimeout {
			delete(t.stats.diedAt, f)
			continue
		}
		k++
	}
	return k >= minDiedFingerprints
}

// failureCause returns why a target counts as failing, empty if it does not.
func (p *Pool) failureCause(t *target) string {
	e := &t.stats
	if e.consecutiveFailures >= failuresFromSeveralHosts && len(e.failingHosts) > 1 {
		return "failures in a row from several hosts"
	}
	if e.consecutiveFailures >= failuresFromOneHost {
		return "failures in a row"
	}
	if e.samples >= failingSamples && e.failureRate >= failingShare {
		return "share of failures"
	}
	if t.probation {
		return "failure on probation"
	}
	return ""
}

// avoidPath stops granting a target's slots to a host for pathAvoidTime, and twice
// as long each further time, up to 16 times as long. The failures do not count
// against the target, since other hosts reach it.
func (p *Pool) avoidPath(now clock.Millis, t *target, host string, w *path) {
	w.avoidUntil = now + min(pathAvoidTime<<min(w.timesAvoided, 4), maxEjectTime)
	w.timesAvoided++
	w.consecutiveFailures = 0
	t.stats.consecutiveFailures = 0
	p.recordEvent(journal.PathAvoided, t.ann.Target, "failures from host "+host+" alone", "other hosts succeed")
}

// eject ejects a target. It keeps the target if healthy capacity without it would
// be below the floor, or if most targets fail, since the fault is then probably
// not the target's own.
func (p *Pool) eject(now clock.Millis, t *target, cause, evidence string) {
	if t.ejected(now) || t.leaving() {
		return
	}
	if p.mostTargetsFail(now, t) {
		p.recordEvent(journal.TargetKept, t.ann.Target, "most targets fail", evidence)
		t.stats.consecutiveFailures = 0
		return
	}
	if !p.canEject(now, t) {
		p.recordEvent(journal.TargetKept, t.ann.Target, "ejection would go below the floor", evidence)
		t.stats.consecutiveFailures = 0
		return
	}
	if now-t.ejectedAt > ejectionsResetAfter {
		t.ejections = 0
	}
	before, _ := p.HealthySlots(now)
	t.ejectedAt = now
	t.ejectedUntil = now + min(minEjectTime<<min(t.ejections, 6), maxEjectTime)
	t.ejections++
	p.recordEvent(journal.TargetEjected, t.ann.Target, cause, evidence)
	t.warm = false
	t.limit = p.coldLimit(t.ann)
	t.successes = 0
	t.stats = newStats()
	t.probation = true
	p.assertFloor(now, before, t)
}

// mostTargetsFail reports whether more than half of the targets fail, counting t
// and ejected ones as failing. Leaving targets and those of evacuated zones do not
// count. It reports false if there are fewer than three.
func (p *Pool) mostTargetsFail(now clock.Millis, t *target) bool {
	failing, all := 0, 0
	for _, o := range p.targets {
		if o.leaving() || p.evacuatedZones[o.ann.Zone] {
			continue
		}
		all++
		if o == t || o.ejected(now) || o.stats.consecutiveFailures >= failuresFromSeveralHosts || (o.stats.samples > 0 && o.stats.failureRate >= failingShare) {
			failing++
		}
	}
	return all > 2 && 2*failing > all
}

// HealthySlots returns the healthy capacity and the floor below which ejections
// must not take it, both in slots.
func (p *Pool) HealthySlots(now clock.Millis) (healthy, floor int) {
	total := 0
	for _, t := range p.targets {
		if t.gone {
			continue
		}
		total += t.ann.Slots
		if p.healthy(now, t) {
			healthy += t.ann.Slots
		}
	}
	return healthy, (total*p.Service.FloorPercent + 99) / 100
}

// healthy reports whether a target counts as healthy capacity. Only warm targets
// do, unless they are leaving, ejected or in an evacuated zone.
func (p *Pool) healthy(now clock.Millis, t *target) bool {
	return t.warm && !t.leaving() && !t.ejected(now) && !p.evacuatedZones[t.ann.Zone]
}

// canEject reports whether healthy capacity stays at or above the floor without
// the target.
func (p *Pool) canEject(now clock.Millis, t *target) bool {
	h, floor := p.HealthySlots(now)
	if !p.healthy(now, t) {
		// Its ejection does not reduce healthy capacity.
		return h >= floor
	}
	return h-t.ann.Slots >= floor
}

// endEjection ends an ejection whose time is over. The target starts on probation
// with its cold limit, and gets only idempotent requests.
func (p *Pool) endEjection(now clock.Millis, t *target) {
	if !t.probation || t.ejected(now) || t.ejectedUntil == 0 {
		return
	}
	t.ejectedUntil = 0
	t.limitRaisedAt = now
	p.recordEvent(journal.TargetReturned, t.ann.Target, "ejection ended", "on probation")
}
