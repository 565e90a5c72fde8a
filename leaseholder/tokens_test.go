package leaseholder

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/carawayrack/carawayrack/clock"
	"github.com/carawayrack/carawayrack/config"
	"github.com/carawayrack/carawayrack/limit"
)

func TestLeaseholder(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "leaseholder")
}

// newLeadingShard returns a shard that leads and has known all loans since a time.
func newLeadingShard(known clock.Millis) *Shard {
	return &Shard{term: 1, since: known, loansKnownAt: known, buckets: map[string]*limit.Bucket{}, state: config.New(), Options: Options{TokenLife: 800}}
}

// setAccounts applies a configuration with the given accounts, of 60 requests a minute.
func (s *Shard) setAccounts(now clock.Millis, burst int, names ...string) {
	n := config.New()
	for _, x := range names {
		n.Accounts[x] = config.Account{Name: x, RatePerMinute: 60, Burst: burst}
	}
	s.state = n
	s.updateBuckets(now)
}

func (s *Shard) lendAll(now clock.Millis, account string) int {
	b := s.bucket(now, account)
	l, _ := b.Lend(now, "h", 1000, 0, 100)
	b.Settle(now, l.ID, 0)
	return l.Tokens
}

var _ = Describe("the bucket of an account", func() {
	// Guards against an account that gets its burst twice because a configuration lacked it
	// for a moment.
	It("is kept while the account is taken out, until it is full", func() {
		s := newLeadingShard(1)
		s.setAccounts(60_000, 10, "a", "b")
		Expect(s.lendAll(60_000, "a")).To(Equal(10))
		s.setAccounts(60_100, 10, "b")
		Expect(s.bucket(60_100, "a")).To(BeNil(), "no tokens of an account that is gone")
		s.setAccounts(60_200, 10, "a", "b")
		Expect(s.lendAll(62_200, "a")).To(Equal(2))
		Expect(s.lendAll(62_200, "b")).To(Equal(10), "another account keeps its own")
		s.setAccounts(63_000, 10, "b")
		s.setAccounts(80_000, 10, "b")
		Expect(s.buckets).NotTo(HaveKey("a"))
	})

	It("takes the limits with which the account comes back", func() {
		s := newLeadingShard(1)
		s.setAccounts(60_000, 10, "a")
		Expect(s.bucket(60_000, "a")).NotTo(BeNil())
		s.setAccounts(60_100, 10)
		s.setAccounts(60_200, 4, "a")
		Expect(s.lendAll(60_200, "a")).To(Equal(4))
	})

	It("of a new account holds what the time since the change of leaseholder allows", func() {
		s := newLeadingShard(50_000)
		s.setAccounts(53_000, 10, "a")
		Expect(s.lendAll(53_000, "a")).To(Equal(3))
		s = newLeadingShard(1)
		s.setAccounts(53_000, 10, "a")
		Expect(s.lendAll(53_000, "a")).To(Equal(10))
	})
})
