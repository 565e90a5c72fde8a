package forward

import (
	"net"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/pkg/errors"
)

// blockedConn is a connection whose Write waits for its result.
type blockedConn struct {
	net.Conn
	result chan int
}

func (b *blockedConn) Write([]byte) (int, error) {
	if n := <-b.result; n > 0 {
		return n, nil
	}
	return 0, net.ErrClosed
}

// connWriter writes to a connection.
type connWriter struct {
	conn *Conn
	done chan error
}

func (w *connWriter) run() {
	_, err := w.conn.Write([]byte("bytes"))
	w.done <- err
}

var _ = Describe("the number of bytes sent", func() {
	// Guards against a request that counts as not run although its target has
	// responded: the response may arrive before the write has returned.
	It("is not zero while a write is in progress", func() {
		b := &blockedConn{result: make(chan int)}
		w := &connWriter{&Conn{Conn: b}, make(chan error)}
		go w.run()
		Eventually(w.conn.written.Load).Should(BeNumerically(">", 0))
		b.result <- 3
		Expect(<-w.done).To(Succeed())
		Expect(w.conn.written.Load()).To(Equal(int64(3)))
	})

	It("is zero after a write that sent nothing", func() {
		b := &blockedConn{result: make(chan int)}
		w := &connWriter{&Conn{Conn: b}, make(chan error)}
		go w.run()
		b.result <- 0
		Expect(errors.Is(<-w.done, net.ErrClosed)).To(BeTrue())
		Expect(w.conn.written.Load()).To(BeZero())
	})
})
