package config

// Host is a member of the roster of entry hosts.
type Host struct {
	ID   string `json:"id"`
	Zone string `json:"zone"`
	// Peer is the address for other hosts, Callers the one for callers.
	Peer    string `json:"peer"`
	Callers string `json:"callers"`
	// Incarnation identifies the process that registered last.
	Incarnation string `json:"incarnation"`
	// Restarts counts the processes that followed the first one.
	Restarts int `json:"restarts,omitempty"`
}

// Zone is an availability zone.
type Zone struct {
	Name string `json:"name"`
	// Evacuated is true while operators keep traffic away from the zone.
	Evacuated bool `json:"out,omitempty"`
}

func (h Host) validate(path string, p *Problems) {
	p.name(path+".id", h.ID)
	p.name(path+".zone", h.Zone)
}
