package coordinator

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/carawayrack/carawayrack/catalog"
	"github.com/carawayrack/carawayrack/clock"
)

var _ = Describe("lender", func() {
	config := &catalog.Config{Accounts: []catalog.Account{{Name: "x", Rate: 20, Burst: 20}}}
	lendAll := func(l *lender, now clock.Millis) int {
		k, _ := l.lend(now, "x", 1000)
		return k
	}
	newLender := func() *lender {
		l := &lender{}
		l.run()
		return l
	}

	// When all control processes restart, the new leader applies the configuration
	// only after it leads. It must not take the accounts for new ones.
	It("lends no second burst when it becomes leader before it has applied the configuration", func() {
		l := newLender()
		l.setLeading(5000, true, nil)
		l.setLimits(5020, config)
		Expect(float64(lendAll(l, 5020))).To(BeNumerically("<=", takeoverShare*20+takeoverTokens))
	})

	It("lends no second burst when it becomes leader with the configuration applied", func() {
		l := newLender()
		l.setLeading(5000, true, config)
		l.setLimits(5020, config)
		Expect(float64(lendAll(l, 5020))).To(BeNumerically("<=", takeoverShare*20+takeoverTokens))
	})

	It("lends the whole burst of a new account", func() {
		l := newLender()
		l.setLeading(5000, true, &catalog.Config{})
		l.setLimits(5000+takeoverPeriod, config)
		Expect(lendAll(l, 5000+takeoverPeriod)).To(Equal(20))
	})
})
