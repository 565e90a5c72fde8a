package abuse_test

import (
	"bytes"
	"io"
	"net/http"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/carawayrack/carawayrack/platform"
)

// place is an address and a path that clients use.
type place struct {
	core         bool
	port         int
	method, path string
}

const (
	heartbeat = "/-/rpc?call=instances.heartbeat&of=i1"
	replace   = "/-/rpc?call=configuration.replace"
)

var (
	uploadRoute = place{false, callersPort, "POST", "/put/x"}
	safeRoute   = place{false, callersPort, "GET", "/read/x"}
	noRoute     = place{false, callersPort, "POST", "/none"}
	ready       = place{false, readyPort, "GET", platform.ReadyPath}
	directory   = place{false, directoryPort, "GET", "/-/resolution?zone=z0"}
	hostMetrics = place{false, metricsPort, "GET", "/metrics"}
	calls       = place{true, controlPort, "POST", heartbeat}
	configure   = place{true, controlPort, "POST", replace}
	coreMetrics = place{true, metricsPort, "GET", "/metrics"}
)

func (f *fleet) addr(p place) string {
	if p.core {
		return f.core.addr(p.port)
	}
	return f.edge.addr(p.port)
}

// The numbers of clients are chosen for the limits of the settings, 64 MB and 400
// descriptors: each case needs several times the memory or more than the sockets
// of a process that has no limits of its own.
var _ = Describe("a process", func() {
	// Guards against bodies that fill the memory: a host buffered the start of each
	// body without a common limit, and a control process whole configurations.
	DescribeTable("survives many bodies that stop just short of their end",
		func(p place, clients, size int) {
			f := startFleet()
			start(clients, f.addr(p), unfinishedBody(p.method, p.path, size)).await()
			f.check()
		},
		Entry("at a route", uploadRoute, 300, 3<<20),
		Entry("at a route, small", uploadRoute, 600, 60<<10),
		Entry("at a path without a route", noRoute, 300, 3<<20),
		Entry("at the readiness listener", ready, 300, 3<<20),
		Entry("at the directory", directory, 300, 3<<20),
		Entry("at the metrics of a host", hostMetrics, 300, 3<<20),
		Entry("at the calls of targets", calls, 600, 60<<10),
		Entry("at the call for configurations", configure, 30, 24<<20),
		Entry("at the metrics of a control process", coreMetrics, 300, 3<<20),
	)

	// Guards against reading or buffering what will be refused anyway.
	DescribeTable("survives bodies far over the limit",
		func(p place, clients, size int) {
			f := startFleet()
			start(clients, f.addr(p), oversizedBody(p.method, p.path, size)).await()
			f.check()
		},
		Entry("at a route", uploadRoute, 16, 3*bodyBytes),
		Entry("at a path without a route", noRoute, 16, 3*bodyBytes),
		Entry("at the readiness listener", ready, 16, 3*bodyBytes),
		Entry("at the directory", directory, 16, 3*bodyBytes),
		Entry("at the calls of targets", calls, 16, 3*bodyBytes),
		Entry("at the call for configurations", configure, 16, 3*bodyBytes),
	)

	// Guards against heads whose parsed form takes tens of times their length.
	DescribeTable("survives many heads of very many short fields",
		func(p place) {
			f := startFleet()
			start(400, f.addr(p), manyFields(p.method, p.path)).await()
			f.check()
		},
		Entry("at a route", safeRoute),
		Entry("at a path without a route", noRoute),
		Entry("at the readiness listener", ready),
		Entry("at the directory", directory),
		Entry("at the metrics of a host", hostMetrics),
		Entry("at the calls of targets", calls),
		Entry("at the metrics of a control process", coreMetrics),
	)

	// Guards against responses and requests that wait for a caller that does not
	// read: each connection held megabytes of both.
	DescribeTable("survives pipelined requests whose responses are not read",
		func(p place, path string, clients, requests int) {
			f := startFleet()
			start(clients, f.addr(p), pipelined(path, requests)).await()
			f.check()
		},
		Entry("with small responses", safeRoute, "/read/x", 150, 5_000),
		Entry("with large responses", safeRoute, "/read/large", 60, 100),
		Entry("at a path without a route", safeRoute, "/none", 150, 5_000),
		Entry("at the directory", directory, "/-/resolution?zone=z0", 150, 5_000),
		Entry("at the metrics of a host", hostMetrics, "/metrics", 150, 2_000),
		Entry("at the metrics of a control process", coreMetrics, "/metrics", 150, 2_000),
	)

	// Guards against slow clients that occupy all descriptors.
	DescribeTable("survives more slow clients than it has descriptors",
		func(p place) {
			f := startFleet()
			start(descriptors+descriptors/2, f.addr(p), slow(p.path)).await()
			f.check()
		},
		Entry("at a route", uploadRoute),
		Entry("at a path without a route", noRoute),
		Entry("at the readiness listener", ready),
		Entry("at the directory", directory),
		Entry("at the metrics of a host", hostMetrics),
		Entry("at the calls of targets", calls),
		Entry("at the call for configurations", configure),
		Entry("at the metrics of a control process", coreMetrics),
	)

	// Guards against limits that refuse what the configuration allows.
	It("serves a request at the limits of the configuration", func() {
		f := startFleet()
		b := bytes.Repeat([]byte("b"), bodyBytes)
		r, err := http.NewRequest(http.MethodPost, "http://"+f.edge.addr(callersPort)+"/put/x", bytes.NewReader(b))
		Expect(err).NotTo(HaveOccurred())
		r.Host = "s.example"
		r.Header.Set(platform.Headers().RequestID, "large")
		// net/http writes a blank after the colon and adds three fields itself.
		for _, l := range strings.Split(shortFields(headBytes*6/7-512), ":\r\n") {
			if l != "" {
				r.Header.Set(l, "")
			}
		}
		a, err := f.client.HTTP.Do(r)
		Expect(err).NotTo(HaveOccurred())
		text, err := io.ReadAll(a.Body)
		Expect(err).NotTo(HaveOccurred())
		Expect(a.Body.Close()).To(Succeed())
		Expect(a.StatusCode).To(Equal(http.StatusOK), string(text))
		f.check()
	})
})
