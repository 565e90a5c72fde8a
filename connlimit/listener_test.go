package connlimit

import (
	"io"
	"net"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/pkg/errors"
)

// pair is a client and the accepted connection.
type pair struct {
	client net.Conn
	conn   *Conn
}

func listen(most int, heads *Budget) *Listener {
	n, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(closeQuietly, n)
	return &Listener{Listener: n, Name: "test", Max: most, Heads: heads}
}

func connect(l *Listener) pair {
	GinkgoHelper()
	c, err := net.Dial("tcp", l.Addr().String())
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(closeQuietly, c)
	n, err := l.Accept()
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(closeQuietly, n)
	return pair{c, n.(*Conn)}
}

func (p pair) isClosed() bool {
	_ = p.client.SetReadDeadline(time.Now().Add(time.Millisecond))
	_, err := p.client.Read(make([]byte, 1))
	return errors.Is(err, io.EOF)
}

// read sends s and reads it at the other end.
func (p pair) read(s string) error {
	_, err := io.WriteString(p.client, s)
	Expect(err).NotTo(HaveOccurred())
	_, err = io.ReadFull(p.conn, make([]byte, len(s)))
	return err
}

var _ = Describe("a listener at its limit", func() {
	// Guards against idle and slow clients that keep out all others.
	It("closes the connection with the least progress", func() {
		l := listen(3, nil)
		slow, busy, fast := connect(l), connect(l), connect(l)
		busy.conn.Hold()
		time.Sleep(50 * time.Millisecond)
		Expect(slow.read("x")).To(Succeed())
		Expect(fast.read(strings.Repeat("x", 4<<10))).To(Succeed())
		connect(l)
		Expect(slow.isClosed()).To(BeTrue())
		Expect(busy.isClosed()).To(BeFalse())
		Expect(fast.isClosed()).To(BeFalse())
		Expect(l.Connections()).To(Equal(3))
	})

	// Guards against ending a request that a target works on.
	It("closes the new connection while requests hold all others", func() {
		l := listen(1, nil)
		busy := connect(l)
		busy.conn.Hold()
		refused, err := net.Dial("tcp", l.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(closeQuietly, refused)
		accepted := make(chan net.Conn, 1)
		a := &accepter{l, accepted}
		go a.run()
		Eventually(pair{refused, nil}.isClosed).Should(BeTrue())
		Expect(busy.isClosed()).To(BeFalse())
		busy.conn.Reading(true)
		next, err := net.Dial("tcp", l.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(closeQuietly, next)
		Eventually(accepted).Should(Receive())
		Expect(busy.isClosed()).To(BeTrue())
	})

	// Guards against callers that do not read and keep the memory of responses.
	It("closes connections with a blocked write on demand, and no others", func() {
		l := listen(2, nil)
		blocked, idle := connect(l), connect(l)
		blocked.conn.Hold()
		Expect(l.EvictBlocked()).To(BeFalse())
		blocked.conn.setWriting(time.Now().Add(-2 * writeStall))
		Expect(l.EvictBlocked()).To(BeTrue())
		Expect(blocked.isClosed()).To(BeTrue())
		Expect(idle.isClosed()).To(BeFalse())
		Expect(l.EvictBlocked()).To(BeFalse())
	})

	// Guards against many heads of short fields, and against memory that is lost.
	It("bounds the memory of heads, and gives it back", func() {
		l := listen(0, &Budget{Limit: 100 << 10})
		one, two := connect(l), connect(l)
		fields := strings.Repeat("a:\r\n", 300)
		Expect(one.read(fields)).To(Succeed())
		Expect(errors.As(two.read(fields), &NoMemory{})).To(BeTrue())
		Expect(two.conn.Close()).To(Succeed())
		one.conn.Hold()
		one.conn.Release()
		Expect(l.Heads.used.Load()).To(BeZero())
		Expect(connect(l).read(fields)).To(Succeed())
	})
})

// accepter accepts one connection.
type accepter struct {
	l        *Listener
	accepted chan net.Conn
}

func (a *accepter) run() {
	// The error is that of a closed listener.
	if n, err := a.l.Accept(); err == nil {
		a.accepted <- n
	}
}

// closeQuietly closes what a spec may have closed itself.
func closeQuietly(c io.Closer) { _ = c.Close() }
