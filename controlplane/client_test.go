package controlplane

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"github.com/carawayrack/carawayrack/catalog"
	"github.com/carawayrack/carawayrack/clock"
	"github.com/carawayrack/carawayrack/coordinator"
	"github.com/carawayrack/carawayrack/wire"
)

func TestControlplane(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "controlplane")
}

var _ = Describe("Client", func() {
	var (
		now   clock.Millis
		cores []coordinator.Core
		c     *Client
	)
	BeforeEach(func() {
		now, cores = 100_000, nil
		c = &Client{
			Host: coordinator.Host{ID: "h", Zone: "a"}, Log: zap.NewNop(), Pool: &wire.Pool{},
			Addresses: func() []string { return []string{"seed"} },
			Cores:     func() []coordinator.Core { return cores },
		}
		c.Clock.Read = func() clock.Millis { return now }
	})

	It("uses a control process of its zone as soon as there is one", func() {
		Expect(c.address()).To(Equal("seed"))
		cores = []coordinator.Core{{Addr: "far", Zone: "b"}, {Addr: "near", Zone: "a"}}
		Expect(c.address()).To(Equal("seed"))
		now += returnToLocalAfter
		Expect(c.address()).To(Equal("near"))
		c.core = "far"
		Expect(c.address()).To(Equal("far"))
		now += returnToLocalAfter
		Expect(c.address()).To(Equal("near"))
	})

	// Guards against a host that stays with a control process that does not respond.
	It("switches to another control process, if one is known", func() {
		c.core = "seed"
		c.switchCore()
		Expect(c.core).To(Equal("seed"))
		cores = []coordinator.Core{{Addr: "far", Zone: "b"}}
		c.switchCore()
		Expect(c.core).To(Equal("far"))
	})

	It("takes control processes as unreachable some time after their last reply", func() {
		Expect(c.Reachable()).To(BeFalse())
		c.noteReply()
		now += unreachableAfter - 1
		Expect(c.Reachable()).To(BeTrue())
		now++
		Expect(c.Reachable()).To(BeFalse())
	})

	// Guards against a host that goes on with a state that lacks a change.
	It("requests the whole state after a change that it cannot read", func() {
		c.state = catalog.New(nil)
		c.state.Sequence = 7
		Expect(c.apply(coordinator.Update{Sequence: 8, Changes: [][]byte{[]byte("no change")}})).To(BeFalse())
		Expect(c.state.Sequence).To(BeZero())
	})

	It("tells control processes that its host leaves", func() {
		leaving := false
		c.Leaving = func() bool { return leaving }
		Expect(c.host().Leaving).To(BeFalse())
		leaving = true
		Expect(c.host()).To(Equal(coordinator.Host{ID: "h", Zone: "a", Leaving: true}))
	})

	It("does not block if it is triggered while it does not run", func() {
		c.Trigger()
	})
})
