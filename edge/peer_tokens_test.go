package edge

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/carawayrack/carawayrack/catalog"
	"github.com/carawayrack/carawayrack/clock"
	"github.com/carawayrack/carawayrack/coordinator"
	"github.com/carawayrack/carawayrack/token"
)

// newTokenPeer returns the gossip of a host that knows the given hosts and the account
// "x", and whose datagrams the host that *to points to receives.
func newTokenPeer(id string, hosts []coordinator.Host, to **gossip) *gossip {
	c := &catalog.Config{Accounts: []catalog.Account{{Name: "x"}}}
	c.Index()
	g := &gossip{settings: Settings{ID: id}, view: &fleetView{fleet: &coordinator.Fleet{Hosts: hosts}, config: c}, metrics: newMetrics()}
	g.transmit = func(b []byte, _ string) { (*to).receive(b) }
	g.peerTokens = &token.Peers{
		Find: g.view.hostAndAccount, SendRequest: g.sendTokenRequest, SendLoan: g.sendTokenLoan,
		Take: func(*catalog.Account) (bool, clock.Millis) { return false, 70 },
	}
	g.peerTokens.Run()
	return g
}

var _ = Describe("datagrams about tokens", func() {
	hosts := []coordinator.Host{{ID: "asker"}, {ID: "lender"}}

	// Guards against kinds of datagrams that the other host takes for something else.
	It("take a request to a zone lender and its response back", func() {
		var asker, lender *gossip
		asker = newTokenPeer("asker", hosts, &lender)
		lender = newTokenPeer("lender", hosts, &asker)
		l, ok := asker.peerTokens.Request("x", hosts[1])
		Expect(ok).To(BeTrue())
		Expect(l).To(Equal(token.Loan{Wait: 70}))
	})

	It("of an unknown host or for an unknown account find neither", func() {
		v := newTokenPeer("lender", hosts, nil).view
		h, a, ok := v.hostAndAccount("asker", "x")
		Expect(ok).To(BeTrue())
		Expect(h.ID).To(Equal("asker"))
		Expect(a.Name).To(Equal("x"))
		_, _, ok = v.hostAndAccount("h", "x")
		Expect(ok).To(BeFalse())
		_, _, ok = v.hostAndAccount("asker", "account")
		Expect(ok).To(BeFalse())
		v.config = nil
		_, _, ok = v.hostAndAccount("asker", "x")
		Expect(ok).To(BeFalse())
	})
})
