package edge

import (
	"net/http"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/carawayrack/carawayrack/balance"
	"github.com/carawayrack/carawayrack/catalog"
)

var _ = Describe("a host during a roll-out", func() {
	var w *testHost
	var old, fresh *standin
	// set puts a step in force.
	set := func(state catalog.RolloutState, share float64, revision uint64) {
		s := catalog.New(nil)
		s.Config = w.host.view.config
		for _, t := range []*standin{old, fresh} {
			s.Targets[t.id] = catalog.Target{ID: t.id, Version: t.id, Service: "s", Zone: "z", Addr: t.ln.Addr().String(), Phase: catalog.Serving, Slots: 8, Born: 1}
		}
		s.Rollouts["s"] = catalog.Rollout{Service: "s", Version: "v2", Number: 1, Revision: revision, State: state, Share: share}
		w.host.view.setState(w.host.Clock.Now(), s)
	}
	requests := func(s *standin) int {
		s.mu.Lock()
		defer s.mu.Unlock()
		return len(s.seen)
	}
	BeforeEach(func() {
		old, fresh = newStandin("v1", ok), newStandin("v2", "HTTP/1.1 500 no\r\nReq-Id: ID\r\nContent-Length: 0\r\n\r\n")
		w = newTestHost(old, fresh)
	})

	// Guards against counts that miss the failures of the new version because a retry
	// at the old one succeeded, and against retries that go to the new version.
	It("counts the responses of both versions, and sends a failed request to the old one", func() {
		set(catalog.RolloutRunning, 0.04, 2)
		Expect(w.get("/safe/x").status).To(Equal(http.StatusOK))
		Expect(requests(old)).To(Equal(1))
		Expect(requests(fresh)).To(Equal(1))
		l := w.host.view.rolloutReports(w.host.Clock.Now())
		Expect(l).To(HaveLen(1))
		Expect(l[0].Revision).To(Equal(uint64(2)))
		Expect(l[0].OldInFlight).To(Equal(0))
		Expect(l[0].Rows).To(HaveLen(2))
		Expect(l[0].Rows[0].Served).To(Equal(uint32(1)))
		Expect(l[0].Rows[0].New).To(BeFalse())
		Expect(l[0].Rows[1].Failed).To(Equal(uint32(1)))
		Expect(l[0].Rows[1].Target).To(Equal(balance.Key("v2")))
		Expect(l[0].Rows[1].Route).To(Equal("safe"))
	})

	It("sends nothing to the new version before the first step and after a roll-back", func() {
		set(catalog.RolloutRunning, 0, 1)
		Expect(w.get("/safe/x").status).To(Equal(http.StatusOK))
		set(catalog.RolloutRolledBack, 0, 2)
		Expect(w.post("/unsafe/x", "").status).To(Equal(http.StatusOK))
		Expect(requests(old)).To(Equal(2))
		Expect(requests(fresh)).To(Equal(0))
		Expect(w.host.view.rolloutReports(w.host.Clock.Now())).To(BeEmpty())
	})

	It("sends nothing to the old version in the last step", func() {
		set(catalog.RolloutRunning, 1, 3)
		Expect(w.post("/unsafe/x", "").status).To(Equal(http.StatusInternalServerError))
		Expect(requests(old)).To(Equal(0))
	})
})
