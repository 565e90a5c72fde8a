package admission

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/carawayrack/carawayrack/clock"
)

var _ = Describe("Queue", func() {
	It("orders requests by priority, then by arrival", func() {
		q := &Queue{}
		low := &Waiter{Priority: 2, Since: 1}
		late := &Waiter{Priority: 1, Since: 3}
		early := &Waiter{Priority: 1, Since: 2}
		for _, w := range []*Waiter{low, late, early} {
			q.Add(w)
		}
		Expect(q.IsNext(early)).To(BeTrue())
		Expect(q.IsNext(late)).To(BeFalse())
		q.Remove(early)
		Expect(q.IsNext(late)).To(BeTrue())
		q.Remove(late)
		Expect(q.IsNext(low)).To(BeTrue())
	})

	It("lets a new request precede those that wait only if its priority is higher", func() {
		q := &Queue{}
		q.Add(&Waiter{Priority: 2, Since: 1})
		Expect(q.IsNext(&Waiter{Priority: 1, Since: 5})).To(BeTrue())
		Expect(q.IsNext(&Waiter{Priority: 2, Since: 5})).To(BeFalse())
	})

	It("admits a less urgent request after Guarantee - 1 more urgent ones, also if these did not wait", func() {
		q := &Queue{Guarantee: 5}
		low := &Waiter{Priority: 2, Since: 1}
		q.Add(low)
		urgent := &Waiter{Priority: 1, Since: 9}
		for range 4 {
			Expect(q.IsNext(urgent)).To(BeTrue())
			q.Admitted(urgent)
		}
		Expect(q.IsNext(urgent)).To(BeFalse())
		q.Add(urgent)
		q.Wake()
		Expect(low.Ready).To(Receive())
		Expect(q.IsNext(low)).To(BeTrue())
		q.Admitted(low)
		q.Remove(low)
		Expect(q.IsNext(urgent)).To(BeTrue())
	})

	It("keeps what a less urgent priority has earned while none of its requests waits", func() {
		q := &Queue{Guarantee: 3}
		urgent := &Waiter{Priority: 1, Since: 1}
		for range 2 {
			low := &Waiter{Priority: 2, Since: 1}
			q.Add(low)
			q.Admitted(urgent)
			q.Remove(low)
			// Nothing is earned meanwhile.
			q.Admitted(urgent)
		}
		low := &Waiter{Priority: 2, Since: 2}
		q.Add(low)
		Expect(q.IsNext(urgent)).To(BeFalse())
		Expect(q.IsNext(low)).To(BeTrue())
	})

	It("notifies the first request without blocking", func() {
		q := &Queue{}
		w := &Waiter{Since: 1}
		q.Add(w)
		q.Wake()
		q.Wake()
		Expect(w.Ready).To(Receive())
		Expect(w.Ready).NotTo(Receive())
	})

	It("is standing once it has not been empty for standingAfter", func() {
		q := &Queue{}
		Expect(q.Standing(0)).To(BeFalse())
		w := &Waiter{}
		q.Add(w)
		Expect(q.Standing(standingAfter)).To(BeFalse())
		Expect(q.Standing(standingAfter + 1)).To(BeTrue())
		q.Remove(w)
		Expect(q.Standing(clock.Second)).To(BeFalse())
	})
})
