package catalog

import "github.com/carawayrack/carawayrack/clock"

// RolloutState is the state of a roll-out.
type RolloutState string

// The states of roll-outs.
const (
	// RolloutRunning moves requests to the new version step by step.
	RolloutRunning RolloutState = "running"
	// RolloutCompleted means that all requests go to the new version.
	RolloutCompleted RolloutState = "completed"
	// RolloutRolledBack means that none do.
	RolloutRolledBack RolloutState = "rolled_back"
)

// Rollout is an order to move the requests of a service to the targets of a
// version, and how far it has been carried out.
type Rollout struct {
	Service string `json:"service"`
	Version string `json:"version"`
	// At is when the order was made, in Unix milliseconds, Duration the time that
	// it has.
	At       int64        `json:"at"`
	Duration clock.Millis `json:"duration"`
	// Number is the Sequence of the state at the order and identifies it, Revision
	// that at the last step. Both are set by Apply.
	Number   uint64       `json:"number,omitempty"`
	Revision uint64       `json:"revision,omitempty"`
	State    RolloutState `json:"state"`
	// Step counts the steps. Share is the share of the requests that the version
	// gets in this step, from 0 to 1.
	Step  int     `json:"step"`
	Share float64 `json:"share"`
	// Elapsed is the time from the order to the step, by the clock of the leader
	// that took it.
	Elapsed clock.Millis `json:"elapsed,omitempty"`
	// Reason says why the step was taken.
	Reason string `json:"reason,omitempty"`
	// Replaced are the other versions of the service's targets at the order. Set by
	// Apply.
	Replaced []string `json:"replaced,omitempty"`
}

const (
	// repeatWindow is the time after the end of an order's duration in which an
	// order for the same version counts as a repetition of a rolled-back one.
	// Orders are repeated for a few seconds, until they are acknowledged.
	repeatWindow = 10 * clock.Second
	// banTime is the time after a roll-back in which targets of the version that
	// start get no requests: a restart does not mend a version, a later release
	// may have.
	banTime = 60 * clock.Second
)

// decidedAt returns when the last step was taken, in Unix milliseconds.
func (r Rollout) decidedAt() int64 { return r.At + int64(r.Elapsed) }

// Bans reports whether a target must get no requests because its version was
// rolled back.
func (r Rollout) Bans(t Target) bool {
	return r.State == RolloutRolledBack && t.Version == r.Version && t.Born < r.decidedAt()+int64(banTime)
}

// retires reports whether a target was replaced by a completed roll-out. Targets
// that start later belong to another release.
func (r Rollout) retires(t Target) bool {
	if r.State != RolloutCompleted || t.Version == r.Version || t.Born > r.decidedAt() {
		return false
	}
	for _, v := range r.Replaced {
		if v == t.Version {
			return true
		}
	}
	return false
}

// repeats reports whether order o repeats r, so that it has no effect.
func (r Rollout) repeats(o Rollout) bool {
	if r.Version != o.Version {
		return false
	}
	return r.State != RolloutRolledBack || o.At < r.At+int64(r.Duration+repeatWindow)
}

// order starts a roll-out unless another one of the service is running or the
// order repeats the last one.
func (s *State) order(o Rollout) {
	r, ok := s.Rollouts[o.Service]
	if ok && (r.State == RolloutRunning || r.repeats(o)) {
		return
	}
	o.Number, o.Revision, o.State, o.Step = s.Sequence, s.Sequence, RolloutRunning, 0
	o.Replaced = s.otherVersions(o)
	s.Rollouts[o.Service] = o
}

// otherVersions returns the versions of a service's serving targets, without that
// of the roll-out.
func (s *State) otherVersions(o Rollout) []string {
	seen := map[string]bool{o.Version: true}
	for _, t := range s.Targets {
		if t.Service == o.Service && t.Phase == Serving {
			seen[t.Version] = true
		}
	}
	delete(seen, o.Version)
	return sortedNames(seen)
}

// step records a step of a roll-out. It has no effect if another step came first
// or the roll-out has ended. A completed roll-out ends the targets of the versions
// that it has replaced.
func (s *State) step(n Rollout) {
	r, ok := s.Rollouts[n.Service]
	if !ok || r.Number != n.Number || r.Revision != n.Revision || r.State != RolloutRunning {
		return
	}
	r.State, r.Step, r.Share, r.Elapsed, r.Reason = n.State, n.Step, n.Share, n.Elapsed, n.Reason
	r.Revision = s.Sequence
	if r.State == RolloutCompleted {
		// Targets that were announced during the roll-out are replaced as well if
		// they started before its end.
		for id, t := range s.Targets {
			if t.Service == r.Service && r.retires(t) {
				t.Phase = Gone
				s.Targets[id] = t
			}
		}
	}
	s.Rollouts[n.Service] = r
}
