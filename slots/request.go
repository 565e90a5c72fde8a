package slots

import "github.com/carawayrack/carawayrack/clock"

// Request is a host's request for a slot, in which a caller's request is to run.
type Request struct {
	// Ticket identifies the Request among those of its host.
	Ticket      uint64
	Service     string
	Account     string
	Host        string
	Incarnation string
	RequestID   string
	Fingerprint string
	// Wait is the longest time to wait for a slot, Deadline the longest time
	// for the request itself. Both are durations from now.
	Wait     clock.Millis
	Deadline clock.Millis
	// Idempotent requests may run on targets on probation, and count as
	// overdue if a target takes too long.
	Idempotent bool
	// Avoid lists the targets on which earlier attempts failed.
	Avoid []string
	// Reports are the releases of earlier attempts. They are processed before
	// this one is granted, so that a request that crashes targets is
	// quarantined in time.
	Reports []Release
}

// GrantID identifies a grant across changes of leaseholder.
type GrantID struct {
	Term, Number uint64
}

// Grant is the right to run one request on one target.
type Grant struct {
	ID          GrantID
	Service     string
	Target      string
	Addr        string
	Incarnation string
	// Deadline is the duration for which the slot may be used.
	Deadline clock.Millis
}

// Holding is a grant in use, as a host reports it to a new leaseholder.
type Holding struct {
	Grant      Grant
	Account    string
	Idempotent bool
	// Age is the time since the grant, Left the time until its deadline.
	Age, Left clock.Millis
}
