package wire

import (
	"io"
	"net"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"
)

var _ = Describe("server", func() {
	// Guards against a connection that outlives its server: the messages on it reach a
	// process that has stopped, while its heartbeats are answered.
	It("closes a connection that was accepted just before it was closed", func() {
		s := &Server{Addr: "127.0.0.1:0", Log: zap.NewNop()}
		Expect(s.Register("Peer", Wire{})).To(Succeed())
		Expect(s.Run()).To(Succeed())
		s.Close()
		near, far := net.Pipe()
		x := &session{server: s, conn: far}
		go x.run()
		Expect(near.SetDeadline(time.Now().Add(time.Second))).To(Succeed())
		_, err := near.Read(make([]byte, 1))
		Expect(err).To(Equal(io.EOF))
	})
})
