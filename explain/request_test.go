package explain

import (
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestExplain(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "explain")
}

// Log lines as the fleet writes them, some prefixed with the name of the process.
const lines = `host-1 {"ts":900,"msg":"role","role":"leader","term":3}
host-1 {"ts":1000,"msg":"trust","target":"t1","trusted":false,"cause":"broken","seenBy":"host-2"}
not a line of the fleet
{"ts":1010,"msg":"trust","target":"t9","trusted":false}
{"ts":1100,"msg":"attempt","request":"r1","target":"t1","outcome":"broken"}
{"ts":1090,"msg":"attempt","request":"r2","target":"t1","outcome":"broken"}
{"ts":1101,"msg":"refused","request":"r1","reason":"targetFailed","tried":["t1","t2"]}
{"ts":1050,"msg":"trust","target":"t2","trusted":true}
{"ts":1095,"msg":"notice","target":"t3","service":"s","leaving":true}
{"ts":9000,"msg":"trust","target":"t1","trusted":true}
{broken`

var _ = Describe("Request", func() {
	It("returns the lines of a request and the related ones, ordered by time", func() {
		l, err := Read(strings.NewReader(lines))
		Expect(err).NotTo(HaveOccurred())
		r, err := Request(l, "r1")
		Expect(err).NotTo(HaveOccurred())
		var got []string
		for _, x := range r {
			t, _ := x.Fields["target"].(string)
			got = append(got, strings.TrimSpace(x.Event+" "+t))
		}
		Expect(got).To(Equal([]string{"role", "trust t1", "trust t2", "notice t3", "attempt t1", "refused"}))
		Expect(r[0].Source).To(Equal("host-1"))
	})

	It("returns NotFound for a request that no line names", func() {
		l, err := Read(strings.NewReader(lines))
		Expect(err).NotTo(HaveOccurred())
		_, err = Request(l, "r7")
		Expect(err).To(MatchError(NotFound{"r7"}))
	})
})
