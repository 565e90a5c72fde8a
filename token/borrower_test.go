package token

import (
	"math/rand"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/carawayrack/carawayrack/catalog"
	"github.com/carawayrack/carawayrack/clock"
	"github.com/carawayrack/carawayrack/coordinator"
)

func TestToken(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "token")
}

var _ = Describe("tokens without a lender", func() {
	It("are taken without a request to an unreachable control process", func() {
		t := &Borrower{Hosts: func() int { return 1 }, Reachable: func() bool { return false }, Random: func() float64 { return 0 }}
		t.Borrow = func(coordinator.BorrowArgs) (coordinator.BorrowReply, error) {
			Fail("tried to borrow from an unreachable control process")
			return coordinator.BorrowReply{}, nil
		}
		t.Run()
		ok, _ := t.Take(&catalog.Account{Name: "acc", Rate: 100, Burst: 100})
		Expect(ok).To(BeTrue())
	})

	It("are no more than the host's part of the rate", func() {
		a := &catalog.Account{Name: "acc", Rate: 100, Burst: 100}
		now := clock.Boot().Now()
		t := &Borrower{Hosts: func() int { return 10 }, Reachable: func() bool { return true }, Random: func() float64 { return 0.5 }}
		t.Clock.Read = func() clock.Millis { return now }
		t.Borrow = func(coordinator.BorrowArgs) (coordinator.BorrowReply, error) { return coordinator.BorrowReply{}, nil }
		t.Run()
		n := 0
		for end := now + 10_000; now < end; now += 5 {
			if ok, _ := t.Take(a); ok {
				n++
			}
		}
		Expect(float64(n)).To(BeNumerically("<=", a.Rate/10*10+a.Rate/10+1))
		Expect(float64(n)).To(BeNumerically(">=", a.Rate/10*10*fallbackShare*0.9))
	})

	// Guards against a host's part that gets no tokens because control processes without a
	// leader still reply to exchanges.
	It("come at the part's rate also while control processes reply that nobody lends", func() {
		a := &catalog.Account{Name: "acc", Rate: 100, Burst: 100}
		now := clock.Millis(100_000)
		t := &Borrower{Hosts: func() int { return 10 }, Reachable: func() bool { return true }, Random: func() float64 { return 0 }}
		t.Clock.Read = func() clock.Millis { return now }
		t.Borrow = func(coordinator.BorrowArgs) (coordinator.BorrowReply, error) { return coordinator.BorrowReply{}, nil }
		t.Run()
		lost, n := now, 0
		for ; now < lost+2000; now += 5 {
			if now%100 == 0 {
				t.Add(nil, now-lost)
			}
			if ok, _ := t.Take(a); ok {
				n++
			}
		}
		Expect(float64(n)).To(BeNumerically("~", a.Rate/10*fallbackShare*2, 2))
		Expect(t.State(now, a).LenderAge).To(Equal(clock.Millis(2000)))
	})

	It("are reported as spent until a control process knows", func() {
		a := &catalog.Account{Name: "acc", Rate: 100, Burst: 100}
		t := &Borrower{Hosts: func() int { return 1 }, Reachable: func() bool { return true }, Random: func() float64 { return 0.5 }}
		t.Borrow = func(coordinator.BorrowArgs) (coordinator.BorrowReply, error) { return coordinator.BorrowReply{}, nil }
		t.Run()
		for range 5 {
			ok, _, s := t.TakeFrom(a)
			Expect(ok).To(BeTrue())
			Expect(s).To(Equal(SourceOwnPart))
		}
		l, round := t.Spent()
		Expect(l).To(Equal(map[string]int{"acc": 5}))
		Expect(round).To(BeZero())
		_, _ = t.Take(a)
		t.Settle(l)
		l, round = t.Spent()
		Expect(l).To(Equal(map[string]int{"acc": 1}))
		Expect(round).To(Equal(uint64(1)))
	})

	// The leader freezes, another one is elected and freezes too: hosts lose their
	// lender again and again, for less than a second each time.
	It("do not add up while the lender is lost again and again", func() {
		const hosts, rate, window = 12, 46, 5
		a := &catalog.Account{Name: "acc", Rate: rate, Burst: rate}
		r := rand.New(rand.NewSource(1))
		n := 0
		for range hosts {
			now, away := clock.Millis(100_000), false
			t := &Borrower{Hosts: func() int { return hosts }, Reachable: func() bool { return !away }, Random: r.Float64}
			t.Clock.Read = func() clock.Millis { return now }
			t.Borrow = func(coordinator.BorrowArgs) (coordinator.BorrowReply, error) {
				return coordinator.BorrowReply{Known: true, Wait: 1}, nil
			}
			t.Run()
			for end := now + window*clock.Second; now < end; now += 20 {
				// Away for 200 ms in each 1,250 ms.
				away = (end-now)%1250 < 200
				if ok, _ := t.Take(a); ok {
					n++
				}
			}
		}
		awayS := float64(window) * 200 / 1250
		Expect(float64(n)).To(BeNumerically("<=", rate*awayS*fallbackShare+hosts+rate*fallbackBurst))
	})

	// In a large deployment without a control plane, one account sends many times
	// its rate to all hosts: their fallback buckets together must not exceed the
	// quota.
	It("are within the quota of the whole fleet even with many hosts", func() {
		const hosts, rate, burst, window = 119, 23, 23, 5
		a := &catalog.Account{Name: "acc", Rate: rate, Burst: burst}
		r := rand.New(rand.NewSource(1))
		n := 0
		for h := 0; h < hosts; h++ {
			now := clock.Millis(100_000)
			t := &Borrower{Hosts: func() int { return hosts }, Reachable: func() bool { return false }, Random: r.Float64}
			t.Clock.Read = func() clock.Millis { return now }
			t.Run()
			for end := now + window*clock.Second/2; now < end; now += 50 {
				if ok, _ := t.Take(a); ok {
					n++
				}
			}
		}
		// The leader lent tokens in the first half of the window; the bound is
		// what the quota allows in a whole window.
		Expect(float64(n) + rate*window/2 + burst).To(BeNumerically("<=", (rate*window+burst)*1.1+20))
		Expect(float64(n)).To(BeNumerically(">=", rate*window/2*fallbackShare*0.9))
	})
})

var _ = Describe("the state of an account", func() {
	// Guards against an explanation of a route that takes tokens or counts as demand.
	It("is read without a change", func() {
		now := clock.Millis(100_000)
		t := &Borrower{Hosts: func() int { return 1 }, Reachable: func() bool { return true }, Random: func() float64 { return 0 }}
		t.Clock.Read = func() clock.Millis { return now }
		lent := coordinator.BorrowReply{Tokens: 3, Known: true}
		t.Borrow = func(coordinator.BorrowArgs) (coordinator.BorrowReply, error) { return lent, nil }
		t.Run()
		a := &catalog.Account{Name: "acc", Rate: 10, Burst: 10}
		Expect(t.State(now, a)).To(Equal(State{Source: SourceLender, LenderAge: -1}))
		Expect(t.accounts).To(BeEmpty())
		ok, _ := t.Take(a)
		Expect(ok).To(BeTrue())
		before := *t.accounts["acc"]
		now += 100
		Expect(t.State(now, a)).To(Equal(State{Held: 2, Source: SourceHeld, LenderAge: 100}))
		Expect(*t.accounts["acc"]).To(Equal(before))
		lent = coordinator.BorrowReply{Known: true, Wait: 400}
		for range 3 {
			_, _ = t.Take(a)
		}
		now += 100
		Expect(t.State(now, a)).To(Equal(State{Source: SourceEmpty, Wait: 300, LenderAge: 100}))
		Expect(t.State(now, &catalog.Account{Name: "free"})).To(Equal(State{LenderAge: 100}))
	})
})
