// Package wal stores the state of a replica on disk: a log file of checksummed
// records, a marker of how much of it was synced, and the ID that binds the
// replica to this disk.
package wal

import (
	"os"
	"path/filepath"
	"strconv"
	"strings"

	"github.com/pkg/errors"

	"github.com/carawayrack/carawayrack/replica"
)

// Log is the log of one data folder. Each generation N is a pair of files: log-N
// holds the records and synced-N the marker. A snapshot starts a new generation.
// Its methods must not be called concurrently.
type Log struct {
	// Dir is the path of the data folder.
	Dir string

	file   *os.File
	marker *marker
	// size is the number of valid bytes in the log file.
	size       int64
	generation int
}

// Open opens the newest generation in the folder, or a new log if there is none,
// and returns the stored state. It truncates an incomplete or damaged tail that
// was never acknowledged; damage before that is a Damaged error. After an error no
// file is open.
func (l *Log) Open() (d replica.PersistentState, err error) {
	defer func() {
		if err != nil {
			l.Close()
		}
	}()
	if err := os.MkdirAll(l.Dir, 0o700); err != nil {
		return d, errors.Wrap(err, "wal.Open")
	}
	l.generation = l.newestGeneration()
	isNew := !l.Exists()
	f, err := os.OpenFile(l.path("log"), os.O_RDWR|os.O_CREATE, 0o600)
	if err != nil {
		return d, errors.Wrap(err, "wal.Open")
	}
	l.file = f
	m, acked, err := openMarker(l.path("synced"))
	if err != nil {
		return d, err
	}
	l.marker = m
	if isNew {
		err = m.set(0)
	} else if m.sequence == 0 {
		err = Damaged{Path: l.path("synced"), Reason: "no valid marker slot"}
	}
	if err != nil {
		return d, err
	}
	if d, err = l.load(acked); err != nil {
		return d, err
	}
	l.removeOtherGenerations()
	return d, errors.Wrap(syncDir(l.Dir), "wal.Open")
}

// Exists reports whether the folder holds a log.
func (l *Log) Exists() bool { return len(l.generations("synced")) > 0 }

func (l *Log) path(kind string) string {
	return filepath.Join(l.Dir, kind+"-"+strconv.Itoa(l.generation))
}

// newestGeneration returns the highest generation that has a marker, 0 if there
// is none. The marker of a snapshot's generation is created after its log file
// was synced, so that an incomplete generation has no marker.
func (l *Log) newestGeneration() int {
	n := 0
	for _, g := range l.generations("synced") {
		n = max(n, g)
	}
	return n
}

// generations returns the numbers of the files of a kind, log or synced.
func (l *Log) generations(kind string) []int {
	paths, _ := filepath.Glob(filepath.Join(l.Dir, kind+"-*"))
	r := make([]int, 0, len(paths))
	for _, p := range paths {
		g, err := strconv.Atoi(strings.TrimPrefix(filepath.Base(p), kind+"-"))
		if err == nil {
			r = append(r, g)
		}
	}
	return r
}

// removeOtherGenerations removes the files of all generations but the open one.
func (l *Log) removeOtherGenerations() {
	for _, k := range []string{"log", "synced"} {
		for _, g := range l.generations(k) {
			if g != l.generation {
				_ = os.Remove(filepath.Join(l.Dir, k+"-"+strconv.Itoa(g)))
			}
		}
	}
}

// load reads the log file, of which acked bytes were acknowledged, and truncates
// it after the last valid record.
func (l *Log) load(acked int64) (replica.PersistentState, error) {
	var d replica.PersistentState
	b, err := os.ReadFile(l.path("log"))
	if err != nil {
		return d, errors.Wrap(err, "wal.load")
	}
	at := int64(0)
	for at < int64(len(b)) {
		r, n, reason := decode(b[at:])
		if reason != "" && at < acked {
			return d, Damaged{Path: l.path("log"), Offset: at, Reason: reason}
		}
		if reason != "" {
			break
		}
		d = replay(d, r)
		at += n
	}
	if at < acked {
		return d, Damaged{Path: l.path("log"), Offset: at, Reason: "acknowledged records are missing"}
	}
	l.size = at
	if err := l.file.Truncate(at); err != nil {
		return d, errors.Wrap(err, "wal.load")
	}
	return d, errors.Wrap(l.file.Sync(), "wal.load")
}

// replay applies a record to the state read so far.
func replay(d replica.PersistentState, r record) replica.PersistentState {
	d.Vote = r.Vote
	if r.Snapshot != nil {
		d.Snapshot = *r.Snapshot
		d.Entries = nil
	}
	if len(r.Entries) == 0 {
		return d
	}
	first := r.Entries[0].Index
	k := len(d.Entries)
	for k > 0 && d.Entries[k-1].Index >= first {
		k--
	}
	d.Entries = append(d.Entries[:k:k], r.Entries...)
	return d
}

// Save appends a vote and entries to the log and syncs it.
func (l *Log) Save(v replica.Vote, e []replica.Entry) error {
	return l.write(record{Vote: v, Entries: e})
}

// write appends and syncs a record, then records the new size in the marker.
func (l *Log) write(r record) error {
	b, err := r.encode()
	if err != nil {
		return err
	}
	if _, err := l.file.WriteAt(b, l.size); err != nil {
		return errors.Wrap(err, "wal.write")
	}
	if err := l.file.Sync(); err != nil {
		return errors.Wrap(err, "wal.write")
	}
	l.size += int64(len(b))
	return l.marker.set(l.size)
}

// SaveSnapshot starts a new generation that begins with the snapshot.
func (l *Log) SaveSnapshot(s replica.Snapshot, v replica.Vote, e []replica.Entry) error {
	next := &Log{Dir: l.Dir, generation: l.generation + 1}
	if err := next.create(record{Vote: v, Snapshot: &s, Entries: e}); err != nil {
		next.Close()
		return err
	}
	l.Close()
	*l = *next
	l.removeOtherGenerations()
	return errors.Wrap(syncDir(l.Dir), "wal.SaveSnapshot")
}

// create writes the files of a new generation, which begins with a record.
func (l *Log) create(r record) error {
	f, err := os.Create(l.path("log"))
	if err != nil {
		return errors.Wrap(err, "wal.create")
	}
	l.file = f
	b, err := r.encode()
	if err != nil {
		return err
	}
	if _, err := f.Write(b); err != nil {
		return errors.Wrap(err, "wal.create")
	}
	if err := f.Sync(); err != nil {
		return errors.Wrap(err, "wal.create")
	}
	l.size = int64(len(b))
	return l.commitGeneration()
}

// commitGeneration creates the marker of a new generation. The marker gets its
// final name only when it is complete, so that a crash leaves either no marker or
// a valid one.
func (l *Log) commitGeneration() error {
	tmp := l.path("new-synced")
	_ = os.Remove(tmp)
	m, _, err := openMarker(tmp)
	if err != nil {
		return err
	}
	l.marker = m
	if err := m.set(l.size); err != nil {
		return err
	}
	if err := syncDir(l.Dir); err != nil {
		return errors.Wrap(err, "wal.commitGeneration")
	}
	if err := os.Rename(tmp, l.path("synced")); err != nil {
		return errors.Wrap(err, "wal.commitGeneration")
	}
	return errors.Wrap(syncDir(l.Dir), "wal.commitGeneration")
}

// Close closes the files of the log that are open.
func (l *Log) Close() {
	if l.file != nil {
		_ = l.file.Close()
	}
	if l.marker != nil {
		_ = l.marker.file.Close()
	}
}

// syncDir syncs a folder, so that the creation and renaming of files in it
// survive a crash.
func syncDir(path string) error {
	d, err := os.Open(path)
	if err != nil {
		return errors.WithStack(err)
	}
	defer d.Close()
	return errors.WithStack(d.Sync())
}

// MakeDir creates a folder and syncs its parent folder.
func MakeDir(path string) error {
	if err := os.MkdirAll(path, 0o700); err != nil {
		return errors.Wrap(err, "wal.MakeDir")
	}
	return errors.Wrap(syncDir(filepath.Dir(path)), "wal.MakeDir")
}
