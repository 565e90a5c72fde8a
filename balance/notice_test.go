package balance

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/carawayrack/carawayrack/catalog"
	"github.com/carawayrack/carawayrack/clock"
)

// picks returns the IDs of the targets that n requests at a time are sent to.
func picks(p *Pool, now clock.Millis, n int) map[string]int {
	m := map[string]int{}
	for range n {
		if c, ok := p.Pick(now, unsafe); ok {
			m[c.ID]++
		}
	}
	for id, k := range m {
		for range k {
			p.Done(now, id, Result{Outcome: Cancelled})
		}
	}
	return m
}

var _ = Describe("a target that says that it leaves", func() {
	It("gets nothing new, whatever control processes report of this incarnation", func() {
		p := newPool("a", "a1", "a2")
		succeed(p, 10, "a1", "a2")
		Expect(p.Heed(20, "a1", 1, Notice{Leaving: true})).To(BeTrue())
		Expect(p.Heed(20, "a1", 1, Notice{Leaving: true})).To(BeFalse())
		Expect(picks(p, 30, 6)).NotTo(HaveKey("a1"))
		l := testTargets("a1", "a2")
		l[0].Number = 99
		p.SetTargets(40, l, nil)
		Expect(picks(p, 50, 6)).NotTo(HaveKey("a1"))
		Expect(p.targets["a1"].successesNeeded).To(BeZero())
	})

	It("is used again as a new incarnation, which late responses of the old one do not mark", func() {
		p := newPool("a", "a1")
		p.Heed(20, "a1", 1, Notice{Leaving: true})
		l := testTargets("a1")
		l[0].Born = 2
		p.SetTargets(40, l, nil)
		Expect(p.Heed(50, "a1", 1, Notice{Leaving: true, Pause: 5000})).To(BeFalse())
		Expect(picks(p, 60, 1)).To(HaveKey("a1"))
	})

	It("gets no request that was placed there a moment before", func() {
		p := newPool("a", "a1")
		c, ok := p.Pick(10, unsafe)
		Expect(ok).To(BeTrue())
		Expect(p.Wanted(11, c.ID, c.Born)).To(Succeed())
		p.Heed(12, "a1", 1, Notice{Leaving: true})
		Expect(p.Wanted(13, c.ID, c.Born)).To(Equal(TargetLeaving{"a1"}))
	})

	It("gets no request that was placed before a control process reported it", func() {
		p := newPool("a", "a1")
		c, _ := p.Pick(10, unsafe)
		l := testTargets("a1")
		l[0].Phase = catalog.Leaving
		p.SetTargets(11, l, nil)
		Expect(p.Wanted(12, c.ID, c.Born)).To(Equal(TargetLeaving{"a1"}))
	})

	It("gets no health checks", func() {
		p := unhealthyPool()
		p.Heed(1100, "a1", 1, Notice{Leaving: true})
		Expect(p.DueHealthChecks(1200)).To(BeEmpty())
	})

	It("closes the service if all targets leave", func() {
		p := newPool("a", "a1", "a2")
		p.Heed(20, "a1", 1, Notice{Leaving: true})
		_, closed := p.Closed(30)
		Expect(closed).To(BeFalse())
		p.Heed(20, "a2", 1, Notice{Leaving: true})
		wait, closed := p.Closed(30)
		Expect(closed).To(BeTrue())
		Expect(wait).To(BeZero())
		_, closed = newPool("a").Closed(30)
		Expect(closed).To(BeFalse(), "no target is known yet")
	})
})

var _ = Describe("a target that asks for a pause", func() {
	It("gets nothing until its end, and is as healthy as before", func() {
		p := newPool("a", "a1", "a2")
		succeed(p, 10, "a1", "a2")
		c, _ := p.Pick(20, unsafe)
		p.Heed(30, c.ID, 1, Notice{Pause: 1000})
		p.Done(30, c.ID, Result{Outcome: Shed, Took: 10})
		Expect(p.Wanted(40, c.ID, 1)).To(Equal(TargetPaused{c.ID, 990}))
		Expect(picks(p, 40, 20)).NotTo(HaveKey(c.ID))
		Expect(picks(p, 1029, 20)).NotTo(HaveKey(c.ID))
		Expect(p.targets[c.ID].successesNeeded).To(BeZero())
		Expect(p.Wanted(1030, c.ID, 1)).To(Succeed())
		Expect(picks(p, 1030, 20)).To(HaveKey(c.ID))
	})

	It("keeps the longest of several pauses", func() {
		p := newPool("a", "a1")
		p.Heed(0, "a1", 1, Notice{Pause: 1000})
		p.Heed(10, "a1", 1, Notice{Pause: 100})
		Expect(p.Wanted(500, "a1", 1)).NotTo(Succeed())
	})

	It("gets no health checks either", func() {
		p := unhealthyPool()
		p.Heed(1100, "a1", 1, Notice{Pause: 3000})
		Expect(p.DueHealthChecks(1200)).To(BeEmpty())
		Expect(p.DueHealthChecks(4101)).NotTo(BeEmpty())
	})

	It("does not get all hosts back in the same instant", func() {
		ends := map[clock.Millis]bool{}
		for k := range 40 {
			p := newPool("a", "a1")
			p.Random = func(n int) int { return k * n / 40 }
			p.Heed(0, "a1", 1, Notice{Pause: 1000})
			Expect(p.targets["a1"].pausedUntil).To(BeNumerically(">=", 1000))
			Expect(p.targets["a1"].pausedUntil).To(BeNumerically("<=", 1100))
			ends[p.targets["a1"].pausedUntil] = true
		}
		Expect(len(ends)).To(BeNumerically(">=", 40))
	})

	It("closes the service until the first pause ends if all healthy targets ask for one", func() {
		p := newPool("a", "a1", "a2", "a3")
		succeed(p, 10, "a1", "a2", "a3")
		run(p, 20, unsafe, Broken, 1)
		healthy := []string{}
		for id, t := range p.targets {
			if t.successesNeeded == 0 {
				healthy = append(healthy, id)
			}
		}
		p.Heed(30, healthy[0], 1, Notice{Pause: 2000})
		_, closed := p.Closed(40)
		Expect(closed).To(BeFalse())
		p.Heed(30, healthy[1], 1, Notice{Pause: 500})
		wait, closed := p.Closed(40)
		Expect(closed).To(BeTrue())
		Expect(wait).To(Equal(clock.Millis(490)))
	})
})
