package api

// Flags is the state that a host reports to its peers by gossip.
type Flags struct {
	// Stopping is true while the host shuts down. Callers that ask for
	// addresses are not given such hosts.
	Stopping bool
	// Load is the number of requests in flight.
	Load int
}
