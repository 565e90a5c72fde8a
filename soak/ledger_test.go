package soak

import (
	"testing"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/carawayrack/carawayrack/clock"
)

func TestSoak(t *testing.T) {
	RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "soak")
}

var _ = ginkgo.Describe("Ledger", func() {
	var l *Ledger
	var now clock.Millis
	ginkgo.BeforeEach(func() {
		l = newLedger()
		now = 0
		l.now = func() clock.Millis { return now }
	})
	promises := func() []string {
		var p []string
		for _, v := range l.check() {
			p = append(p, v.Promise)
		}
		return p
	}

	ginkgo.It("reports a non-idempotent request that was executed twice", func() {
		l.send("a", "h", false, "club-1")
		l.send("b", "h", true, "club-1")
		for _, id := range []string{"a", "a", "b", "b"} {
			l.execute(id, "t", unlimited)
		}
		Expect(promises()).To(Equal([]string{"once"}))
	})

	ginkgo.It("reports a refused non-idempotent request that was executed", func() {
		l.send("a", "h", true, "club-1")
		l.setStatus("a", 503)
		l.execute("a", "t", unlimited)
		Expect(promises()).To(Equal([]string{"refusal"}))
	})

	ginkgo.It("reports a key that is accepted too long after its withdrawal", func() {
		l.revoke("club-1")
		now = revokeWithin
		l.send("a", "h", true, "club-1")
		l.execute("a", "t", unlimited)
		Expect(promises()).To(BeEmpty())
		now++
		l.send("b", "h", true, "club-1")
		l.execute("b", "t", unlimited)
		Expect(promises()).To(Equal([]string{"key"}))
	})

	ginkgo.It("reports a request executed for the wrong account, and one that no caller sent", func() {
		l.send("a", "h", true, limited+"-key")
		l.execute("a", "t", unlimited)
		l.execute("b", "t", unlimited)
		Expect(promises()).To(ConsistOf("account", "unasked"))
	})

	ginkgo.It("reports a request to a target that has left, unless a process was disturbed", func() {
		l.leave("t")
		now = drainWithin + 1
		l.arrive("t", "x")
		Expect(promises()).To(Equal([]string{"drain"}))
		l.addFault()
		Expect(promises()).To(BeEmpty())
	})

	ginkgo.It("reports a window with more executions than the quota allows", func() {
		for i := 0; i < 300; i++ {
			now = clock.Millis(i * 20)
			id := string(rune('a'+i%26)) + string(rune('a'+i/26))
			l.send(id, "h", true, limited+"-key")
			l.execute(id, "t", limited)
		}
		Expect(promises()).To(Equal([]string{"quota"}))
	})

	ginkgo.It("reports a request that reached a target after its host had passed on that it leaves", func() {
		l.send("a", "h", false, "club-1")
		l.tellLeaving("a", "t")
		now = drainWithin
		l.send("b", "h", false, "club-1")
		now++
		l.send("c", "other", false, "club-1")
		for _, id := range []string{"a", "b", "c"} {
			l.arrive("t", id)
		}
		Expect(promises()).To(BeEmpty())
		l.send("d", "h", false, "club-1")
		l.arrive("t", "d")
		Expect(promises()).To(Equal([]string{"leaving"}))
		l.disturb("h")
		Expect(promises()).To(BeEmpty())
	})

	ginkgo.It("reports more than two requests in a pause", func() {
		now = 10_000
		l.send("a", "h", false, "club-1")
		l.askForPause("a", "t", 1000)
		for k, at := range []clock.Millis{10_500, 10_501, 10_999, 11_000} {
			now = at
			id := string(rune('b' + k))
			l.send(id, "h", false, "club-1")
			l.arrive("t", id)
		}
		Expect(promises()).To(BeEmpty())
		now = 10_700
		l.send("z", "h", false, "club-1")
		l.arrive("t", "z")
		Expect(promises()).To(Equal([]string{"pause"}))
		l.disturb("t")
		Expect(promises()).To(BeEmpty())
	})
})
