package replica

// Storage makes a replica's state durable. Both functions return only after
// the state is synced to disk.
type Storage struct {
	// Save stores the vote and the entries. The first entry replaces any
	// stored entry with the same or a higher index.
	Save func(v Vote, entries []Entry) error
	// SaveSnapshot stores the snapshot, the vote and the entries that follow,
	// and forgets all else.
	SaveSnapshot func(s Snapshot, v Vote, entries []Entry) error
}

// PersistentState is what a replica finds on its disk when it starts.
type PersistentState struct {
	Vote     Vote
	Snapshot Snapshot
	Entries  []Entry
}
