package coordinator

import (
	"strconv"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/carawayrack/carawayrack/catalog"
	"github.com/carawayrack/carawayrack/clock"
	"github.com/carawayrack/carawayrack/rollout"
	"github.com/carawayrack/carawayrack/wire"
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

// rolloutHost exchanges like a host with requests: it counts responses of both
// versions by the share that it holds.
type rolloutHost struct {
	cluster *cluster
	state   *catalog.State
	record  rollout.Recorder
	// failing is true if half of the new version's responses fail.
	failing bool
	sent    int
}

// exchange counts the requests of 100 ms and exchanges with a process that runs.
func (h *rolloutHost) exchange(now clock.Millis) {
	share := h.state.Rollouts["s"].Share
	for i := range 20 {
		v := "v1"
		if h.sent++; float64(h.sent*37%100) < 100*share {
			v = "v2"
		}
		a := h.record.Begin(now, "s", "r", v, uint32(i%5), false)
		o := rollout.Served
		if h.failing && v == "v2" && h.sent%2 == 0 {
			o = rollout.Failed
		}
		h.record.End(now+200, a, o)
	}
	for _, x := range h.cluster.nodes {
		args := ExchangeArgs{
			Host: Host{ID: "h1", Zone: "z0", Callers: "c", Peer: "p"}, Sequence: h.state.Sequence,
			Rollouts: h.record.Reports(now), Instance: 1,
		}
		var r ExchangeReply
		p := &wire.Pool{Secret: "s"}
		if p.Get(x.Settings.Peer).Call("Peer.Exchange", args, &r, callTimeout) != nil || !r.Known {
			continue
		}
		if r.Update.State != nil {
			s, err := catalog.DecodeCompressed(r.Update.State, translate)
			Expect(err).NotTo(HaveOccurred())
			h.state = s
		}
		for _, b := range r.Update.Changes {
			c, err := catalog.DecodeChange(b)
			Expect(err).NotTo(HaveOccurred())
			Expect(h.state.Apply(c)).To(Succeed())
		}
		for _, x := range h.state.Rollouts {
			h.record.SetRollout(x)
		}
		return
	}
}

var _ = Describe("control processes that get the counts of a host", func() {
	// run orders a roll-out and exchanges until it has ended; the leader crashes on the
	// way. It returns the last state that a process reports and the time it took.
	run := func(failing bool, duration clock.Millis) (catalog.RolloutState, clock.Millis) {
		c := newCluster(5)
		c.waitForVoters(5)
		c.configure(0, 1)
		now := c.nodes[0].Wall.Now()
		for i, v := range []string{"v1", "v2"} {
			t := catalog.Target{ID: v, Service: "s", Addr: "10.0.0.1:" + strconv.Itoa(80+i), Zone: "z0", Born: int64(now) - 60_000, Number: 1, Phase: catalog.Serving, Slots: 4, Version: v}
			// Targets repeat their announcements.
			Eventually(func() error {
				_, err := c.nodes[1].Announce(t)
				return err
			}, waitTimeout).Should(Succeed())
		}
		h := &rolloutHost{cluster: c, state: catalog.New(translate), failing: failing}
		clk := clock.Boot()
		start := clk.Now()
		Expect(c.nodes[2].StartRollout("s", "v2", duration)).To(Succeed())
		crashed := false
		for {
			h.exchange(clk.Now())
			if !crashed && clk.Now()-start > duration/5 {
				c.crash(c.leader())
				crashed = true
			}
			for _, x := range c.nodes {
				r, err := x.Rollout("s")
				if err == nil && r.State != catalog.RolloutRunning {
					return r.State, clk.Now() - start
				}
				break
			}
			if clk.Now()-start > 2*duration {
				return catalog.RolloutRunning, clk.Now() - start
			}
			time.Sleep(100 * time.Millisecond)
		}
	}

	// Guards against a roll-out that stops with its leader.
	It("complete a good version in time although the leader crashes", func() {
		s, took := run(false, 12_000)
		Expect(s).To(Equal(catalog.RolloutCompleted))
		Expect(took).To(BeNumerically("<=", 12_000))
	})

	It("roll a bad version back in time although the leader crashes", func() {
		s, took := run(true, 12_000)
		Expect(s).To(Equal(catalog.RolloutRolledBack))
		Expect(took).To(BeNumerically("<=", 12_000))
	})
})
