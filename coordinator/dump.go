package coordinator

import (
	"encoding/json"
	"maps"
	"net/http"
	"slices"

	"github.com/carawayrack/carawayrack/catalog"
	"github.com/carawayrack/carawayrack/clock"
)

// ServeState writes the state of the process as JSON. The status is 503 if the
// replica does not respond.
func (c *Coordinator) ServeState(w http.ResponseWriter, _ *http.Request) {
	d, err := c.State()
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	// Encode fails only if the client has closed the connection.
	_ = json.NewEncoder(w).Encode(d)
}

// Dump is the state of a control process for operators. AgeMs is the time since
// the state was last proven to be current, or since the machine started if it
// never was.
type Dump struct {
	ID             string                    `json:"id"`
	Role           string                    `json:"role"`
	Term           uint64                    `json:"term"`
	Leader         string                    `json:"leader"`
	Sequence       uint64                    `json:"sequence"`
	Version        uint64                    `json:"version"`
	AgeMs          clock.Millis              `json:"ageMillis"`
	Voters         map[string]string         `json:"voters"`
	Learners       map[string]string         `json:"learners"`
	Hosts          int                       `json:"hosts"`
	Targets        map[string]catalog.Target `json:"targets"`
	EvacuatedZones map[string]bool           `json:"zonesOut"`
	Rollouts       map[string]RolloutStatus  `json:"rollouts"`
	Suspects       []catalog.Suspect         `json:"suspects"`
}

func (r *Replica) dump(now clock.Millis) Dump {
	m := r.node.Members()
	t := make(map[string]catalog.Target, len(r.state.Targets))
	for id, x := range r.state.Targets {
		t[id] = x
	}
	z := map[string]bool{}
	for n := range r.state.EvacuatedZones {
		z[n] = true
	}
	return Dump{
		ID: r.ID, Role: string(r.node.Role()), Term: r.node.Term(), Leader: r.node.LeaderID(),
		Sequence: r.state.Sequence, Version: r.state.Version, AgeMs: now - r.freshAt,
		Voters: m.Voters, Learners: m.Learners, Hosts: len(r.fleet.lastFleet.Hosts), Targets: t, EvacuatedZones: z,
		Rollouts: r.rolloutStatus(), Suspects: slices.Collect(maps.Values(r.state.Suspects)),
	}
}
