package shardclient

import (
	"context"
	"sync"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/carawayrack/carawayrack/clock"
	"github.com/carawayrack/carawayrack/config"
	"github.com/carawayrack/carawayrack/leaseholder"
	"github.com/carawayrack/carawayrack/limit"
	"github.com/carawayrack/carawayrack/refusal"
)

func TestShardClient(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "shardclient")
}

// lateLeaseholder lends the tokens of one account from an empty bucket, from a time on.
type lateLeaseholder struct {
	mu     sync.Mutex
	from   clock.Millis
	bucket limit.Bucket
}

func (l *lateLeaseholder) call(_, _ string, args, reply any, _ clock.Millis) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := clock.Clock{}.Now()
	r, a := reply.(*leaseholder.TakeReply), args.(*leaseholder.TakeArgs)
	if now < l.from {
		r.Status.Refusal = refusal.New(refusal.NotLeaseholder, "")
		return nil
	}
	r.Life = 10 * clock.Second
	r.Loan, r.Wait = l.bucket.Lend(now, a.Host, a.Want, 0, r.Life)
	return nil
}

// takeAll takes tokens for n requests that arrive while the account has no leaseholder and have
// a time limit. It returns the number of those that are refused because
// their rate cannot serve them.
func takeAll(n, ratePerMinute int, outage, limit clock.Millis) (refused int) {
	now := clock.Clock{}.Now()
	k := &lateLeaseholder{from: now + outage, bucket: newBucket(ratePerMinute)}
	k.bucket.Run(now+outage, 0)
	s := config.New()
	s.Hosts["h"] = config.Host{ID: "h", Zone: "z"}
	s.Accounts["a"] = config.Account{Name: "a", RatePerMinute: ratePerMinute, Burst: 20}
	t := &Tokens{
		Host: "h", Fences: &Fences{}, MaxWait: 100,
		Locator: &Locator{Config: func() *config.State { return s }, Call: k.call, SearchTimeout: 20 * clock.Second},
	}
	t.Run()
	defer t.Close()
	c, cancel := context.WithTimeout(context.Background(), limit.Duration())
	defer cancel()
	taken := make(chan *refusal.Refusal, n)
	for range n {
		go func() {
			_, x := t.Take(c, "a")
			taken <- x
		}()
	}
	for range n {
		if x := <-taken; x != nil {
			Expect(x.Code).To(BeElementOf(refusal.RateExceeded, refusal.TimedOut))
			if x.Code == refusal.RateExceeded {
				Expect(x.RetryAfter).To(BeNumerically(">", 0))
				refused++
			}
		}
	}
	return refused
}

func newBucket(ratePerMinute int) limit.Bucket {
	return limit.Bucket{RatePerMinute: ratePerMinute, Burst: 20, Term: 1}
}

var _ = Describe("requests that wait while their account has no leaseholder", func() {
	// Guards against requests that are refused for their rate because the search took long.
	It("get the tokens of the time after the search", func() {
		Expect(takeAll(20, 6000, 400, 10_000)).To(BeZero())
	})

	It("are refused if their rate cannot serve them all in time", func() {
		Expect(takeAll(20, 120, 400, 10_000)).To(BeNumerically(">=", 13))
	})

	It("are refused if their own time limits end before", func() {
		Expect(takeAll(20, 600, 400, 900)).To(BeNumerically(">=", 14))
	})

	It("are refused without an outage if they would wait longer than allowed", func() {
		Expect(takeAll(20, 120, 0, 10_000)).To(BeNumerically(">=", 19))
	})
})
