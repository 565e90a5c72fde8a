package balance

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func key(id string) uint32 { return Key(id) }

var _ = Describe("Observation", func() {
	It("decodes what it encoded, and ignores an incomplete observation at the end", func() {
		l := []Observation{{Key: 7, InFlight: 2, SuccessesNeeded: 1, OKAge: 300, FailAge: never}, {Key: 9, OKAge: never, FailAge: 4}}
		b := EncodeObservations(nil, l)
		Expect(DecodeObservations(b)).To(Equal(l))
		Expect(DecodeObservations(b[:len(b)-1])).To(Equal(l[:1]))
		Expect(DecodeObservations(nil)).To(BeEmpty())
	})

	It("merges a failure and the requests in flight of another host", func() {
		p := newPool("a", "a1", "a2")
		succeed(p, 100, "a1", "a2")
		Expect(p.Merge(200, "h2", Observation{Key: key("a1"), InFlight: 2, SuccessesNeeded: 4, OKAge: never, FailAge: 5})).To(BeTrue())
		Expect(p.targets["a1"].successesNeeded).To(Equal(4))
		Expect(p.targets["a1"].totalInFlight(200)).To(Equal(2))
		Expect(p.targets["a1"].totalInFlight(200 + peerMaxAge + 1)).To(Equal(0))
	})

	It("does not count a success that another host saw before the last failure or within ageTolerance after it", func() {
		p := newPool("a", "a1")
		p.targets["a1"].inFlight++
		p.Done(100, "a1", Result{Outcome: Broken, Took: 1})
		p.Merge(103, "h2", Observation{Key: key("a1"), OKAge: 4, FailAge: never})
		p.Merge(104, "h2", Observation{Key: key("a1"), OKAge: 2, FailAge: never})
		Expect(p.targets["a1"].successesNeeded).To(Equal(maxSuccessesNeeded))
		p.Merge(200, "h2", Observation{Key: key("a1"), OKAge: 10, FailAge: never})
		Expect(p.targets["a1"].successesNeeded).To(Equal(maxSuccessesNeeded - 1))
	})

	It("counts a success that is reported several times only once", func() {
		p := newPool("a", "a1")
		p.targets["a1"].inFlight++
		p.Done(100, "a1", Result{Outcome: Broken, Took: 1})
		for i := 0; i < 5; i++ {
			p.Merge(200, "h2", Observation{Key: key("a1"), OKAge: 10, FailAge: never})
		}
		Expect(p.targets["a1"].successesNeeded).To(Equal(maxSuccessesNeeded - 1))
	})

	It("overwrites the health only of targets that this host does not own", func() {
		p := newPool("a", "a1", "b1")
		for _, id := range []string{"a1", "b1"} {
			p.targets[id].inFlight++
			p.Done(100, id, Result{Outcome: Broken, Took: 1})
			p.Overwrite(200, "h9", Observation{Key: key(id), OKAge: 1, FailAge: never})
		}
		Expect(p.targets["a1"].successesNeeded).To(Equal(maxSuccessesNeeded))
		Expect(p.targets["b1"].successesNeeded).To(Equal(0))
	})

	It("reports unknown targets as not in the pool", func() {
		p := newPool("a", "a1")
		Expect(p.Merge(1, "h", Observation{Key: 1})).To(BeFalse())
		Expect(p.Overwrite(1, "h", Observation{Key: 1})).To(BeFalse())
		_, ok := p.ObservationOf(1, "x")
		Expect(ok).To(BeFalse())
	})

	It("reports a request that has been in flight for a while as accepted", func() {
		p := newPool("a", "a1")
		c, _ := p.Pick(100, unsafe)
		e, _ := p.ObservationOf(105, c.ID)
		Expect(e.OKAge).To(Equal(uint16(never)))
		e, _ = p.ObservationOf(120, c.ID)
		Expect(e.OKAge).To(Equal(uint16(20)))
	})
})
