package wal

import (
	"encoding/binary"
	"hash/crc32"
	"os"

	"github.com/pkg/errors"
)

// marker stores how many bytes of the log were synced. A write is acknowledged
// only after the marker covers it: bytes beyond that were never acknowledged,
// bytes before it must be readable. The marker has two slots that are written in
// turn, so that a torn write leaves the older one.
type marker struct {
	file *os.File
	// sequence is the number of the last write, 0 if no slot is valid. The slot
	// with the higher number is the current one.
	sequence uint64
}

// slotSize is the size of a slot in bytes: sequence, size of the log, checksum.
const slotSize = 20

// openMarker opens or creates a marker and returns the size that it holds, 0 if
// no slot is valid.
func openMarker(path string) (*marker, int64, error) {
	f, err := os.OpenFile(path, os.O_RDWR|os.O_CREATE, 0o600)
	if err != nil {
		return nil, 0, errors.Wrap(err, "wal.openMarker")
	}
	m := &marker{file: f}
	size := int64(0)
	for i := int64(0); i < 2; i++ {
		b := make([]byte, slotSize)
		if _, err := f.ReadAt(b, i*slotSize); err != nil {
			continue
		}
		sequence := binary.LittleEndian.Uint64(b)
		valid := crc32.Checksum(b[:16], crcTable) == binary.LittleEndian.Uint32(b[16:])
		if valid && sequence > m.sequence {
			m.sequence = sequence
			size = int64(binary.LittleEndian.Uint64(b[8:]))
		}
	}
	return m, size, nil
}

// set stores and syncs the size of the log.
func (m *marker) set(size int64) error {
	m.sequence++
	b := make([]byte, slotSize)
	binary.LittleEndian.PutUint64(b, m.sequence)
	binary.LittleEndian.PutUint64(b[8:], uint64(size))
	binary.LittleEndian.PutUint32(b[16:], crc32.Checksum(b[:16], crcTable))
	if _, err := m.file.WriteAt(b, int64(m.sequence%2)*slotSize); err != nil {
		return errors.Wrap(err, "wal.set")
	}
	return errors.Wrap(m.file.Sync(), "wal.set")
}
