package lease

// Kind is the type of a message between the members of a group. Its values are
// sent between processes and must not change.
type Kind int

// The kinds of messages: a request for a grant, the response, and the notice
// that the leaseholder gives up its lease.
const (
	Request Kind = iota + 1
	Response
	Resign
)

// Message is a message between the members of a shard's group.
type Message struct {
	Shard    int
	Kind     Kind
	From, To string
	// Incarnation is that of the requesting process, also in a response.
	Incarnation string
	Term        uint64
	// Round is the number of the requesting process's round of requests; all
	// requests of a round carry the same. The response repeats it.
	Round   uint64
	Granted bool
	// Highest is the highest term that the responding member knows.
	Highest uint64
}
