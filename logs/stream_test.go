package logs

import (
	"bytes"
	"strings"
	"sync"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"
)

// blockingWriter is a log destination whose writes block until open is closed.
type blockingWriter struct {
	open chan struct{}
	mu   sync.Mutex
	b    bytes.Buffer
}

func (g *blockingWriter) Write(b []byte) (int, error) {
	<-g.open
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.b.Write(b)
}

func (g *blockingWriter) lines() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return strings.Count(g.b.String(), "\n")
}

var _ = Describe("Stream", func() {
	It("drops and counts lines while its writer blocks, without blocking itself", func() {
		g := &blockingWriter{open: make(chan struct{})}
		l, s, err := NewStream(g, "info")
		Expect(err).NotTo(HaveOccurred())
		for i := 0; i < 2*streamLines; i++ {
			l.Info("x", zap.Int("i", i))
		}
		Expect(s.Dropped()).To(BeNumerically(">=", streamLines-1))
		close(g.open)
		Eventually(g.lines, "10s").Should(BeNumerically(">=", streamLines))
	})

	It("rejects an unknown level", func() {
		_, _, err := NewStream(&blockingWriter{}, "loud")
		Expect(err).To(HaveOccurred())
	})
})
