package routing

import (
	"net/http"
	"net/url"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/carawayrack/carawayrack/catalog"
)

func TestRouting(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "routing")
}

func pathConfig() *catalog.Config {
	one := []catalog.Part{{Service: "s", Weight: 1}}
	c := &catalog.Config{Routes: []catalog.Route{
		{Name: "file", Host: "H.example", Prefix: "/file/", Kind: catalog.Unsafe, Timeout: 900, Attempts: 1, Parts: one},
		{Name: "list", Host: "H.example", Prefix: "/file/list/", Kind: catalog.Idempotent, Timeout: 500, Attempts: 3, Open: true, Parts: one},
		{Name: "other", Host: "H.example", Prefix: "/file/other/", Kind: catalog.Unsafe, Timeout: 900, Attempts: 1, Parts: []catalog.Part{{Service: "o", Weight: 1}}},
	}}
	c.Index()
	return c
}

// requestFor returns a request as net/http parses it.
func requestFor(host, uri string) *http.Request {
	u, err := url.ParseRequestURI(uri)
	Expect(err).NotTo(HaveOccurred())
	return &http.Request{Method: http.MethodPost, Host: host, RequestURI: uri, URL: u, Header: http.Header{}}
}

var _ = Describe("the route of a request", func() {
	DescribeTable("is that of its path",
		func(uri, name string) {
			r := Match(pathConfig(), requestFor("h.example", uri))
			if name == "" {
				Expect(r).To(BeNil())
				return
			}
			Expect(r.Name).To(Equal(name))
		},
		Entry("plain", "/file/list/50", "list"),
		Entry("an encoded letter", "/file/l%69st/50", "list"),
		Entry("an encoded slash that changes nothing", "/file/a%2Fb", "file"),
		Entry("an encoded slash that one reading gives another service", "/file/other%2F50", ""),
		Entry("an encoded slash without which there is no route", "/file%2Flist/50", ""),
		Entry("an encoded slash in lower case", "/file/other%2f50", ""),
		Entry("two slashes at the beginning", "//file/50", ""),
	)

	// Guards against an unsafe request that is sent again by the kind of the route that
	// its decoded path has.
	It("has the stricter properties of both readings of its path", func() {
		r := Match(pathConfig(), requestFor("h.example", "/file/list%2F50"))
		Expect(r.Name).To(Equal("file"))
		Expect(r.Kind).To(Equal(catalog.Unsafe))
		Expect(r.Attempts).To(Equal(1))
		Expect(r.Open).To(BeFalse())
		Expect(int(r.Timeout)).To(Equal(500))
	})

	// Guards against a request that runs twice because the reading of its path with the
	// weaker kind replaced the stricter one.
	It("is never repeatable if one reading of its path is not", func() {
		unsafe, safe, download := &catalog.Route{Kind: catalog.Unsafe}, &catalog.Route{Kind: catalog.Idempotent}, &catalog.Route{Kind: catalog.Download}
		Expect(stricter(unsafe, download).Kind).To(Equal(catalog.Unsafe))
		Expect(stricter(download, unsafe).Kind).To(Equal(catalog.Unsafe))
		Expect(stricter(safe, download).Kind).To(Equal(catalog.Download))
		Expect(stricter(download, safe).Kind).To(Equal(catalog.Download))
	})

	It("does not depend on the case of the host name", func() {
		Expect(Match(pathConfig(), requestFor("h.EXAMPLE:80", "/file/1")).Name).To(Equal("file"))
	})
})

var _ = Describe("the path of a forwarded request", func() {
	DescribeTable("is that of the caller",
		func(uri string) {
			r := requestFor("h", uri)
			Expect(PathKept(r)).To(BeTrue())
			Expect(OutgoingURL(r).RequestURI()).To(Equal(uri))
		},
		Entry("plain", "/a/b?x=1&y=%20"),
		Entry("encoded", "/a%2Fb/%41"),
		Entry("two slashes at the beginning", "//a/b?x=1"),
		Entry("two slashes and an encoded one", "//a%2Fb?"),
		Entry("three slashes", "///a"),
	)

	It("is refused if it cannot be kept", func() {
		Expect(PathKept(requestFor("h", `//a"b`))).To(BeFalse())
	})
})
