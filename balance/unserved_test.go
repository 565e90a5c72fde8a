package balance

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/carawayrack/carawayrack/clock"
)

var _ = Describe("the share of unserved requests", func() {
	It("covers the last 2 s of this host, and other hosts for 3 s after their counts", func() {
		p := newPool("a", "a1")
		Expect(p.UnservedShare(0)).To(Equal(UnservedShare{Known: true}), "there is no other host")
		p.SetHosts([]string{"h1", "h2"})
		Expect(p.UnservedShare(0).Known).To(BeFalse())
		p.CountOutcome(10_000, true)
		p.SetPeerOutcomes(11_000, "h2", Outcomes{3, 1}, 10_900)
		p.SetPeerOutcomes(11_000, "h2", Outcomes{9, 9}, 10_800)
		Expect(p.UnservedShare(11_900)).To(Equal(UnservedShare{Known: true, Share: 0.25, Ended: 4, Unserved: 1, Hosts: 1, OldestAge: 1000}))
		Expect(p.UnservedShare(12_100).Ended).To(Equal(3))
		Expect(p.UnservedShare(13_901)).To(Equal(UnservedShare{}))
	})

	// Guards against old processes that take counts for the state of a target.
	It("is sent in a form that processes without it ignore", func() {
		e := DecodeObservations(EncodeObservations(nil, []Observation{Outcomes{1000, 100}.Observation("s")}))[0]
		o, service, age, ok := e.Outcomes()
		Expect(ok).To(BeTrue())
		Expect(o).To(Equal(Outcomes{255, 26}), "the share is kept")
		Expect(service).To(Equal(ServiceKey("s")))
		Expect(age).To(Equal(clock.Millis(0)))
		p := newPool("a", "a1")
		Expect(p.Merge(1, "h2", e)).To(BeFalse())
		Expect(p.Overwrite(1, "h2", e)).To(BeFalse())
	})
})
