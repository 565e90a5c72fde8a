package balance

import (
	"github.com/carawayrack/carawayrack/catalog"
	"github.com/carawayrack/carawayrack/clock"
)

// Notice is what a target says of itself in a response. It binds the host that
// got the response, whatever other hosts and control processes report.
type Notice struct {
	// Leaving is true if the target leaves and wants no new requests.
	Leaving bool
	// Pause is how long the target wants no requests of this host.
	Pause clock.Millis
}

const (
	// pauseJitterShare is the largest part of a pause by which its end is delayed
	// at random, up to maxPauseJitter: the hosts that a target has turned away must
	// not all return at once.
	pauseJitterShare = 0.1
	maxPauseJitter   = 200 * clock.Millis(1)
)

// Heed records a notice of the incarnation of a target that started at born. It
// holds for that incarnation only. It reports whether anything changed.
func (p *Pool) Heed(now clock.Millis, id string, born int64, n Notice) bool {
	t := p.targets[id]
	if t == nil || t.Born != born {
		return false
	}
	changed := n.Leaving && !t.leaving
	t.leaving = t.leaving || n.Leaving
	if n.Pause <= 0 {
		return changed
	}
	jitter := min(clock.Millis(float64(n.Pause)*pauseJitterShare), maxPauseJitter)
	if p.Random != nil && jitter > 0 {
		n.Pause += clock.Millis(p.Random(int(jitter)))
	}
	t.pausedUntil = max(t.pausedUntil, now+n.Pause)
	return true
}

// Wanted returns nil if a request that was placed at a target may still be sent,
// otherwise the reason why not. It is checked again right before a request is sent,
// since the target may have responded to another one in between.
func (p *Pool) Wanted(now clock.Millis, id string, born int64) error {
	t := p.targets[id]
	if t == nil || t.Born != born {
		// Only the ID in the request tells which incarnation is at the address.
		return nil
	}
	if t.leaving || t.Phase != catalog.Serving {
		return TargetLeaving{id}
	}
	if t.banned || p.replaced(t) {
		return VersionWithdrawn{id, t.Version}
	}
	if now < t.pausedUntil {
		return TargetPaused{id, t.pausedUntil - now}
	}
	return nil
}

// TargetLeaving is the error of a request to a target that leaves.
type TargetLeaving struct{ ID string }

// Error names the target.
func (e TargetLeaving) Error() string { return e.ID + " is leaving" }

// VersionWithdrawn is the error of a request to a target whose version gets no
// requests any more because of a roll-out.
type VersionWithdrawn struct{ ID, Version string }

// Error names the target and its version.
func (e VersionWithdrawn) Error() string { return e.ID + " has the withdrawn version " + e.Version }

// TargetPaused is the error of a request to a target that wants none for the time
// Left.
type TargetPaused struct {
	ID   string
	Left clock.Millis
}

// Error names the target.
func (e TargetPaused) Error() string { return e.ID + " wants no requests for now" }

// inUse reports whether a target accepts requests at all, apart from its health, its
// load and pauses.
func (p *Pool) inUse(t *target) bool { return p.outOfUse(t) == "" }

// outOfUse returns the reason why a target accepts no requests, "" if it does.
func (p *Pool) outOfUse(t *target) Obstacle {
	switch {
	case t.misdirected:
		return OtherAddress
	case t.leaving, t.Phase != catalog.Serving:
		return Leaving
	case p.evacuated[t.Zone]:
		return Evacuated
	case t.banned:
		return RolledBack
	}
	return ""
}

// Closed reports whether no target can accept a request now because all are leaving,
// or because all healthy ones have asked for a pause. Wait is the time until the
// first pause ends, 0 if there is none.
func (p *Pool) Closed(now clock.Millis) (wait clock.Millis, closed bool) {
	for _, t := range p.order {
		if !p.inUse(t) || t.successesNeeded > 0 && now >= t.pausedUntil {
			continue
		}
		if now >= t.pausedUntil {
			return 0, false
		}
		if left := t.pausedUntil - now; wait == 0 || left < wait {
			wait = left
		}
	}
	if wait > 0 {
		return wait, true
	}
	for _, t := range p.order {
		if p.inUse(t) {
			return 0, false
		}
	}
	return 0, len(p.order) > 0
}
