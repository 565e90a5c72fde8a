package wal

import (
	"crypto/rand"
	"encoding/hex"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/carawayrack/carawayrack/replica"
)

// Identity is the replica ID stored on a disk. A disk without an ID gets a new
// one, so that a replica that has lost its disk never votes again under the ID
// under which it has already voted. The exception is Bootstrap, which stores the
// same ID each time.
type Identity struct {
	// Dir is the path of the data folder.
	Dir string
	// Name is the replica's name from its settings.
	Name string
}

const identityFile = "identity"

// BootstrapID returns the ID of the named replica if it belongs to the initial
// membership of the cluster.
func BootstrapID(name string) string { return name + ".founder" }

// Load returns the stored ID, empty if there is none.
func (i Identity) Load() (string, error) {
	b, err := os.ReadFile(filepath.Join(i.Dir, identityFile))
	if os.IsNotExist(err) {
		return "", nil
	}
	return strings.TrimSpace(string(b)), errors.Wrap(err, "wal.Load")
}

// Create stores and returns a new random ID.
func (i Identity) Create() (string, error) {
	b := make([]byte, 8)
	// rand.Read never returns an error on supported platforms.
	_, _ = rand.Read(b)
	id := i.Name + "." + hex.EncodeToString(b)
	return id, i.store(id)
}

// Bootstrap creates a log that holds nothing but the first membership and stores the
// BootstrapID of the replica. The membership comes from the log from then on: the
// settings of a later start may name other replicas. The error is AlreadyInitialized
// if the folder has an ID.
func (i Identity) Bootstrap(first replica.Members) error {
	id, err := i.Load()
	if err != nil {
		return err
	}
	if id != "" {
		return AlreadyInitialized{Path: i.Dir}
	}
	l := &Log{Dir: i.Dir}
	if _, err := l.Open(); err != nil {
		return err
	}
	defer l.Close()
	if err := l.write(record{Snapshot: &replica.Snapshot{Members: first}}); err != nil {
		return err
	}
	return i.store(BootstrapID(i.Name))
}

// store writes the ID to a temporary file and renames it, so that a crash leaves
// no partial ID.
func (i Identity) store(id string) error {
	if err := os.MkdirAll(i.Dir, 0o700); err != nil {
		return errors.Wrap(err, "wal.store")
	}
	p := filepath.Join(i.Dir, identityFile)
	f, err := os.Create(p + ".new")
	if err != nil {
		return errors.Wrap(err, "wal.store")
	}
	defer f.Close()
	if _, err := f.WriteString(id + "\n"); err != nil {
		return errors.Wrap(err, "wal.store")
	}
	if err := f.Sync(); err != nil {
		return errors.Wrap(err, "wal.store")
	}
	if err := os.Rename(p+".new", p); err != nil {
		return errors.Wrap(err, "wal.store")
	}
	return errors.Wrap(syncDir(i.Dir), "wal.store")
}

// setAsideMark stands in the names of data folders that were set aside.
const setAsideMark = ".set-aside-"

// WasSetAside reports whether the data folder was ever set aside: the replica then had
// an ID and a vote that are lost.
func (i Identity) WasSetAside() bool {
	// The only error is that of a malformed pattern, which Dir does not cause.
	l, _ := filepath.Glob(i.Dir + setAsideMark + "*")
	return len(l) > 0
}

// SetAside renames the data folder by adding .set-aside- and the time (UTC). The
// replica then starts with an empty disk, and the old data stays available for
// inspection.
func (i Identity) SetAside() error {
	to := i.Dir + setAsideMark + time.Now().UTC().Format("20060102T150405.000")
	return errors.Wrap(os.Rename(i.Dir, to), "wal.SetAside")
}
