package wal

import (
	"crypto/rand"
	"encoding/hex"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// Identity binds a replica to its disk: a disk without identity gets a new
// one, so that a replica never votes with a memory it has lost.
type Identity struct {
	Dir string
	// Name is the replica's name from its settings.
	Name string
}

const identityFile = "identity"

// BootstrapID returns the ID that a replica of the first membership carries.
func BootstrapID(name string) string { return name + ".founder" }

// Load returns the ID on this disk, or an empty text if there is none.
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

// Bootstrap stores the ID of a founder. The error is AlreadyInitialized if the
// folder has an identity.
func (i Identity) Bootstrap() error {
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
	l.Close()
	return i.store(BootstrapID(i.Name))
}

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

// SetAside renames the whole data folder, so that the disk counts as empty and
// a person can still look at what it held.
func (i Identity) SetAside() error {
	to := i.Dir + ".set-aside-" + time.Now().UTC().Format("20060102T150405.000")
	return errors.Wrap(os.Rename(i.Dir, to), "wal.SetAside")
}
