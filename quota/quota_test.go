package quota

import (
	"math/rand"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/carawayrack/carawayrack/clock"
)

var _ = Describe("Bucket", func() {
	It("lends no more than the rate, one burst and one token in every 5 s", func() {
		for seed := int64(1); seed <= 20; seed++ {
			r := rand.New(rand.NewSource(seed))
			b := &Bucket{Rate: 20, Burst: 10}
			b.Run(0, 1)
			var at []clock.Millis
			for now := clock.Millis(0); now < 30_000; now += clock.Millis(r.Intn(40)) {
				for k := b.Take(now, 1+r.Intn(4)); k > 0; k-- {
					at = append(at, now)
				}
			}
			for i, j := 0, 0; i < len(at); i++ {
				for j < len(at) && at[j] < at[i]+5000 {
					j++
				}
				Expect(float64(j-i)).To(BeNumerically("<=", 20*5+10+1), "seed %d", seed)
			}
		}
	})

	// Guards against caches whose tokens are spent beside a burst that has filled up again.
	It("holds no more than its burst together with the tokens that were lent ahead", func() {
		b := &Bucket{Rate: 100, Burst: 50}
		b.Run(0, 1)
		held := 0
		for now := clock.Millis(0); now < 1000; now += 100 {
			held = b.TakeAhead(now, 10, 0)
		}
		Expect(b.Take(1000, 1000) + held).To(BeNumerically("<=", 50))
	})

	It("has its whole burst again once nothing was lent ahead for a while", func() {
		b := &Bucket{Rate: 100, Burst: 50}
		b.Run(0, 1)
		b.TakeAhead(0, 30, 0)
		Expect(b.Take(1000, 1000)).To(Equal(50))
		b.TakeAhead(2000, 30, 30)
		Expect(b.Take(2300, 1000)).To(Equal(50), "tokens of requests that wait are spent at once")
	})

	It("may be in debt, which it makes up for at its rate", func() {
		b := &Bucket{Rate: 10, Burst: 10}
		b.Run(0, 1)
		b.Debit(0, 15)
		Expect(b.Take(500, 1)).To(Equal(0))
		Expect(b.Wait(500)).To(BeNumerically("~", 100, 2))
		Expect(b.Take(700, 5)).To(Equal(2))
	})

	It("returns the time until the next token", func() {
		b := &Bucket{Rate: 10, Burst: 1}
		b.Run(0, 1)
		Expect(b.Take(0, 1)).To(Equal(1))
		Expect(b.Take(0, 1)).To(Equal(0))
		w := b.Wait(0)
		Expect(w).To(BeNumerically("~", 100, 2))
		Expect(b.Take(w, 1)).To(Equal(1))
	})

	It("accepts returned tokens up to its burst", func() {
		b := &Bucket{Rate: 1, Burst: 4}
		b.Run(0, 1)
		Expect(b.Take(0, 4)).To(Equal(4))
		b.Return(0, 9)
		Expect(b.Take(0, 9)).To(Equal(4))
	})

	It("applies a lower limit at once", func() {
		b := &Bucket{Rate: 100, Burst: 100}
		b.Run(0, 1)
		b.SetLimit(0, 1, 2)
		Expect(b.Take(0, 50)).To(Equal(2))
	})
})

var _ = Describe("Cache", func() {
	It("prefetches according to the recent demand, and never more than MaxPrefetch", func() {
		c := &Cache{MaxPrefetch: 3}
		Expect(c.PrefetchNeeded(0)).To(Equal(0))
		for now := clock.Millis(0); now < 500; now += 10 {
			c.Spend(now, 1)
		}
		Expect(c.PrefetchNeeded(500)).To(Equal(3))
		c.Add(2)
		Expect(c.PrefetchNeeded(500)).To(Equal(1))
	})

	It("prefetches nothing for rare requests, since another host may need the token", func() {
		c := &Cache{MaxPrefetch: 3}
		c.Spend(0, 1)
		Expect(c.PrefetchNeeded(1)).To(Equal(0))
	})

	It("returns tokens that were not requested for a while", func() {
		c := &Cache{MaxPrefetch: 3}
		c.Spend(0, 1)
		c.Add(2)
		Expect(c.TakeSurplus(idleAfter)).To(Equal(0))
		Expect(c.TakeSurplus(idleAfter + 1)).To(Equal(2))
		Expect(c.Spend(idleAfter+2, 1)).To(BeFalse())
	})

	It("stores how long the lender has no tokens", func() {
		c := &Cache{}
		c.SetLenderEmpty(100, 50)
		Expect(c.LenderWait(120)).To(Equal(clock.Millis(30)))
		Expect(c.LenderWait(200)).To(Equal(clock.Millis(0)))
	})
})

// One bucket at the leader, with a token cache for each host.
var _ = Describe("an account with high demand at many hosts", func() {
	It("exceeds its limit by no more than a tenth and 20 tokens in every 5 s, also when the leader changes", func() {
		const rate, burst, hosts = 64.0, 64.0, 12
		for seed := int64(1); seed <= 10; seed++ {
			r := rand.New(rand.NewSource(seed))
			b := &Bucket{Rate: rate, Burst: burst}
			b.Run(0, 1)
			var caches []*Cache
			for i := 0; i < hosts; i++ {
				caches = append(caches, &Cache{MaxPrefetch: 2})
			}
			var at []clock.Millis
			for now := clock.Millis(0); now < 20_000; now++ {
				if now == 9000 {
					// A new leader does not know which tokens were lent.
					b = &Bucket{Rate: rate, Burst: burst}
					b.Run(now, 0.3)
				}
				if now%100 == 0 {
					for _, c := range caches {
						c.Add(b.Take(now, c.PrefetchNeeded(now)))
					}
				}
				if r.Intn(2) == 0 {
					c := caches[r.Intn(hosts)]
					if c.Spend(now, 1) || b.Take(now, 1) == 1 {
						at = append(at, now)
					}
				}
			}
			limit := (rate*5+burst)*1.1 + 20
			for i, j := 0, 0; i < len(at); i++ {
				for j < len(at) && at[j] < at[i]+5000 {
					j++
				}
				Expect(float64(j-i)).To(BeNumerically("<=", limit), "seed %d at %d", seed, at[i])
			}
		}
	})
})

var _ = Describe("RetryBudget", func() {
	It("allows a fraction of the requests and at most Depth more", func() {
		r := &RetryBudget{Ratio: 0.2, Depth: 5}
		r.Run()
		sent := 0
		for i := 0; i < 1000; i++ {
			r.CountRequest()
			for r.Spend() {
				sent++
			}
		}
		Expect(sent).To(BeNumerically("<=", 200+5))
		Expect(sent).To(BeNumerically(">=", 195))
	})
})
