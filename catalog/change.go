package catalog

import (
	"bytes"
	"compress/flate"
	"encoding/json"
	"io"

	"github.com/pkg/errors"
)

// Change is one entry of the replicated log. Any combination of its fields may
// be set; fields that are not set change nothing.
type Change struct {
	// Document is a whole configuration document, packed by Compress.
	Document []byte `json:"document,omitempty"`
	// Version is the version of Document. A version that is not above the one
	// in force has no effect.
	Version uint64 `json:"version,omitempty"`
	// Delta replaces Document in changes that are sent to hosts: it makes the
	// document from that of version Base, and is packed by Compress.
	Delta []byte `json:"delta,omitempty"`
	Base  uint64 `json:"base,omitempty"`
	// Evacuate names a zone that gets no new work from now on, Restore one that
	// gets work again.
	Evacuate string `json:"evacuate,omitempty"`
	Restore  string `json:"restore,omitempty"`
	// Revision makes Evacuate and Restore have no effect unless it is the
	// revision of the zone. Without it they always have one.
	Revision *uint64 `json:"revision,omitempty"`
	// Targets are announcements of targets.
	Targets []Target `json:"targets,omitempty"`
	// Unlist names targets, with their Born, whose service the configuration lacks.
	Unlist map[string]int64 `json:"unlist,omitempty"`
	// Order starts a roll-out, Step is the next step of one. Number and Revision of
	// a step are those of the roll-out that it continues.
	Order *Rollout `json:"order,omitempty"`
	Step  *Rollout `json:"step,omitempty"`
	// Quarantine begins a quarantine, with the trial whose number it has unless that is
	// zero. Cleared ends the quarantine of a request that a target has answered.
	Quarantine *Suspect `json:"quarantine,omitempty"`
	Cleared    *Suspect `json:"cleared,omitempty"`
}

// Encode returns the change as JSON.
func (c Change) Encode() ([]byte, error) {
	b, err := json.Marshal(c)
	return b, errors.Wrap(err, "catalog.Encode")
}

// DecodeChange parses a change that Encode returned.
func DecodeChange(b []byte) (Change, error) {
	var c Change
	err := json.Unmarshal(b, &c)
	return c, errors.Wrap(err, "catalog.DecodeChange")
}

// Compress packs bytes with DEFLATE at its fastest level, as documents are
// stored in the log and states are sent to hosts.
func Compress(b []byte) ([]byte, error) {
	var w bytes.Buffer
	z, err := flate.NewWriter(&w, flate.BestSpeed)
	if err != nil {
		return nil, errors.Wrap(err, "catalog.Compress")
	}
	if _, err := z.Write(b); err != nil {
		return nil, errors.Wrap(err, "catalog.Compress")
	}
	if err := z.Close(); err != nil {
		return nil, errors.Wrap(err, "catalog.Compress")
	}
	return w.Bytes(), nil
}

// Decompress unpacks bytes that Compress packed. It returns an error if they
// are truncated or damaged.
func Decompress(b []byte) ([]byte, error) {
	r, err := io.ReadAll(flate.NewReader(bytes.NewReader(b)))
	return r, errors.Wrap(err, "catalog.Decompress")
}
