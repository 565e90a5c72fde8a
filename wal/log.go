// Package wal keeps the state of a replica on disk: one file of checksummed
// records, a marker of how much of it was acknowledged, and the identity that
// binds the replica to this disk.
package wal

import (
	"os"
	"path/filepath"
	"strconv"
	"strings"

	"github.com/pkg/errors"

	"github.com/carawayrack/carawayrack/replica"
)

// Log is the open log of one data folder. Each generation is a pair of files,
// log-N and synced-N; a snapshot starts a new generation.
type Log struct {
	Dir string

	file       *os.File
	marker     *marker
	size       int64
	generation int
}

// Open reads the newest generation in the folder. It cuts a torn tail that was
// never acknowledged; damage before that is a Damaged error.
func (l *Log) Open() (replica.PersistentState, error) {
	var d replica.PersistentState
	if err := os.MkdirAll(l.Dir, 0o700); err != nil {
		return d, errors.Wrap(err, "wal.Open")
	}
	l.generation = l.newest()
	fresh := !l.Exists()
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
	if fresh {
		err = m.set(0)
	} else if m.generation == 0 {
		err = Damaged{Path: l.path("synced"), Reason: "no slot is whole"}
	}
	if err != nil {
		return d, err
	}
	d, err = l.load(acked)
	if err != nil {
		return d, err
	}
	l.clean()
	return d, errors.Wrap(syncDir(l.Dir), "wal.Open")
}

// Exists reports whether the folder holds a log.
func (l *Log) Exists() bool { return len(l.generations("synced")) > 0 }

func (l *Log) path(kind string) string {
	return filepath.Join(l.Dir, kind+"-"+strconv.Itoa(l.generation))
}

// newest returns the highest generation whose marker exists: the marker is
// created after the log file it vouches for.
func (l *Log) newest() int {
	n := 0
	for _, g := range l.generations("synced") {
		n = max(n, g)
	}
	return n
}

func (l *Log) generations(kind string) []int {
	m, _ := filepath.Glob(filepath.Join(l.Dir, kind+"-*"))
	r := make([]int, 0, len(m))
	for _, p := range m {
		g, err := strconv.Atoi(strings.TrimPrefix(filepath.Base(p), kind+"-"))
		if err == nil {
			r = append(r, g)
		}
	}
	return r
}

func (l *Log) clean() {
	for _, k := range []string{"log", "synced"} {
		for _, g := range l.generations(k) {
			if g != l.generation {
				_ = os.Remove(filepath.Join(l.Dir, k+"-"+strconv.Itoa(g)))
			}
		}
	}
}

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

// Save appends and syncs a vote and entries.
func (l *Log) Save(v replica.Vote, e []replica.Entry) error {
	return l.write(record{Vote: v, Entries: e})
}

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
	n := &Log{Dir: l.Dir, generation: l.generation + 1}
	f, err := os.Create(n.path("log"))
	if err != nil {
		return errors.Wrap(err, "wal.SaveSnapshot")
	}
	n.file = f
	b, err := record{Vote: v, Snapshot: &s, Entries: e}.encode()
	if err != nil {
		return err
	}
	if _, err := f.Write(b); err != nil {
		return errors.Wrap(err, "wal.SaveSnapshot")
	}
	if err := f.Sync(); err != nil {
		return errors.Wrap(err, "wal.SaveSnapshot")
	}
	n.size = int64(len(b))
	if err := n.vouch(); err != nil {
		return err
	}
	l.Close()
	*l = *n
	l.clean()
	return errors.Wrap(syncDir(l.Dir), "wal.SaveSnapshot")
}

// vouch puts the marker of a new generation in place at once, whole.
func (l *Log) vouch() error {
	t := l.path("new-synced")
	_ = os.Remove(t)
	m, _, err := openMarker(t)
	if err != nil {
		return err
	}
	if err := m.set(l.size); err != nil {
		return err
	}
	l.marker = m
	if err := syncDir(l.Dir); err != nil {
		return errors.Wrap(err, "wal.vouch")
	}
	if err := os.Rename(t, l.path("synced")); err != nil {
		return errors.Wrap(err, "wal.vouch")
	}
	return errors.Wrap(syncDir(l.Dir), "wal.vouch")
}

// Close closes the files.
func (l *Log) Close() {
	_ = l.file.Close()
	_ = l.marker.file.Close()
}

func syncDir(path string) error {
	d, err := os.Open(path)
	if err != nil {
		return errors.WithStack(err)
	}
	defer d.Close()
	return errors.WithStack(d.Sync())
}

// MakeDir creates a folder that lasts.
func MakeDir(path string) error {
	if err := os.MkdirAll(path, 0o700); err != nil {
		return errors.Wrap(err, "wal.MakeDir")
	}
	return errors.Wrap(syncDir(filepath.Dir(path)), "wal.MakeDir")
}
