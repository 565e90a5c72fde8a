package config

import (
	"bytes"
	"encoding/json"
	"io"

	"github.com/pkg/errors"
)

// TrailingData is the error for input with data after its JSON value.
type TrailingData struct{}

// Error returns the error text.
func (TrailingData) Error() string { return "data after the JSON value" }

// decodeStrict decodes exactly one JSON value without unknown fields.
func decodeStrict(b []byte, v any) error {
	d := json.NewDecoder(bytes.NewReader(b))
	d.DisallowUnknownFields()
	if err := d.Decode(v); err != nil {
		return errors.WithStack(err)
	}
	if _, err := d.Token(); err != io.EOF {
		return TrailingData{}
	}
	return nil
}
