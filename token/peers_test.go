package token

import (
	"fmt"
	"math/rand"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/carawayrack/carawayrack/catalog"
	"github.com/carawayrack/carawayrack/clock"
	"github.com/carawayrack/carawayrack/coordinator"
)

// tokenFleet is a fleet whose hosts get tokens from each other without a network.
type tokenFleet struct {
	now   clock.Millis
	hosts []*Borrower
	by    map[string]*Borrower
	// silent holds the hosts that do not respond to others.
	silent map[string]bool
}

func newTokenFleet(zones, hosts int) *tokenFleet {
	f := &tokenFleet{now: 100_000, by: map[string]*Borrower{}, silent: map[string]bool{}}
	list := &coordinator.Fleet{}
	for i := range hosts {
		list.Hosts = append(list.Hosts, coordinator.Host{ID: fmt.Sprint("h", i), Zone: fmt.Sprint(i % zones), Narrow: true})
	}
	r := rand.New(rand.NewSource(1))
	for i, h := range list.Hosts {
		t := &Borrower{
			Hosts: func() int { return hosts }, Reachable: func() bool { return false }, Random: r.Float64, Self: h.ID, Request: f.request,
			ZoneLender: func(account string) (coordinator.Host, int, bool) {
				return ZoneLender(list.Hosts, h.Zone, account)
			},
		}
		t.Clock.Read = func() clock.Millis { return f.now }
		t.Run()
		f.hosts = append(f.hosts, t)
		f.by[list.Hosts[i].ID] = t
	}
	return f
}

func (f *tokenFleet) request(account string, h coordinator.Host) (Loan, bool) {
	if f.silent[h.ID] {
		return Loan{}, false
	}
	ok, wait := f.by[h.ID].TakeForPeer(&catalog.Account{Name: account, Rate: tokenRate, Burst: tokenRate})
	return Loan{ok, wait}, true
}

// tokenRate is the rate and the burst of the accounts in these specs.
const tokenRate = 9

// use sends the requests of an account at a multiple of its rate, each to some
// host, and returns how many got a token.
func (f *tokenFleet) use(account string, times, seconds int, r *rand.Rand) int {
	a := &catalog.Account{Name: account, Rate: tokenRate, Burst: tokenRate}
	n := 0
	for range times * tokenRate * seconds {
		f.now += clock.Millis(1000 / (times * tokenRate))
		if ok, _ := f.hosts[r.Intn(len(f.hosts))].Take(a); ok {
			n++
		}
	}
	return n
}

// All control processes are gone for seconds, while the requests of each account
// are spread over 422 hosts.
var _ = Describe("tokens of a large fleet without a lender", func() {
	const zones, hosts, window = 6, 422, 5

	It("are used for most of what may be used, and never exceed the quota", func() {
		r := rand.New(rand.NewSource(2))
		const accounts = 5
		for _, times := range []int{1, 5} {
			sum := 0
			for i := range accounts {
				n := newTokenFleet(zones, hosts).use(fmt.Sprint("account", i), times, window, r)
				sum += n
				if times > 1 {
					Expect(float64(n)).To(BeNumerically(">=", tokenRate*window*zoneLenderShare*0.9))
				}
				// A leader may have lent the burst and half a window before.
				Expect(float64(n)/2 + tokenRate*window/2 + tokenRate).To(BeNumerically("<=", (tokenRate*window+tokenRate)*1.1+20))
			}
			// Requests that arrive by chance at a rate leave some of a part unused.
			Expect(float64(sum)).To(BeNumerically(">=", accounts*tokenRate*window*zoneLenderShare*0.7))
		}
	})

	It("stay within the quota if zone lenders do not respond", func() {
		r := rand.New(rand.NewSource(3))
		f := newTokenFleet(zones, hosts)
		for i := range hosts / 2 {
			f.silent[fmt.Sprint("h", 2*i)] = true
		}
		for i := range 10 {
			n := f.use(fmt.Sprint("account", i), 5, window, r)
			Expect(float64(n)/2 + tokenRate*window/2 + tokenRate).To(BeNumerically("<=", (tokenRate*window+tokenRate)*1.1+20))
		}
	})

	It("come from the zone lender as long as a control process lends to it", func() {
		f := newTokenFleet(zones, hosts)
		lent := 0
		for _, t := range f.hosts {
			t.Borrow = func(a coordinator.BorrowArgs) (coordinator.BorrowReply, error) {
				lent++
				return coordinator.BorrowReply{Tokens: a.Tokens, Known: true}, nil
			}
		}
		a := &catalog.Account{Name: "x", Rate: tokenRate, Burst: tokenRate}
		cut := f.hosts[0]
		h, _, ok := cut.ZoneLender("x")
		Expect(ok).To(BeTrue())
		Expect(h.ID).NotTo(Equal(cut.Self))
		f.by[h.ID].Reachable = func() bool { return true }
		for range 20 {
			got, _ := cut.Take(a)
			Expect(got).To(BeTrue())
		}
		Expect(lent).To(BeNumerically(">=", 20))
	})
})

var _ = Describe("a request for a token to another host", func() {
	It("is answered once, and later copies of the response are dropped", func() {
		asker, lender := &Peers{}, &Peers{}
		list := &coordinator.Fleet{Hosts: []coordinator.Host{{ID: "asker"}, {ID: "lender"}}}
		c := &catalog.Config{Accounts: []catalog.Account{{Name: "x"}}}
		c.Index()
		var responses [][]byte
		asker.SendRequest = func(b []byte, to coordinator.Host) {
			Expect(to.ID).To(Equal("lender"))
			lender.ReceiveRequest("asker", b)
		}
		lender.Find = func(host, account string) (coordinator.Host, *catalog.Account, bool) {
			Expect(host).To(Equal("asker"))
			return list.Hosts[0], c.Account(account), true
		}
		lender.Take = func(a *catalog.Account) (bool, clock.Millis) {
			Expect(a.Name).To(Equal("x"))
			return true, 0
		}
		lender.SendLoan = func(b []byte, to coordinator.Host) {
			Expect(to.ID).To(Equal("asker"))
			responses = append(responses, b)
			asker.ReceiveLoan(b)
			asker.ReceiveLoan(b)
		}
		asker.Run()
		lender.Run()
		l, ok := asker.Request("x", list.Hosts[1])
		Expect(ok).To(BeTrue())
		Expect(l.OK).To(BeTrue())
		asker.ReceiveLoan(responses[0])
		Expect(asker.waiting).To(BeEmpty())
	})

	It("that is damaged, or of an unknown host or account, is dropped", func() {
		p := &Peers{Find: func(string, string) (coordinator.Host, *catalog.Account, bool) { return coordinator.Host{}, nil, false }}
		p.Run()
		p.ReceiveRequest("h", []byte("short"))
		p.ReceiveRequest("h", []byte("12345678account"))
		p.ReceiveLoan([]byte("short"))
		Expect(p.running).To(BeZero())
	})

	It("without a response ends within its timeout", func() {
		p := &Peers{SendRequest: func([]byte, coordinator.Host) {}}
		p.Run()
		done := make(chan bool, 1)
		x := &asking{p, done}
		go x.run()
		Eventually(done, 10*time.Second).Should(Receive(BeFalse()))
	})
})

// asking is a request to a zone lender that does not respond.
type asking struct {
	peers *Peers
	done  chan<- bool
}

func (a *asking) run() {
	_, ok := a.peers.Request("x", coordinator.Host{ID: "lender"})
	a.done <- ok
}
