package limit

import (
	"flag"
	"fmt"
	"math/rand"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/carawayrack/carawayrack/clock"
)

var (
	seed = flag.Int64("limit.seed", 1, "first seed of the random runs")
	runs = flag.Int("limit.runs", 200, "number of random runs")
)

const testLife = 200

// oracle is an ideal token bucket: it counts every token when it is spent.
type oracle struct {
	rate, burst int64
	level       int64
	at          clock.Millis
}

func (o *oracle) spend(now clock.Millis) bool {
	o.level = min(o.level+int64(now-o.at)*o.rate, o.burst*unitsPerToken)
	o.at = now
	o.level -= unitsPerToken
	return o.level >= 0
}

// delivery is a loan in a message to a host.
type delivery struct {
	at          clock.Millis
	requestedAt clock.Millis
	host        int
	loan        Loan
}

// fleet simulates token caches on several hosts and leaseholders that replace
// each other.
type fleet struct {
	r      *rand.Rand
	now    clock.Millis
	bucket *Bucket
	term   uint64
	caches []*Cache
	tokens [][]Token
	// pausedUntil is, for each host, the time until which it sends no requests.
	// It then sends all that hold a token at once, or returns their tokens.
	pausedUntil []clock.Millis
	// idleUntil is the time until which no requests arrive, so that the bucket
	// fills up.
	idleUntil  clock.Millis
	deliveries []delivery
	oracle     oracle
	spent      int
}

func newFleet(seed int64) *fleet {
	r := rand.New(rand.NewSource(seed))
	f := &fleet{r: r, now: 1000}
	f.oracle = oracle{rate: int64(1 + r.Intn(60_000)), burst: int64(1 + r.Intn(40)), at: f.now}
	f.oracle.level = f.oracle.burst * unitsPerToken
	for i := 0; i < 5; i++ {
		f.caches = append(f.caches, &Cache{IdleAfter: 40})
		f.tokens = append(f.tokens, nil)
		f.pausedUntil = append(f.pausedUntil, 0)
	}
	f.electLeaseholder(f.now)
	f.bucket.Fill()
	return f
}

func (f *fleet) electLeaseholder(unreportedUntil clock.Millis) {
	f.term++
	f.bucket = &Bucket{RatePerMinute: int(f.oracle.rate), Burst: int(f.oracle.burst), Term: f.term}
	f.bucket.Run(f.now, unreportedUntil)
}

// replaceLeaseholder elects a new leaseholder. Hosts that it reaches report their
// loans and refuse new ones of the former leaseholder. Loans of the other hosts
// count until they expire.
func (f *fleet) replaceLeaseholder() {
	f.electLeaseholder(f.now + testLife + testLife/loanMarginDivisor)
	if f.r.Intn(2) == 0 {
		f.idleUntil = f.now + testLife/2 + clock.Millis(f.r.Intn(testLife/2))
		for i := range f.pausedUntil {
			f.pausedUntil[i] = f.idleUntil
		}
	}
	unreachable := 0
	for _, c := range f.caches {
		if f.r.Intn(3) == 0 {
			unreachable++
			continue
		}
		for _, l := range c.Fence(f.now, f.term) {
			f.bucket.RestoreLoan(f.now, l)
		}
	}
	if unreachable == 0 {
		f.bucket.FinishRecovery(f.now)
	}
}

func (f *fleet) step() {
	f.now++
	if f.r.Intn(400) == 0 {
		f.replaceLeaseholder()
	}
	rest := f.deliveries[:0]
	for _, x := range f.deliveries {
		if x.at > f.now {
			rest = append(rest, x)
			continue
		}
		f.caches[x.host].Add(x.requestedAt, testLife, x.loan)
	}
	f.deliveries = rest
	for i, c := range f.caches {
		f.stepHost(i, c)
	}
}

func (f *fleet) stepHost(i int, c *Cache) {
	if f.now < f.idleUntil {
		return
	}
	for k := f.r.Intn(3); k > 0; k-- {
		if t, ok := c.Reserve(f.now); ok {
			f.tokens[i] = append(f.tokens[i], t)
		}
	}
	f.useTokens(i, c)
	c.ReturnIdle(f.now)
	if f.r.Intn(8) > 0 {
		return
	}
	for _, s := range c.TakeSettlements() {
		if f.r.Intn(10) > 0 {
			f.bucket.Settle(f.now, s.ID, s.Unspent)
		}
	}
	requestedAt := f.now - clock.Millis(f.r.Intn(10))
	l, wait := f.bucket.Lend(f.now, fmt.Sprint(i), 1+f.r.Intn(5), c.PrefetchNeeded(f.now), testLife)
	if l.Tokens == 0 {
		Expect(wait).To(BeNumerically(">", 0))
		return
	}
	// Some replies are late, some are lost.
	delay := clock.Millis(f.r.Intn(4))
	switch f.r.Intn(20) {
	case 0:
		return
	case 1, 2:
		delay = clock.Millis(f.r.Intn(2 * testLife))
	}
	f.deliveries = append(f.deliveries, delivery{f.now + delay, requestedAt, i, l})
}

// useTokens sends some of the requests that hold a token and returns the tokens
// of some others.
func (f *fleet) useTokens(i int, c *Cache) {
	if f.r.Intn(200) == 0 {
		f.pausedUntil[i] = f.now + clock.Millis(f.r.Intn(testLife))
	}
	if f.now < f.pausedUntil[i] {
		return
	}
	choices := 20
	if f.now < f.pausedUntil[i]+5 {
		choices = 3
	}
	rest := f.tokens[i][:0]
	for _, t := range f.tokens[i] {
		switch f.r.Intn(choices) {
		case 0:
			c.Return(f.now, t)
		case 1, 2:
			if c.Use(f.now, t) {
				f.spent++
				Expect(f.oracle.spend(f.now)).To(BeTrue(), "more than rate x t + burst at %d", f.now)
			}
		default:
			rest = append(rest, t)
		}
	}
	f.tokens[i] = rest
}

var _ = Describe("Bucket", func() {
	It("spends at most rate x t + burst tokens in every window, with lost messages and changes of leaseholder", func() {
		total := 0
		for k := 0; k < *runs; k++ {
			s := *seed + int64(k)
			By(fmt.Sprintf("seed %d", s))
			f := newFleet(s)
			for i := 0; i < 5000; i++ {
				f.step()
			}
			total += f.spent
		}
		Expect(total).To(BeNumerically(">", 10_000))
	})

	DescribeTable("Lend", func(level, want, prefetch, tokens int, wait clock.Millis) {
		b := &Bucket{RatePerMinute: 60, Burst: 10, Term: 1}
		b.Run(0, 0)
		b.level = int64(level) * unitsPerToken
		l, w := b.Lend(0, "h", want, prefetch, 1000)
		Expect(l.Tokens).To(Equal(tokens))
		Expect(w).To(Equal(wait))
	},
		Entry("lends what is available", 3, 5, 0, 3, clock.Millis(0)),
		Entry("lends tokens to prefetch from what is above half of the burst", 9, 1, 2, 3, clock.Millis(0)),
		Entry("lends no tokens to prefetch at half of the burst", 5, 1, 4, 1, clock.Millis(0)),
		Entry("returns the wait for the next token if there is none", 0, 1, 0, 0, clock.Millis(1001)),
	)

	It("lends nothing while a former leaseholder's loans are unreported, and then only tokens added since", func() {
		b := &Bucket{RatePerMinute: 60_000, Burst: 10, Term: 2}
		b.Run(0, 100)
		l, wait := b.Lend(99, "h", 1, 0, 1000)
		Expect(l.Tokens).To(BeZero())
		Expect(wait).To(BeNumerically(">", 0))
		l, _ = b.Lend(101, "h", 20, 0, 1000)
		Expect(l.Tokens).To(Equal(1))
		l, _ = b.Lend(106, "h", 20, 0, 1000)
		Expect(l.Tokens).To(Equal(5))
	})

	// Guards against accounts that get no tokens for the time between two requests.
	It("gets the tokens of the time after a loan has ended, though nobody asks then", func() {
		b := &Bucket{RatePerMinute: 60_000, Burst: 10, Term: 2}
		b.Run(0, 0)
		b.Fill()
		l, _ := b.Lend(0, "h", 10, 0, 100)
		n, _ := b.Tokens(l.Until + 4)
		Expect(n).To(Equal(4))
	})

	It("puts the unspent tokens of a settled loan back into the bucket", func() {
		b := &Bucket{RatePerMinute: 60, Burst: 10, Term: 1}
		b.Run(0, 0)
		b.Fill()
		l, _ := b.Lend(0, "h", 4, 0, 1000)
		b.Settle(1, l.ID, 3)
		n, lent := b.Tokens(1)
		Expect(n).To(Equal(9))
		Expect(lent).To(BeZero())
	})
})

// Guard against tokens that are lost while requests wait for something else than tokens.
var _ = Describe("tokens that expire unspent", func() {
	lend := func() (*Bucket, *Cache, Loan) {
		b, c := &Bucket{RatePerMinute: 1, Burst: 10, Term: 1}, &Cache{}
		b.Run(0, 0)
		b.Fill()
		l, _ := b.Lend(0, "h", 4, 0, 100)
		c.Add(0, 100, l)
		return b, c, l
	}

	It("go back into the bucket, once", func() {
		b, c, l := lend()
		spent, _ := c.Reserve(1)
		held, _ := c.Reserve(1)
		Expect(c.Use(2, spent)).To(BeTrue())
		Expect(c.Use(100, held)).To(BeFalse())
		Expect(c.TakeSettlements()).To(Equal([]Settlement{{ID: l.ID, Unspent: 3}}))
		for range 2 {
			b.Settle(200, l.ID, 3)
			n, lent := b.Tokens(200)
			Expect([]int{n, lent}).To(Equal([]int{9, 0}))
		}
	})

	It("count as spent if the host does not return them in time", func() {
		b, _, l := lend()
		b.Settle(110+returnTime, l.ID, 4)
		n, lent := b.Tokens(110 + returnTime)
		Expect([]int{n, lent}).To(Equal([]int{6, 0}))
	})
})

var _ = Describe("Cache", func() {
	It("refuses loans of a leaseholder that was replaced", func() {
		c := &Cache{}
		Expect(c.Add(0, 100, Loan{ID: LoanID{1, 1}, Tokens: 2})).To(BeTrue())
		Expect(c.Fence(1, 2)).To(HaveLen(1))
		Expect(c.Add(1, 100, Loan{ID: LoanID{1, 2}, Tokens: 2})).To(BeFalse())
		Expect(c.Add(1, 100, Loan{ID: LoanID{2, 1}, Tokens: 2})).To(BeTrue())
	})

	It("does not let a token be used after its loan has expired", func() {
		c := &Cache{}
		c.Add(0, 100, Loan{ID: LoanID{1, 1}, Tokens: 1})
		t, ok := c.Reserve(99)
		Expect(ok).To(BeTrue())
		Expect(c.Use(100, t)).To(BeFalse())
	})
})
