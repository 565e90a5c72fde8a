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
