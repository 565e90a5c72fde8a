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

	ginkgo.It("finds a request that ran twice, if it must not be repeated", func() {
		l.send("a", false, "club-1")
		l.send("b", true, "club-1")
		for _, id := range []string{"a", "a", "b", "b"} {
			l.ran(id, "t", unlimited)
		}
		Expect(promises()).To(Equal([]string{"once"}))
	})

	ginkgo.It("finds a refusal that was not true", func() {
		l.send("a", true, "club-1")
		l.answered("a", 503)
		l.ran("a", "t", unlimited)
		Expect(promises()).To(Equal([]string{"refusal"}))
	})

	ginkgo.It("finds a key that works for too long after it was withdrawn", func() {
		l.revoke("club-1")
		now = revokeWithin
		l.send("a", true, "club-1")
		l.ran("a", "t", unlimited)
		Expect(promises()).To(BeEmpty())
		now++
		l.send("b", true, "club-1")
		l.ran("b", "t", unlimited)
		Expect(promises()).To(Equal([]string{"key"}))
	})

	ginkgo.It("finds a request of another account, and one that nobody sent", func() {
		l.send("a", true, limited+"-key")
		l.ran("a", "t", unlimited)
		l.ran("b", "t", unlimited)
		Expect(promises()).To(ConsistOf("account", "unasked"))
	})

	ginkgo.It("finds work at a target that has left, unless a process was disturbed", func() {
		l.leave("t")
		now = drainWithin + 1
		l.arrive("t")
		Expect(promises()).To(Equal([]string{"drain"}))
		l.fault()
		Expect(promises()).To(BeEmpty())
	})

	ginkgo.It("finds more than the quota in any window", func() {
		for i := 0; i < 300; i++ {
			now = clock.Millis(i * 20)
			id := string(rune('a'+i%26)) + string(rune('a'+i/26))
			l.send(id, true, limited+"-key")
			l.ran(id, "t", limited)
		}
		Expect(promises()).To(Equal([]string{"quota"}))
	})
})
