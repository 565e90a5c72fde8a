package replica

// Storage makes a replica's state durable. Both functions return only after
// the state is synced to disk. After an error it is not known what the disk holds, and
// the replica is halted.
type Storage struct {
	// Save stores the vote and the entries. The first entry replaces any
	// stored entry with the same or a higher index.
	Save func(v Vote, entries []Entry) error
	// SaveSnapshot replaces all stored state by the snapshot, the vote and the
	// entries that follow the snapshot.
	SaveSnapshot func(s Snapshot, v Vote, entries []Entry) error
}

// PersistentState is the state that a replica reads from its disk when it
// starts.
type PersistentState struct {
	Vote     Vote
	Snapshot Snapshot
	Entries  []Entry
}
