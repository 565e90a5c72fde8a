package catalog

import (
	"bytes"
	"compress/flate"
	"encoding/json"
	"io"

	"github.com/pkg/errors"
)

// Change is one entry of the replicated log. Any of its fields may be set.
type Change struct {
	// Document is a whole configuration, compressed.
	Document []byte `json:"document,omitempty"`
	// Version is the version of Document.
	Version uint64 `json:"version,omitempty"`
	// Evacuate and Restore name zones.
	Evacuate string   `json:"evacuate,omitempty"`
	Restore  string   `json:"restore,omitempty"`
	Targets  []Target `json:"targets,omitempty"`
}

// Encode returns the change as JSON.
func (c Change) Encode() ([]byte, error) {
	b, err := json.Marshal(c)
	return b, errors.Wrap(err, "catalog.Encode")
}

// DecodeChange reads a change.
func DecodeChange(b []byte) (Change, error) {
	var c Change
	err := json.Unmarshal(b, &c)
	return c, errors.Wrap(err, "catalog.DecodeChange")
}

// Compress packs a document for the log.
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

// Decompress unpacks what Compress packed.
func Decompress(b []byte) ([]byte, error) {
	r, err := io.ReadAll(flate.NewReader(bytes.NewReader(b)))
	return r, errors.Wrap(err, "catalog.Decompress")
}
