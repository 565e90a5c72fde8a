package wire

import (
	"net"
	"os"
	"sync/atomic"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("dialer", func() {
	It("returns the connection to a peer that listens", func() {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		defer l.Close()
		n, err := (&dialer{addr: l.Addr().String()}).dial()
		Expect(err).NotTo(HaveOccurred())
		Expect(n.Close()).To(Succeed())
	})

	It("reports at once that no process listens", func() {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		a := l.Addr().String()
		Expect(l.Close()).To(Succeed())
		_, err = (&dialer{addr: a}).dial()
		Expect(ProvesNoListener(dialRefusal(a, err))).To(BeTrue())
	})

	// A machine that starts while it is being dialed has lost the packets sent
	// before, so only a new attempt succeeds.
	It("starts a second attempt while the first hangs", func() {
		end := make(chan struct{})
		defer close(end)
		var attempts atomic.Int32
		a, b := net.Pipe()
		defer a.Close()
		x := &dialer{open: func(string) (net.Conn, error) {
			if attempts.Add(1) == 1 {
				<-end
				return nil, os.ErrDeadlineExceeded
			}
			return b, nil
		}}
		n, err := x.dial()
		Expect(err).NotTo(HaveOccurred())
		Expect(n).To(Equal(b))
	})
})
