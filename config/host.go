package config

// Host is an entry host in the roster, the set of hosts that the control
// replicas have registered.
type Host struct {
	ID   string `json:"id"`
	Zone string `json:"zone"`
	// Peer is the address that other hosts call, Callers the address that
	// callers send requests to.
	Peer    string `json:"peer"`
	Callers string `json:"callers"`
	// Incarnation identifies the process of the host that registered last.
	Incarnation string `json:"incarnation"`
	// Restarts is the number of processes that the host has registered after
	// its first one.
	Restarts int `json:"restarts,omitempty"`
}

// Zone is an availability zone.
type Zone struct {
	Name string `json:"name"`
	// Evacuated is true while operators keep traffic away from the zone.
	Evacuated bool `json:"out,omitempty"`
}

// validate appends the host's problems to p; path names the host in the change.
func (h Host) validate(path string, p *Problems) {
	p.name(path+".id", h.ID)
	p.name(path+".zone", h.Zone)
}
