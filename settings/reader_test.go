package settings

import (
	"os"
	"path/filepath"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestSettings(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "settings")
}

var _ = Describe("Reader", func() {
	It("returns all problems of a file, with unknown keys and sections", func() {
		p := filepath.Join(GinkgoT().TempDir(), "s.ini")
		text := "[a]\naddr = nowhere\ncount = many\nlist = 127.0.0.1:1, x\npairs = n=127.0.0.1:1, m\nstray = 1\n[b]\nother = 2\n"
		Expect(os.WriteFile(p, []byte(text), 0o600)).To(Succeed())
		r, err := Open(p)
		Expect(err).NotTo(HaveOccurred())
		r.String("a", "name")
		r.Address("a", "addr")
		r.Addresses("a", "list")
		r.NamedAddresses("a", "pairs")
		Expect(r.Int("a", "count", 7, 1, 9)).To(Equal(7))
		l, ok := r.Check().(Problems)
		Expect(ok).To(BeTrue())
		var at []string
		for _, x := range l {
			at = append(at, x.Section+"."+x.Key)
		}
		Expect(at).To(ConsistOf("a.name", "a.addr", "a.list", "a.pairs", "a.count", "a.stray", "b.other"))
	})

	It("returns the values in the file, and defaults for absent keys", func() {
		p := filepath.Join(GinkgoT().TempDir(), "s.ini")
		Expect(os.WriteFile(p, []byte("[a]\naddr = 127.0.0.1:80\nn = 3\n"), 0o600)).To(Succeed())
		r, err := Open(p)
		Expect(err).NotTo(HaveOccurred())
		Expect(r.Address("a", "addr")).To(Equal("127.0.0.1:80"))
		Expect(r.Int("a", "n", 1, 0, 9)).To(Equal(3))
		Expect(r.Optional("a", "level", "info")).To(Equal("info"))
		Expect(r.Check()).To(Succeed())
	})
})
