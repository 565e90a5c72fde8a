package soak

import (
	"fmt"
	"math/rand"
	"net/http"
	"net/http/httptest"
	"strings"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/carawayrack/carawayrack/platform"
)

// download makes callers of all kinds download from a server that a function implements,
// and returns the promises that it breaks.
func download(f http.HandlerFunc) []string {
	l := newLedger()
	s := httptest.NewServer(f)
	defer s.Close()
	c := &caller{ledger: l}
	r := rand.New(rand.NewSource(1))
	for i := range 5 {
		id := fmt.Sprint("c0-", i)
		q := c.request(strings.TrimPrefix(s.URL, "http://"), downloadPath, id, "club-1", nil, largeTimeout)
		c.callLarge(r, q, id, largeBody(id))
	}
	var p []string
	for _, v := range l.check() {
		p = append(p, v.Promise)
	}
	return p
}

var _ = ginkgo.Describe("a download", func() {
	id := func(r *http.Request) string { return strings.TrimPrefix(r.URL.Path, downloadPath) }

	// Guards against a check that finds nothing.
	ginkgo.It("that is a part of the response but looks complete is reported", func() {
		Expect(download(func(w http.ResponseWriter, r *http.Request) {
			_, _ = w.Write(largeBody(id(r))[1:])
		})).To(ContainElement("truncated"))
	})

	ginkgo.It("with a status that is none is reported", func() {
		Expect(download(func(w http.ResponseWriter, _ *http.Request) {
			c, _, err := w.(http.Hijacker).Hijack()
			if err == nil {
				_, _ = c.Write([]byte("HTTP/1.1 000 None\r\nContent-Length: 0\r\n\r\n"))
				_ = c.Close()
			}
		})).To(ContainElement("status"))
	})

	// Guards against a check that reports what is allowed.
	ginkgo.It("that is whole, or seen to break off, is not reported", func() {
		Expect(download(func(w http.ResponseWriter, r *http.Request) {
			b := largeBody(id(r))
			if hash(id(r))%2 == 0 {
				_, _ = w.Write(b)
				return
			}
			w.Header().Set("Content-Length", fmt.Sprint(len(b)))
			_, _ = w.Write(b[1:])
		})).To(BeEmpty())
	})
})

var _ = ginkgo.Describe("Process", func() {
	// Guards against a process that crashes while the run goes on with the others.
	ginkgo.It("reports a program that ends by itself", func() {
		l := newLedger()
		p := &Process{Role: "edge", Binary: "/bin/false", Dir: ginkgo.GinkgoT().TempDir(), Violate: l.violate, Node: platform.Node{Name: "h"}}
		Expect(p.Start()).To(Succeed())
		Eventually(p.Ended).Should(BeTrue())
		Expect(l.check()).To(ConsistOf(HaveField("Promise", "alive")))
	})
})

// Guards against a data race between a fault that empties a disk and a roll-out that asks
// for the addresses of control processes. Only the race detector sees it.
var _ = ginkgo.It("tells the address of a process whose disk is being emptied", func() {
	p := &Process{Node: platform.Node{IP: "127.0.0.1", Data: ginkgo.GinkgoT().TempDir()}}
	done := make(chan error, 1)
	go func() { done <- p.Wipe() }()
	Expect(p.Node.Control()).NotTo(BeEmpty())
	Eventually(done, "10s").Should(Receive(BeNil()))
})
