package api

// Flags is the state that a host reports to its peers by gossip.
type Flags struct {
	// Stopping is true while the host shuts down. Its address is then left out
	// of the addresses that callers receive.
	Stopping bool
	// Load is the number of requests in flight.
	Load int
}
