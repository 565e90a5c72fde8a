package edge

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/carawayrack/carawayrack/catalog"
	"github.com/carawayrack/carawayrack/clock"
)

// withDownloads makes the route under /open/ one of large responses.
func (w *testHost) withDownloads(timeout clock.Millis) {
	c, _ := w.host.view.current(w.host.Clock.Now())
	c.Routes[2].Kind, c.Routes[2].Timeout = catalog.Download, timeout
}

var _ = Describe("a request of kind download", func() {
	// Guards against a download that fails with the first target that breaks off.
	It("goes to a second target when the first closes the connection", func() {
		broken := 0
		for _, id := range [][]string{{"t1", "t2"}, {"t2", "t1"}} {
			t, other := newStandin(id[0], ""), newStandin(id[1], ok)
			w := newTestHost(t, other)
			w.withDownloads(2000)
			Expect(w.get("/open/").status).To(Equal(200))
			broken += t.requests()
		}
		// The host begins with the same target in both cases.
		Expect(broken).To(Equal(1))
	})

	// Guards against one large response that delays all requests of its connection.
	It("runs beside others of its connection", func() {
		w := newTestHost(newStandin("t1", ok))
		w.withDownloads(2000)
		q, err := requestTo(w, "/open/")
		Expect(err).NotTo(HaveOccurred())
		Expect(w.host.independent(q)).To(BeTrue())
	})

	// Guards against a caller that gets half a response because its request was used to
	// try an unhealthy target, and against downloads that never find out that it has
	// recovered although they could try another one.
	DescribeTable("is sent to an unhealthy target only if the responses of its route are small",
		func(response string, probes bool) {
			t1, t2 := newStandin("t1", "", response), newStandin("t2", response)
			w := newTestHost(t1, t2)
			w.withDownloads(2000)
			for range 4 {
				Expect(w.get("/safe/").status).To(Equal(http.StatusOK))
			}
			Expect(t1.requests()).To(Equal(1))
			for range smallResponses + 15 {
				Expect(w.get("/open/", "Key", "").status).To(Equal(http.StatusOK))
				time.Sleep(30 * time.Millisecond)
			}
			Expect(t1.requests() > 1).To(Equal(probes))
		},
		Entry("large", largeResponse(streamSize+1), false),
		Entry("small", ok, true),
	)
})

// largeResponse returns a response with a body of n bytes.
func largeResponse(n int) string {
	return "HTTP/1.1 200 OK\r\nReq-Id: ID\r\nSeal: x\r\nContent-Length: " + strconv.Itoa(n) + "\r\n\r\n" + strings.Repeat("x", n)
}
