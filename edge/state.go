package edge

import (
	"encoding/json"
	"net/http"

	"github.com/carawayrack/carawayrack/balance"
	"github.com/carawayrack/carawayrack/clock"
	"github.com/carawayrack/carawayrack/coordinator"
)

// State is the state of a host as operators see it.
type State struct {
	// Version is the version of the configuration, AgeMillis the age of the
	// newest proof that it is current.
	Version   uint64             `json:"version"`
	AgeMillis clock.Millis       `json:"ageMillis"`
	Ready     bool               `json:"ready"`
	Fleet     *coordinator.Fleet `json:"fleet"`
	// Targets holds the number of unhealthy targets and of all targets, by
	// service.
	Targets map[string][2]int `json:"targets"`
	// Unserved holds the share of requests in the zone that were not served, by
	// service.
	Unserved map[string]balance.UnservedShare `json:"unserved"`
}

// State returns the state of the host.
func (h *Host) State() State {
	now := h.Clock.Now()
	c, age := h.view.current(now)
	s := State{AgeMillis: age, Ready: h.Ready(), Targets: map[string][2]int{}, Unserved: map[string]balance.UnservedShare{}}
	if c != nil {
		s.Version = c.Version
	}
	h.view.mu.Lock()
	defer h.view.mu.Unlock()
	s.Fleet = h.view.fleet
	for n, p := range h.view.pools {
		unhealthy, all := p.Unhealthy()
		s.Targets[n] = [2]int{unhealthy, all}
		s.Unserved[n] = p.UnservedShare(now)
	}
	return s
}

// ServeState writes the state of the host as JSON.
func (h *Host) ServeState(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	// The error is of no use: the client has disconnected.
	_ = json.NewEncoder(w).Encode(h.State())
}
