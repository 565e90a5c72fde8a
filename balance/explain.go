package balance

import "github.com/carawayrack/carawayrack/clock"

// Obstacle is a reason why a request must not be sent to a target.
type Obstacle string

// The obstacles, as operators see them.
const (
	// OtherAddress: another target was found at the address.
	OtherAddress Obstacle = "otherAtAddress"
	Leaving      Obstacle = "leaving"
	Evacuated    Obstacle = "zoneEvacuated"
	// RolledBack: the version of the target was rolled back.
	RolledBack Obstacle = "versionRolledBack"
	// OtherVersion: a roll-out gives the request to targets of another version.
	OtherVersion Obstacle = "otherVersion"
	// Paused: the target wants no requests of this host for a while.
	Paused Obstacle = "paused"
	// Tried: the request was sent there before.
	Tried     Obstacle = "tried"
	Full      Obstacle = "full"
	Unhealthy Obstacle = "unhealthy"
	// Cold: this host may send no further request to the cold target for now.
	Cold Obstacle = "cold"
)

// Candidate is a target as Pick would consider it for a request.
type Candidate struct {
	ID      string `json:"id"`
	Zone    string `json:"zone"`
	Version string `json:"version,omitempty"`
	// Against is the reason why it is not used, "" if it may be used. Chosen is "unused",
	// "oldestObservation" or "lowestCost" for the target that would get the request.
	Against Obstacle `json:"against,omitempty"`
	Chosen  string   `json:"chosen,omitempty"`
	// Cost is the cost of usable targets, Parts what it consists of.
	Cost  float64            `json:"cost"`
	Parts map[string]float64 `json:"costParts,omitempty"`
	// SuccessesNeeded is 0 for healthy targets.
	SuccessesNeeded int  `json:"successesNeeded"`
	Owned           bool `json:"owned"`
	InFlight        int  `json:"inFlight"`
	Slots           int  `json:"slots"`
	// PauseLeft is the rest of a pause.
	PauseLeft clock.Millis `json:"pauseLeftMillis,omitempty"`
	// ObservedAge is the age of the last success or failure, LoadAge that of the load
	// that the target reported last; -1 if there is none.
	ObservedAge clock.Millis `json:"observedAgeMillis"`
	LoadAge     clock.Millis `json:"loadAgeMillis"`
}

// Explain returns all targets as Pick would consider them for a request. It changes
// nothing.
func (p *Pool) Explain(now clock.Millis, a Request) []Candidate {
	defer p.restore(p.anyHealthy, p.trials())
	p.updateAnyHealthy()
	var best *target
	var why criterion
	for _, a.side = range p.sides(a) {
		x := p.prepare(a)
		if best, why = p.choose(now, x); best != nil {
			a = x
			break
		}
	}
	var l []Candidate
	for _, t := range p.order {
		c := Candidate{
			ID: t.ID, Zone: t.Zone, Version: t.Version, Against: p.obstacle(now, t, a), SuccessesNeeded: t.successesNeeded, Owned: t.owned,
			InFlight: t.totalInFlight(now), Slots: t.slots(), PauseLeft: max(t.pausedUntil-now, 0),
			ObservedAge: timeSince(now, t.lastObservedAt()), LoadAge: -1,
		}
		if t.load.Known {
			c.LoadAge = now - t.loadAt
		}
		if c.Against == "" {
			parts := costParts{}
			c.Cost = p.cost(now, t, a, parts)
			c.Parts = parts
		}
		if t == best {
			c.Chosen = string(why)
		}
		l = append(l, c)
	}
	return l
}

// trials returns the targets that are selected for a small share of a roll-out.
func (p *Pool) trials() map[*target]bool {
	m := map[*target]bool{}
	for _, t := range p.order {
		m[t] = t.trial
	}
	return m
}

// restore undoes what choosing a target prepares.
func (p *Pool) restore(anyHealthy bool, trials map[*target]bool) {
	p.anyHealthy = anyHealthy
	for t, was := range trials {
		t.trial = was
	}
}

// timeSince returns the time since at, -1 if at is 0.
func timeSince(now, at clock.Millis) clock.Millis {
	if at == 0 {
		return -1
	}
	return now - at
}
