package edge

// Limits bound what callers may occupy at a host. Zero means no limit.
type Limits struct {
	// Callers and Ready are the numbers of connections at these listeners.
	Callers, Ready int
	// Calls is the number of requests that are sent to targets or wait for one at the
	// same time: each needs a connection to a target.
	Calls int
	// IdleTargets is the number of idle connections to targets.
	IdleTargets int
	// Heads is the memory for the heads of requests, in bytes.
	Heads int64
	// FreeBody is the number of bytes of each body that are buffered beside the
	// common memory for bodies.
	FreeBody int
}
