package edge

import (
	"fmt"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	"github.com/carawayrack/carawayrack/balance"
	"github.com/carawayrack/carawayrack/catalog"
	"github.com/carawayrack/carawayrack/coordinator"
)

var _ = DescribeTable("the counts of ended requests",
	// Guards against a share that a host bases on its own few requests, and against
	// counts that fill the links.
	func(hosts int) {
		const services, targets, start, seconds = 4, 133, 15, 10
		f := &largeFleet{now: 100_000, by: map[string]*gossip{}, sent: map[string]int{}}
		list := &coordinator.Fleet{}
		s := catalog.New(nil)
		for i := range hosts {
			id := fmt.Sprintf("host-%d", i)
			list.Hosts = append(list.Hosts, coordinator.Host{ID: id, Zone: "a", Peer: id, Narrow: true})
		}
		for i := range targets {
			id := fmt.Sprintf("t%d", i)
			s.Targets[id] = catalog.Target{ID: id, Service: fmt.Sprint("s", i%services), Zone: "a", Phase: catalog.Serving, Slots: 4, Born: 1}
		}
		for _, h := range list.Hosts {
			g := f.newGossip(h)
			g.view.setState(f.now, s)
			g.view.setFleet(list)
			f.hosts, f.by[h.ID] = append(f.hosts, g), g
		}
		for tenth := range (start + seconds) * 10 {
			if tenth == start*10 {
				f.sent = map[string]int{}
			}
			for _, g := range f.hosts {
				g.view.countOutcome(f.now, "s1", tenth%2 > 0)
			}
			f.step()
		}
		for _, g := range f.hosts {
			x := g.view.pools["s1"].UnservedShare(f.now)
			Expect(x.Hosts).To(BeNumerically(">=", (hosts-1)*3/4))
			Expect(x.Ended).To(BeNumerically(">=", 19*x.Hosts))
			Expect(x.Share).To(BeNumerically("~", 0.5, 0.03))
			Expect(g.view.pools["s0"].UnservedShare(f.now).Known).To(BeTrue())
			digest, header := 0, datagramHeader+tagSize+2+len(g.settings.ID)
			if k := len(g.view.firstOwned(f.now)); hosts > balance.SmallZoneHosts && k > 0 {
				digest = (hosts - 1) * (header + k*balance.ObservationSize)
			}
			// What was saved before is at most one datagram to each host.
			saved := (hosts - 1) * (header + balance.ObservationSize)
			Expect(f.sent[g.settings.ID] - seconds*digest).To(BeNumerically("<=", seconds*1_000+saved))
		}
	},
	Entry("reach the hosts of a small zone", 3),
	Entry("reach the hosts of a zone with 42 hosts", 42),
)

var _ = Describe("a request that ends", func() {
	It("counts as served or not, unless the host refuses it or its caller leaves", func() {
		t := newStandin("t1", ok, status(500, ""), ok, ok)
		w := newTestHost(t)
		Expect(w.post("/unsafe/x", "").status).To(Equal(200))
		Expect(w.post("/unsafe/x", "").status).To(Equal(500))
		Expect(w.get("/none").status).To(Equal(404))
		t.mu.Lock()
		t.delay = 300 * time.Millisecond
		t.mu.Unlock()
		q, err := requestTo(w, "/unsafe/x")
		Expect(err).NotTo(HaveOccurred())
		q.RequestURI = ""
		_, err = (&http.Client{Timeout: 50 * time.Millisecond}).Do(q)
		Expect(err).To(HaveOccurred())
		Eventually(func() string { return count(w.host.metrics.refusals, string(CallerLeft)) }, "2s").Should(Equal("1"))
		u := w.host.State().Unserved["s"]
		Expect([]int{u.Ended, u.Unserved}).To(Equal([]int{2, 1}))
		Expect(count(w.host.metrics.requestsEnded, "s.served") + count(w.host.metrics.requestsEnded, "s.unserved")).To(Equal("11"))
	})

	It("makes the next one try an unused target if it was not served", func() {
		a, b := newStandin("t1", status(404, "")), newStandin("t2", status(404, ""))
		w := newTestHost()
		logged, lines := observer.New(zapcore.InfoLevel)
		w.host.Log, w.host.view.self = zap.New(logged), "h"
		w.set(a, b)
		w.host.view.setFleet(&coordinator.Fleet{Hosts: []coordinator.Host{{ID: "h", Zone: "z", Narrow: true}}})
		Expect(w.post("/unsafe/x", "").status).To(Equal(404))
		w.host.view.countOutcome(w.host.Clock.Now(), "s", false)
		Expect(w.post("/unsafe/x", "").status).To(Equal(404))
		Expect([]int{a.requests(), b.requests()}).To(Equal([]int{1, 1}))
		l := lines.FilterMessage("unused target").All()
		Expect(l).To(HaveLen(1))
		Expect(l[0].ContextMap()).To(And(HaveKeyWithValue("request", "r1"), HaveKeyWithValue("unservedShare", 0.5), HaveKeyWithValue("idleMs", int64(-1))))
		Expect(count(w.host.metrics.unusedTargets, "s")).To(Equal("1"))
	})
})
