// Package buffer bounds the memory for bodies of requests and responses that a host
// buffers at the same time.
package buffer

import (
	"io"
	"strconv"
	"sync/atomic"

	"github.com/pkg/errors"
)

const (
	// DefaultFree is the number of bytes of each body that are buffered without
	// the budget, unless Budget.Free is changed. Nearly all bodies are smaller.
	DefaultFree = 64 << 10
	// DefaultLimit is the budget of a host that does not know its memory, in bytes.
	DefaultLimit = 32 << 20
	// memoryShare is the share of the memory of a host that each budget may take.
	// The garbage collector may need as much again, and there are two budgets.
	memoryShare = 0.125
)

// Budget bounds the bytes of bodies that are buffered at the same time. Bodies
// without end must not take the memory of the requests of other callers. The fields
// must be set before the budget is used; it may then be used from several goroutines.
type Budget struct {
	// Limit is in bytes.
	Limit int64
	// Free is the number of bytes of each body that are buffered without the budget.
	Free int
	// Reclaim, if set, closes a connection whose caller does not read its responses.
	// It returns false if there is none. Users of Take call it when nothing is left.
	Reclaim func() bool
	used    atomic.Int64
}

// NewBudget returns the budget of a host with the given memory in bytes, 0 if
// unknown.
func NewBudget(memory int64) *Budget {
	if memory <= 0 {
		return &Budget{Limit: DefaultLimit, Free: DefaultFree}
	}
	return &Budget{Limit: int64(float64(memory) * memoryShare), Free: DefaultFree}
}

// Take reserves n bytes. It returns false if fewer are left.
func (b *Budget) Take(n int) bool {
	if b.used.Add(int64(n)) <= b.Limit {
		return true
	}
	b.used.Add(-int64(n))
	return false
}

// Used returns the number of bytes that are reserved.
func (b *Budget) Used() int64 { return b.used.Load() }

// Scarce reports whether more than half of the budget is in use.
func (b *Budget) Scarce() bool { return b.used.Load() > b.Limit/2 }

// Give returns n reserved bytes.
func (b *Budget) Give(n int) { b.used.Add(-int64(n)) }

// Full is the error of a body that the host has no memory for. Limit is that of the
// budget, in bytes.
type Full struct{ Limit int64 }

// Error describes the error.
func (e Full) Error() string {
	return "bodies that arrive at the same time have more than " + strconv.FormatInt(e.Limit, 10) + " bytes"
}

// Body is a body that is being read, or was read, into memory.
type Body struct {
	Bytes []byte
	// Reserved is the number of bytes taken from the budget. The user of the body
	// gives them back.
	Reserved int
	// Whole is true once the body was read to its end.
	Whole bool
}

// Read reads from r until its end or until limit bytes are buffered. The error is
// that of r, or Full if the budget is used up; the bytes read before are kept in both
// cases.
func (b *Budget) Read(r io.Reader, limit int) (x Body, err error) {
	x.Bytes = make([]byte, 0, min(readSize, limit))
	for len(x.Bytes) < limit {
		if len(x.Bytes) == cap(x.Bytes) && !b.grow(&x, limit) {
			return x, errors.WithStack(Full{b.Limit})
		}
		n, err := r.Read(x.Bytes[len(x.Bytes):cap(x.Bytes)])
		x.Bytes = x.Bytes[:len(x.Bytes)+n]
		if errors.Is(err, io.EOF) {
			x.Whole = true
			return x, nil
		}
		if err != nil {
			return x, err
		}
	}
	return x, nil
}

// readSize is the size of the first buffer of a body, in bytes.
const readSize = 4 << 10

// grow doubles the buffer. It returns false if the budget is used up.
func (b *Budget) grow(x *Body, limit int) bool {
	size := min(2*cap(x.Bytes), limit)
	more := max(size-b.Free, 0) - x.Reserved
	if !b.Take(more) {
		return false
	}
	x.Reserved += more
	x.Bytes = append(make([]byte, 0, size), x.Bytes...)
	return true
}
