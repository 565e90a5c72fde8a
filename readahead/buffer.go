// Package readahead reads the body of a response ahead of a slow reader, so that its
// source is finished early, within a budget of memory that many bodies share.
package readahead

import (
	"io"
	"os"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/carawayrack/carawayrack/clock"
)

const (
	// ChunkSize is the number of bytes that are read and passed on at a time: few enough
	// that two of them fit Free, enough that a system call costs little for each byte.
	ChunkSize = 32 << 10
	// Free is the number of bytes that each buffer may hold without the budget: one chunk
	// that is being read and one that is being passed on, so that each body goes on when
	// the budget is used up.
	Free = 2 * ChunkSize
	// minChunk is the least memory of a chunk, so that many short pieces share chunks.
	minChunk = 4 << 10
	// recheck is the time between two looks at the budget while the buffer is full. Bodies
	// that end give memory back without a sign to other buffers. A source tolerates that it
	// is not read for some seconds.
	recheck = 50 * clock.Millis(1)
)

// Buffer holds the part of a body that has been read and has not been passed on yet. One
// goroutine calls Fill, one Next; Close may be called by any at any time.
type Buffer struct {
	// Now is the clock. Deadline ends Fill while the buffer is full.
	Now      func() clock.Millis
	Deadline clock.Millis
	// Take reserves n bytes of the budget and reports whether that many were left; Give
	// returns them.
	Take func(n int) bool
	Give func(n int)

	mu     sync.Mutex
	chunks []chunk
	// held is the number of bytes of chunks, including the one that Next returned last,
	// lent; reserved is how many of them were taken from the budget.
	held, lent, reserved int
	// err is the end of the body, io.EOF if it is whole.
	err    error
	closed bool
	// paused is the sum of the times in which the source was not read because the buffer
	// was full, longest the longest of them. pausedAt is the start of the present one, -1
	// if the source is being read.
	paused, longest, pausedAt clock.Millis
	// ready and room have a value after a change that Next or Fill may wait for.
	ready, room chan struct{}
}

// chunk is a part of a body. Size is the number of bytes of memory that are free once it
// has been passed on.
type chunk struct {
	bytes []byte
	size  int
}

// Closed is the error of a buffer that was closed before its body was passed on.
type Closed struct{}

// Error describes the error.
func (Closed) Error() string { return "the buffer was closed" }

// Run initializes the buffer with the bytes of the body that have been read already, of
// which reserved were taken from the budget. Whole is true if there are no others.
func (b *Buffer) Run(first []byte, reserved int, whole bool) {
	b.ready, b.room = make(chan struct{}, 1), make(chan struct{}, 1)
	b.pausedAt = -1
	b.held, b.reserved = cap(first), reserved
	size := cap(first)
	for len(first) > ChunkSize {
		b.chunks = append(b.chunks, chunk{first[:ChunkSize:ChunkSize], 0})
		first = first[ChunkSize:]
	}
	// The parts share their memory, which is free once the last one is passed on.
	b.chunks = append(b.chunks, chunk{first, size})
	if whole {
		b.err = io.EOF
	}
}

// Fill reads the body from r until its end. The error is nil for a whole body, Closed, or
// that of r; it is os.ErrDeadlineExceeded if the buffer is full at the deadline.
func (b *Buffer) Fill(r io.Reader) error {
	var p []byte
	for {
		err := b.awaitRoom()
		if err == nil {
			if p == nil {
				p = make([]byte, ChunkSize)
			}
			var n int
			n, err = r.Read(p)
			if b.put(p, n) {
				p = nil
			}
		}
		if err != nil {
			return b.end(err)
		}
	}
}

// awaitRoom waits until another chunk may be read, and reserves it.
func (b *Buffer) awaitRoom() error {
	for {
		ok, err := b.reserve()
		if ok || err != nil {
			return err
		}
		t := time.NewTimer(recheck.Duration())
		select {
		case <-b.room:
		case <-t.C:
		}
		t.Stop()
	}
}

// reserve reserves a chunk. It returns false if there is no room.
func (b *Buffer) reserve() (bool, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.closed {
		return false, Closed{}
	}
	now := b.Now()
	more := max(b.held+ChunkSize-Free-b.reserved, 0)
	if more == 0 || b.Take(more) {
		b.reserved += more
		b.held += ChunkSize
		b.resume(now)
		return true, nil
	}
	if b.pausedAt < 0 {
		b.pausedAt = now
	}
	if now >= b.Deadline {
		b.resume(now)
		return false, os.ErrDeadlineExceeded
	}
	return false, nil
}

// resume ends a pause; b.mu is held.
func (b *Buffer) resume(now clock.Millis) {
	if b.pausedAt < 0 {
		return
	}
	b.paused += now - b.pausedAt
	b.longest = max(b.longest, now-b.pausedAt)
	b.pausedAt = -1
}

// put appends the first n bytes of p, for which ChunkSize bytes were reserved. It reports
// whether it has kept p. Short pieces are copied into smaller chunks, so that the memory
// that they occupy is about what they hold.
func (b *Buffer) put(p []byte, n int) (kept bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.closed {
		return false
	}
	last := len(b.chunks) - 1
	switch {
	case n == 0:
		b.free(ChunkSize)
	case last >= 0 && cap(b.chunks[last].bytes)-len(b.chunks[last].bytes) >= n:
		b.chunks[last].bytes = append(b.chunks[last].bytes, p[:n]...)
		b.free(ChunkSize)
	case n > ChunkSize/2:
		b.chunks = append(b.chunks, chunk{p[:n], ChunkSize})
		kept = true
	default:
		size := max(n, minChunk)
		b.chunks = append(b.chunks, chunk{append(make([]byte, 0, size), p[:n]...), size})
		b.free(ChunkSize - size)
	}
	signal(b.ready)
	return kept
}

// end records the end of the body and returns the error of Fill.
func (b *Buffer) end(err error) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.err == nil {
		b.err = err
	}
	signal(b.ready)
	if errors.Is(err, io.EOF) {
		return nil
	}
	return err
}

// Next returns the next bytes, whose memory counts until the next call. It waits for them.
// The error is io.EOF at the end of a whole body, else that of Fill or Closed.
func (b *Buffer) Next() ([]byte, error) {
	for {
		p, err := b.next()
		if p != nil || err != nil {
			return p, err
		}
		<-b.ready
	}
}

// next returns nothing if there is nothing yet.
func (b *Buffer) next() ([]byte, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.closed {
		return nil, Closed{}
	}
	b.free(b.lent)
	b.lent = 0
	for len(b.chunks) > 0 {
		x := b.chunks[0]
		b.chunks = b.chunks[1:]
		if len(x.bytes) > 0 {
			b.lent = x.size
			return x.bytes, nil
		}
		b.free(x.size)
	}
	b.chunks = nil
	return nil, b.err
}

// free gives back the memory of n bytes; b.mu is held.
func (b *Buffer) free(n int) {
	b.held -= n
	if less := b.reserved - max(b.held-Free, 0); less > 0 {
		b.reserved -= less
		b.Give(less)
	}
	signal(b.room)
}

// Close drops what the buffer holds and ends Fill and Next.
func (b *Buffer) Close() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.closed {
		return
	}
	b.closed = true
	b.chunks = nil
	b.Give(b.reserved)
	b.held, b.reserved = 0, 0
	signal(b.room)
	signal(b.ready)
}

// Whole reports whether the body has been read to its end.
func (b *Buffer) Whole() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return errors.Is(b.err, io.EOF)
}

// Failed returns the error with which the body broke off, nil if it has not.
func (b *Buffer) Failed() error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.err == nil || errors.Is(b.err, io.EOF) {
		return nil
	}
	return b.err
}

// Paused returns how long the source was not read because the buffer was full: the sum and
// the longest time.
func (b *Buffer) Paused() (sum, longest clock.Millis) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.paused, b.longest
}

func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
