package wal

import (
	"encoding/binary"
	"encoding/json"
	"hash/crc32"

	"github.com/pkg/errors"

	"github.com/carawayrack/carawayrack/replica"
)

const (
	// headerSize is the size in bytes of a record's length and checksum.
	headerSize = 8
	// maxRecordSize is the largest size of a record's JSON in bytes that decode
	// accepts; encode does not check it.
	maxRecordSize = 256 << 20
)

var crcTable = crc32.MakeTable(crc32.Castagnoli)

// record is one write to the log: the vote, a snapshot that replaces all stored
// entries if there is one, and entries. The first entry replaces all stored
// entries with the same or a higher index.
type record struct {
	Vote     replica.Vote      `json:"vote"`
	Snapshot *replica.Snapshot `json:"snapshot,omitempty"`
	Entries  []replica.Entry   `json:"entries,omitempty"`
}

// encode returns the length and the checksum of the record, followed by its
// JSON.
func (r record) encode() ([]byte, error) {
	b, err := json.Marshal(r)
	if err != nil {
		return nil, errors.Wrap(err, "wal.encode")
	}
	h := make([]byte, headerSize, headerSize+len(b))
	binary.LittleEndian.PutUint32(h, uint32(len(b)))
	binary.LittleEndian.PutUint32(h[4:], crc32.Checksum(b, crcTable))
	return append(h, b...), nil
}

// decode reads the record at the start of b and returns it with its size in
// bytes. If the record is incomplete or damaged, reason says why; otherwise it is
// empty.
func decode(b []byte) (r record, size int64, reason string) {
	if len(b) < headerSize {
		return r, 0, "short header"
	}
	n := int64(binary.LittleEndian.Uint32(b))
	if n > maxRecordSize || int64(len(b)) < headerSize+n {
		return r, 0, "short record"
	}
	p := b[headerSize : headerSize+n]
	if crc32.Checksum(p, crcTable) != binary.LittleEndian.Uint32(b[4:]) {
		return r, 0, "wrong checksum"
	}
	if err := json.Unmarshal(p, &r); err != nil {
		return r, 0, "unreadable record: " + err.Error()
	}
	return r, headerSize + n, ""
}
