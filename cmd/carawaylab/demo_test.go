package main

import (
	"net"
	"path/filepath"
	"strconv"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/carawayrack/carawayrack/lab"
)

func TestCarawaylab(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "carawaylab")
}

var _ = Describe("the targets of the demonstration", func() {
	// Guards against targets that end unnoticed because a client's connection has
	// their port: no request was ever served, and nothing told why.
	It("listen on a port that no client connection gets", func() {
		f := &lab.Fleet{Dir: GinkgoT().TempDir(), Hosts: 2, Zones: 1, Replicas: 1}
		Expect(f.Prepare()).To(Succeed())
		seen := map[string]bool{}
		for _, p := range f.Processes {
			seen[p.Peer], seen[p.Admin], seen[p.Callers] = true, true, true
		}
		for range 3 {
			a := f.FreeAddress()
			Expect(seen).NotTo(HaveKey(a))
			seen[a] = true
			_, port, err := net.SplitHostPort(a)
			Expect(err).NotTo(HaveOccurred())
			n, err := strconv.Atoi(port)
			Expect(err).NotTo(HaveOccurred())
			Expect(n).To(BeNumerically("<", 32_768))
		}
	})

	It("are noticed when they end, with what they have written", func() {
		t := &targetProcess{log: filepath.Join(GinkgoT().TempDir(), "targets.log")}
		Expect(t.start("sh", "-c", "echo address already in use; exit 1")).To(Succeed())
		Eventually(t.err, "20s").Should(MatchError(TargetsEnded{"address already in use"}))
		t.stop()
	})
})
