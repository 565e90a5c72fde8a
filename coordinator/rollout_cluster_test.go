package coordinator

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/carawayrack/carawayrack/catalog"
)

var _ = Describe("control processes with a roll-out", func() {
	// Guards against an acknowledged order that is lost with its leader, and against
	// an order that is refused while a new leader is elected.
	It("keep its order over a change of the leader, acknowledge repeats and refuse another version", func() {
		c := newCluster(5)
		c.waitForVoters(5)
		c.configure(0, 1)
		Expect(c.nodes[1].StartRollout("s", "v2", 60_000)).To(Succeed())
		c.crash(c.leader())
		for _, x := range c.nodes {
			// Sent while there is no leader.
			Expect(x.StartRollout("s", "v2", 60_000)).To(Succeed())
			Expect(x.StartRollout("s", "v3", 60_000)).To(MatchError(RolloutConflict{"s"}))
			r, err := x.Rollout("s")
			Expect(err).NotTo(HaveOccurred())
			Expect(r.Version).To(Equal("v2"))
			Expect(r.State).To(Equal(catalog.RolloutRunning))
			_, err = x.Rollout("t")
			Expect(err).To(MatchError(NoRollout{"t"}))
		}
		for i := range c.addrs {
			if c.nodes[i] != nil {
				c.crash(i)
			}
		}
		for i := range c.addrs {
			c.start(i, false)
		}
		Eventually(func() (string, error) {
			r, err := c.nodes[0].Rollout("s")
			return r.Version, err
		}, waitTimeout).Should(Equal("v2"))
	})
})
