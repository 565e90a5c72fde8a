package lease

// Kind tells messages between the members of a group apart.
type Kind int

// The kinds of messages.
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
	// Incarnation identifies the asking process.
	Incarnation string
	Term        uint64
	// Round numbers the asks of a process.
	Round   uint64
	Granted bool
	// Highest is the highest term that the answering member knows.
	Highest uint64
}
