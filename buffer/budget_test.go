package buffer

import (
	"strings"
	"testing"
	"testing/iotest"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/pkg/errors"
)

func TestBuffer(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "buffer")
}

var _ = Describe("the memory for bodies", func() {
	It("is given back, and bodies that find none are cut where they are", func() {
		b := &Budget{Limit: 1 << 20, Free: DefaultFree}
		x, err := b.Read(strings.NewReader(strings.Repeat("x", 900<<10)), 2<<20)
		Expect(err).NotTo(HaveOccurred())
		Expect(x.Whole).To(BeTrue())
		Expect(x.Bytes).To(HaveLen(900 << 10))
		y, err := b.Read(strings.NewReader(strings.Repeat("y", 900<<10)), 2<<20)
		Expect(errors.As(err, &Full{})).To(BeTrue())
		Expect(len(y.Bytes)).To(BeNumerically(">=", DefaultFree))
		b.Give(x.Reserved + y.Reserved)
		Expect(b.Used()).To(BeZero())
		z, err := b.Read(iotest.OneByteReader(strings.NewReader("small")), 2<<20)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(z.Bytes)).To(Equal("small"))
		Expect(z.Reserved).To(BeZero())
	})
})
