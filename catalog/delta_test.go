package catalog

import (
	"bytes"
	"fmt"
	"math/rand"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// largeDocument is a configuration of hundreds of routes and accounts.
func largeDocument(version int, change func(i int) int) []byte {
	r := rand.New(rand.NewSource(1))
	var b bytes.Buffer
	fmt.Fprintf(&b, `{"version":"r%d","tenants":[`, version)
	for i := range 400 {
		fmt.Fprintf(&b, `{"name":"t%x","apiKeys":["%x"],"ratePerS":%d},`, r.Uint32(), r.Uint64(), change(i))
	}
	b.WriteString("]}")
	return b.Bytes()
}

var _ = Describe("a delta", func() {
	unchanged := func(int) int { return 20 }

	It("makes the next document from the old one", func() {
		r := rand.New(rand.NewSource(2))
		for range 200 {
			old := largeDocument(7, unchanged)[:r.Intn(3000)]
			next := append([]byte{}, old...)
			for range r.Intn(5) {
				k := r.Intn(len(next) + 1)
				next = append(next[:k:k], append([]byte("changed"), next[min(k+r.Intn(40), len(next)):]...)...)
			}
			got, err := ApplyDelta(old, MakeDelta(old, next))
			Expect(err).NotTo(HaveOccurred())
			Expect(bytes.Equal(got, next)).To(BeTrue())
		}
	})

	It("of a large document is a small part of it, and fits no other document", func() {
		old := largeDocument(7, unchanged)
		next := largeDocument(19, func(i int) int { return 20 + i/399 })
		d := MakeDelta(old, next)
		Expect(len(d)).To(BeNumerically("<", len(next)/50))
		_, err := ApplyDelta(largeDocument(7, func(int) int { return 30 }), d)
		Expect(err).To(Equal(DeltaMismatch{}))
		_, err = ApplyDelta(old, d[:len(d)-3])
		Expect(err).To(Equal(DeltaMismatch{}))
	})
})

func FuzzApplyDelta(f *testing.F) {
	old := []byte("some old document with pieces")
	f.Add(MakeDelta(old, []byte("some new document with pieces")))
	f.Fuzz(func(t *testing.T, d []byte) {
		// It must not panic, whatever arrives.
		_, _ = ApplyDelta(old, d)
	})
}
