package wal

import "fmt"

// Damaged is the error of a file whose acknowledged part cannot be read.
type Damaged struct {
	Path   string
	Offset int64
	Reason string
}

// Error implements error.
func (e Damaged) Error() string {
	return fmt.Sprintf("%s is damaged at byte %d: %s", e.Path, e.Offset, e.Reason)
}

// AlreadyInitialized is the error of bootstrapping a folder that already has an
// identity.
type AlreadyInitialized struct{ Path string }

// Error implements error.
func (e AlreadyInitialized) Error() string { return e.Path + " already holds an identity" }
