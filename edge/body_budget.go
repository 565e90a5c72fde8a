package edge

import (
	"io"
	"strconv"
	"sync/atomic"

	"github.com/pkg/errors"
)

const (
	// freeBuffer is the number of bytes of each body that are buffered without
	// the budget. Nearly all bodies are smaller.
	freeBuffer = 64 << 10
	// defaultBuffers is the budget of a host that does not know its memory, in
	// bytes.
	defaultBuffers = 32 << 20
	// bufferShare is the share of the memory of a host that each budget may take.
	// The garbage collector may need as much again, and there are two budgets.
	bufferShare = 0.125
)

// bodyBudget bounds the bytes of bodies that are buffered at the same time. Bodies
// without end must not take the memory of the requests of other callers.
type bodyBudget struct {
	// limit is in bytes. It must be set before the budget is used.
	limit int64
	// free is the number of bytes of each body that are buffered without the budget.
	free int
	// reclaim, if set, closes a connection whose caller does not read its responses.
	// It returns false if there is none.
	reclaim func() bool
	used    atomic.Int64
}

// newBodyBudget returns the budget of a host with the given memory in bytes, 0 if
// unknown.
func newBodyBudget(memory int64) *bodyBudget {
	if memory <= 0 {
		return &bodyBudget{limit: defaultBuffers, free: freeBuffer}
	}
	return &bodyBudget{limit: int64(float64(memory) * bufferShare), free: freeBuffer}
}

// take reserves n bytes. It returns false if fewer are left.
func (b *bodyBudget) take(n int) bool {
	if b.used.Add(int64(n)) <= b.limit {
		return true
	}
	b.used.Add(-int64(n))
	return false
}

// scarce reports whether more than half of the budget is in use.
func (b *bodyBudget) scarce() bool { return b.used.Load() > b.limit/2 }

func (b *bodyBudget) give(n int) { b.used.Add(-int64(n)) }

// BufferFull is the error of a body that the host has no memory for.
type BufferFull struct{ Limit int64 }

// Error describes the error.
func (e BufferFull) Error() string {
	return "bodies that arrive at the same time have more than " + strconv.FormatInt(e.Limit, 10) + " bytes"
}

// buffered is a body that is being read, or was read, into memory.
type buffered struct {
	bytes []byte
	// reserved is the number of bytes taken from the budget.
	reserved int
	// whole is true once the body was read to its end.
	whole bool
}

// read reads from r until its end or until limit bytes are buffered. The error is
// that of r, or BufferFull if the budget is used up; the bytes read before are
// kept.
func (b *bodyBudget) read(r io.Reader, limit int) (x buffered, err error) {
	x.bytes = make([]byte, 0, min(readSize, limit))
	for len(x.bytes) < limit {
		if len(x.bytes) == cap(x.bytes) && !b.grow(&x, limit) {
			return x, errors.WithStack(BufferFull{b.limit})
		}
		n, err := r.Read(x.bytes[len(x.bytes):cap(x.bytes)])
		x.bytes = x.bytes[:len(x.bytes)+n]
		if errors.Is(err, io.EOF) {
			x.whole = true
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
func (b *bodyBudget) grow(x *buffered, limit int) bool {
	size := min(2*cap(x.bytes), limit)
	more := max(size-b.free, 0) - x.reserved
	if !b.take(more) {
		return false
	}
	x.reserved += more
	x.bytes = append(make([]byte, 0, size), x.bytes...)
	return true
}
