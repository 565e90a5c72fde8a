package readahead

import (
	"bytes"
	"io"
	"math/rand"
	"os"
	"sync/atomic"
	"testing/iotest"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/pkg/errors"

	"github.com/carawayrack/carawayrack/clock"
)

// memory is a budget, and a clock that the test sets.
type memory struct {
	limit, used, most atomic.Int64
	now               atomic.Int64
}

func (m *memory) take(n int) bool {
	if m.used.Add(int64(n)) > m.limit.Load() {
		m.used.Add(-int64(n))
		return false
	}
	m.most.Store(max(m.most.Load(), m.used.Load()))
	return true
}

func (m *memory) give(n int) { m.used.Add(-int64(n)) }

func (m *memory) buffer(first []byte) *Buffer {
	b := &Buffer{
		Now: func() clock.Millis { return clock.Millis(m.now.Load()) }, Deadline: 1000, Take: m.take, Give: m.give,
	}
	b.Run(first, 0, false)
	return b
}

// source counts what was read of a body.
type source struct {
	r    io.Reader
	read atomic.Int64
}

func (s *source) Read(p []byte) (int, error) {
	n, err := s.r.Read(p)
	s.read.Add(int64(n))
	return n, err
}

// filling is a goroutine that fills a buffer.
type filling struct {
	buffer *Buffer
	source io.Reader
	done   chan error
}

func fill(b *Buffer, r io.Reader) chan error {
	f := &filling{b, r, make(chan error, 1)}
	go f.run()
	return f.done
}

func (f *filling) run() { f.done <- f.buffer.Fill(f.source) }

// all returns what Next returns until its error.
func all(b *Buffer) ([]byte, error) {
	var x []byte
	for {
		p, err := b.Next()
		if err != nil {
			return x, err
		}
		x = append(x, p...)
	}
}

func random(n int) []byte {
	b := make([]byte, n)
	rand.New(rand.NewSource(1)).Read(b)
	return b
}

var _ = Describe("a body that is read ahead", func() {
	DescribeTable("is passed on whole and unchanged, and its memory is given back",
		func(size, before, limit int, wrap func(io.Reader) io.Reader) {
			m := &memory{}
			m.limit.Store(int64(limit))
			body := random(size)
			b := m.buffer(append([]byte(nil), body[:before]...))
			done := fill(b, wrap(bytes.NewReader(body[before:])))
			got, err := all(b)
			Expect(err).To(Equal(io.EOF))
			Expect(bytes.Equal(got, body)).To(BeTrue())
			Eventually(done).Should(Receive(BeNil()))
			Expect(m.used.Load()).To(BeZero())
		},
		Entry("with budget", 3_000_000, 256<<10, 1<<20, iotest.DataErrReader),
		Entry("without budget", 3_000_000, 64<<10, 0, iotest.DataErrReader),
		Entry("in halves of pieces", 700_000, 100, 1<<20, iotest.HalfReader),
		Entry("byte by byte", 70_000, 1, 0, iotest.OneByteReader),
		Entry("empty", 0, 0, 0, iotest.DataErrReader),
	)

	// Guards against a target that is kept busy by a caller that reads slowly.
	It("is read to its end while nothing is passed on, if the budget allows it", func() {
		m := &memory{}
		m.limit.Store(4 << 20)
		b := m.buffer(nil)
		Eventually(fill(b, bytes.NewReader(random(2<<20)))).Should(Receive(BeNil()))
		b.Close()
		Expect(m.used.Load()).To(BeZero())
	})

	// Guards against a host that runs out of memory while callers read slowly.
	It("occupies no more than the budget and two chunks, and goes on when there is memory again", func() {
		m := &memory{}
		m.limit.Store(256 << 10)
		b := m.buffer(nil)
		s := &source{r: bytes.NewReader(random(2 << 20))}
		done := fill(b, s)
		Eventually(s.read.Load).Should(Equal(int64(256<<10 + Free)))
		Consistently(s.read.Load, "200ms").Should(Equal(int64(256<<10 + Free)))
		m.limit.Store(4 << 20)
		Eventually(done).Should(Receive(BeNil()))
		Expect(m.most.Load()).To(BeNumerically("<=", 4<<20))
	})

	// Guards against bodies in tiny pieces, each of which occupies a whole chunk.
	It("occupies about its size if it comes in tiny pieces", func() {
		m := &memory{}
		m.limit.Store(256 << 10)
		// At the deadline Fill does not wait for room.
		m.now.Store(1000)
		b := m.buffer(nil)
		Expect(b.Fill(iotest.OneByteReader(bytes.NewReader(random(200 << 10))))).To(Succeed())
		b.Close()
	})

	// Guards against a body that is passed on as whole although its source broke off.
	It("ends with the error of its source, after what came before", func() {
		m := &memory{}
		b := m.buffer([]byte("be"))
		broken := errors.New("broken")
		done := fill(b, io.MultiReader(bytes.NewReader([]byte("gun")), iotest.ErrReader(broken)))
		got, err := all(b)
		Expect(string(got)).To(Equal("begun"))
		Expect(err).To(Equal(broken))
		Expect(b.Failed()).To(Equal(broken))
		Eventually(done).Should(Receive(Equal(broken)))
	})

	// Guards against a target whose slot stays taken after the deadline of a request
	// because its caller does not read.
	It("ends at the deadline while the buffer is full, and tells how long it was", func() {
		m := &memory{}
		b := m.buffer(make([]byte, Free))
		done := fill(b, bytes.NewReader(random(100)))
		Consistently(done, "100ms").ShouldNot(Receive())
		m.now.Store(1000)
		Eventually(done).Should(Receive(Equal(os.ErrDeadlineExceeded)))
		sum, longest := b.Paused()
		Expect(sum).To(Equal(clock.Millis(1000)))
		Expect(longest).To(Equal(clock.Millis(1000)))
	})

	It("is dropped when the buffer is closed, whoever waits", func() {
		m := &memory{}
		m.limit.Store(100 << 10)
		full := m.buffer(nil)
		filled := fill(full, bytes.NewReader(random(2<<20)))
		Consistently(filled, "100ms").ShouldNot(Receive())
		full.Close()
		full.Close()
		Eventually(filled).Should(Receive(Equal(Closed{})))
		Expect(m.used.Load()).To(BeZero())
		empty := m.buffer(nil)
		left := &reading{empty, make(chan error, 1)}
		go left.run()
		Consistently(left.done, "50ms").ShouldNot(Receive())
		empty.Close()
		Eventually(left.done).Should(Receive(Equal(Closed{})))
	})
})

// reading waits for the next bytes of a buffer.
type reading struct {
	buffer *Buffer
	done   chan error
}

func (r *reading) run() {
	_, err := r.buffer.Next()
	r.done <- err
}
