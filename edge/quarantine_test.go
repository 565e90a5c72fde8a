package edge

import (
	"net/http"
	"strconv"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/carawayrack/carawayrack/catalog"
	"github.com/carawayrack/carawayrack/coordinator"
	"github.com/carawayrack/carawayrack/poison"
)

var _ = Describe("a request that crashes its targets", func() {
	const path = "/unsafe/x"
	crashed := func(w *testHost, n int) {
		Eventually(w.messages, "5s").Should(HaveLen(n))
	}

	It("is quarantined after three targets have crashed, and reaches no other", func() {
		var l []*standin
		for i := 0; i < 5; i++ {
			l = append(l, newStandin("t"+strconv.Itoa(i), ""))
		}
		w := newTestHost(l...)
		w.down.Store(true)
		for n := 1; n <= 3; n++ {
			Expect(w.post(path, "bad").status).To(Equal(http.StatusBadGateway))
			crashed(w, n)
		}
		a := w.post(path, "bad")
		Expect(a.status).To(Equal(http.StatusServiceUnavailable))
		Expect(a.body).To(ContainSubstring(string(Quarantined)))
		Expect(a.header.Get("Retry-After")).NotTo(BeEmpty())
		reached := 0
		for _, t := range l {
			reached += t.requests()
		}
		Expect(reached).To(Equal(3))
		Eventually(w.suspectArgs, "5s").Should(ContainElement(HaveField("Crashed", true)))
		Expect(w.post(path, "good").status).NotTo(Equal(http.StatusServiceUnavailable), "a request with another body is not affected")
	})

	// Guards against targets that come back under their IDs and crash again and again.
	It("is quarantined after three crashes of two targets that start again under their IDs", func() {
		l := []*standin{newStandin("t0", ""), newStandin("t1", "")}
		w := newTestHost(l...)
		w.down.Store(true)
		for n := 1; n <= 6; n++ {
			w.restart(int64(10*n), l...)
			if w.post(path, "bad").status == http.StatusServiceUnavailable {
				break
			}
			crashed(w, n)
		}
		Expect(l[0].requests() + l[1].requests()).To(Equal(3))
		Expect(w.post(path, "good").status).To(Equal(http.StatusBadGateway), "another request is not affected")
	})

	It("is not suspected if its targets still accept connections", func() {
		l := []*standin{newStandin("t0", ""), newStandin("t1", ""), newStandin("t2", ""), newStandin("t3", "")}
		w := newTestHost(l...)
		for n := 0; n < 4; n++ {
			Expect(w.post(path, "x").status).To(Equal(http.StatusBadGateway))
		}
		Consistently(w.messages, "300ms").Should(BeEmpty())
		Expect(w.host.poison.Suspects()).To(BeFalse())
	})

	It("is quarantined by messages of other hosts, and cleared by a response at any host", func() {
		t := newStandin("t", ok)
		w := newTestHost(t)
		q, err := http.NewRequest(http.MethodPost, "http://h"+path, nil)
		Expect(err).NotTo(HaveOccurred())
		q.RequestURI = path
		c := &call{host: w.host, r: q, account: w.host.view.config.Account("acc"), body: []byte("bad")}
		for k := uint32(1); k <= 3; k++ {
			w.host.poison.Receive(poison.Message{Fingerprint: c.fingerprint(), Target: k}.Encode())
		}
		Expect(w.post(path, "bad").status).To(Equal(http.StatusServiceUnavailable))
		Expect(t.requests()).To(BeZero())
		w.host.poison.Receive(poison.Message{Fingerprint: c.fingerprint(), Cleared: true}.Encode())
		Expect(w.post(path, "bad").status).To(Equal(http.StatusOK))
	})

	It("is reported to other hosts as cleared when a target answers it", func() {
		w := newTestHost(newStandin("t", ok))
		q, err := http.NewRequest(http.MethodPost, "http://h"+path, nil)
		Expect(err).NotTo(HaveOccurred())
		q.RequestURI = path
		c := &call{host: w.host, r: q, account: w.host.view.config.Account("acc"), body: []byte("fine")}
		w.host.poison.Receive(poison.Message{Fingerprint: c.fingerprint(), Target: 1}.Encode())
		Expect(w.post(path, "fine").status).To(Equal(http.StatusOK))
		crashed(w, 1)
		Expect(w.messages()[0]).To(Equal(poison.Message{Fingerprint: c.fingerprint(), Cleared: true}.Encode()))
	})

	fingerprint := func(w *testHost, path, body string) poison.Fingerprint {
		q, err := requestTo(w, path)
		Expect(err).NotTo(HaveOccurred())
		return (&call{host: w.host, r: q, account: w.host.view.config.Account("acc"), body: []byte(body)}).fingerprint()
	}
	list := func(w *testHost, f poison.Fingerprint) {
		w.host.poison.SetListed(map[uint64]catalog.Suspect{uint64(f): {Fingerprint: uint64(f), Sequence: 9}})
	}

	// Guards against hosts that forget a quarantine when they restart.
	It("is refused by a host that has just started if the control processes list it", func() {
		t := newStandin("t", ok)
		w := newTestHost(t)
		s := catalog.New(nil)
		f := uint64(fingerprint(w, path, "bad"))
		s.Config, s.Suspects[f] = w.host.view.config, catalog.Suspect{Fingerprint: f}
		w.host.setState(w.host.Clock.Now(), s)
		Expect(w.post(path, "bad").status).To(Equal(http.StatusServiceUnavailable))
		Expect(w.post(path, "bad").status).To(Equal(http.StatusServiceUnavailable))
		Expect(t.requests()).To(BeZero())
		Expect(w.suspectArgs()).To(HaveLen(1), "the host asks again only after the time that it was told")
	})

	// Guards against retries within a trial, each of which crashes a target.
	It("is sent to one target in a trial, also if it may be repeated", func() {
		l := []*standin{newStandin("t0", ""), newStandin("t1", "")}
		w := newTestHost(l...)
		w.grantTrials = true
		list(w, fingerprint(w, "/safe/x", "bad"))
		Expect(w.post("/safe/x", "bad").status).To(Equal(http.StatusBadGateway))
		Expect(l[0].requests() + l[1].requests()).To(Equal(1))
		Expect(w.post("/safe/x", "bad").status).To(Equal(http.StatusServiceUnavailable))
		Expect(l[0].requests() + l[1].requests()).To(Equal(1))
	})

	It("leaves its quarantine once a trial is answered", func() {
		w := newTestHost(newStandin("t", ok))
		w.grantTrials = true
		f := fingerprint(w, path, "fine")
		list(w, f)
		Expect(w.post(path, "fine").status).To(Equal(http.StatusOK))
		Eventually(w.suspectArgs, "5s").Should(ContainElement(coordinator.SuspectArgs{Fingerprint: uint64(f), Answered: true, Sequence: 9}))
		w.host.poison.SetListed(nil)
		Expect(w.post(path, "fine").status).To(Equal(http.StatusOK))
		Expect(w.host.poison.Suspects()).To(BeFalse())
	})
})
