package connlimit

import "sync/atomic"

// Budget bounds the bytes that may be in use at the same time.
type Budget struct {
	// Limit is in bytes. It must be set before the budget is used.
	Limit int64

	used atomic.Int64
}

// Take reserves n bytes. It returns false if fewer are left.
func (b *Budget) Take(n int64) bool {
	if b.used.Add(n) <= b.Limit {
		return true
	}
	b.used.Add(-n)
	return false
}

// Give returns n bytes.
func (b *Budget) Give(n int64) { b.used.Add(-n) }

// Scarce reports whether more than half of the budget is in use.
func (b *Budget) Scarce() bool { return b.used.Load() > b.Limit/2 }

const (
	// fieldBytes is the estimated memory of one parsed header field beside its text,
	// with the copy that is made to forward it. 400 heads of 2,700 fields each took
	// about 150 bytes for each field without that copy.
	fieldBytes = 256
	// FreeHead is the part of the memory of a head that each connection has without
	// a budget, in bytes. The heads of ordinary requests have up to 20 fields.
	FreeHead = 8 << 10
)

// HeadBytes returns the memory that a part of the head of a request takes once it
// is parsed.
func HeadBytes(b []byte) int64 {
	n := int64(len(b))
	for _, x := range b {
		if x == '\n' {
			n += fieldBytes
		}
	}
	return n
}
