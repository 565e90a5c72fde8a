package catalog

import (
	"encoding/binary"
	"hash/crc32"
)

// deltaBlock is the length of the pieces of the old document by which MakeDelta
// finds what both documents share, in bytes.
const deltaBlock = 16

// DeltaMismatch is the error of a delta that was made from another document or is
// damaged.
type DeltaMismatch struct{}

// Error describes the error.
func (DeltaMismatch) Error() string { return "the delta does not fit the document" }

// MakeDelta returns what ApplyDelta needs to make next from old. It holds the
// checksum of next and then, by turns, the length of a literal with its bytes and
// the offset and length of a piece of old.
func MakeDelta(old, next []byte) []byte {
	at := map[string]int{}
	for i := 0; i+deltaBlock <= len(old); i += deltaBlock {
		at[string(old[i:i+deltaBlock])] = i
	}
	b := binary.BigEndian.AppendUint32(nil, crc32.ChecksumIEEE(next))
	literal := 0
	for i := 0; i < len(next); {
		o, n := 0, 0
		if i+deltaBlock <= len(next) {
			if k, ok := at[string(next[i:i+deltaBlock])]; ok {
				o, n = k, commonPrefix(old[k:], next[i:])
			}
		}
		if n == 0 {
			i++
			continue
		}
		for i > literal && o > 0 && old[o-1] == next[i-1] {
			i, o, n = i-1, o-1, n+1
		}
		b = appendPiece(b, next[literal:i], o, n)
		i += n
		literal = i
	}
	return appendPiece(b, next[literal:], 0, 0)
}

func commonPrefix(a, b []byte) int {
	n := 0
	for n < len(a) && n < len(b) && a[n] == b[n] {
		n++
	}
	return n
}

func appendPiece(b, literal []byte, offset, length int) []byte {
	b = binary.AppendUvarint(b, uint64(len(literal)))
	b = append(b, literal...)
	b = binary.AppendUvarint(b, uint64(offset))
	return binary.AppendUvarint(b, uint64(length))
}

// ApplyDelta returns the document that MakeDelta was given as next. The error is
// DeltaMismatch.
func ApplyDelta(old, delta []byte) ([]byte, error) {
	if len(delta) < 4 {
		return nil, DeltaMismatch{}
	}
	sum, rest := binary.BigEndian.Uint32(delta), delta[4:]
	var next []byte
	for len(rest) > 0 {
		n, ok := takeLength(&rest)
		if !ok || n > len(rest) {
			return nil, DeltaMismatch{}
		}
		next, rest = append(next, rest[:n]...), rest[n:]
		o, ok := takeLength(&rest)
		if !ok {
			return nil, DeltaMismatch{}
		}
		n, ok = takeLength(&rest)
		if !ok || o > len(old) || n > len(old)-o {
			return nil, DeltaMismatch{}
		}
		next = append(next, old[o:o+n]...)
	}
	if crc32.ChecksumIEEE(next) != sum {
		return nil, DeltaMismatch{}
	}
	return next, nil
}

// takeLength takes a length from the start of b.
func takeLength(b *[]byte) (int, bool) {
	v, k := binary.Uvarint(*b)
	if k <= 0 || v > 1<<31 {
		return 0, false
	}
	*b = (*b)[k:]
	return int(v), true
}
