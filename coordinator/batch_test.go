package coordinator

import (
	"fmt"
	"time"

	"github.com/asynkron/protoactor-go/actor"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/carawayrack/carawayrack/catalog"
	"github.com/carawayrack/carawayrack/clock"
	"github.com/carawayrack/carawayrack/logs"
	"github.com/carawayrack/carawayrack/replica"
)

// gatedReplica is the only voter of its group. Each of its writes waits for a value
// from gate, which is the outcome.
type gatedReplica struct {
	actors *actor.ActorSystem
	pid    *actor.PID
	gate   chan error
	// writes gets the number of entries of each write that has begun.
	writes chan int
}

func newGatedReplica() *gatedReplica {
	g := &gatedReplica{actors: logs.NewActorSystem(zap.NewNop()), gate: make(chan error, 100), writes: make(chan int, 100)}
	d := diskless()
	d.Save = func(_ replica.Vote, l []replica.Entry) error {
		if len(l) > 0 {
			g.writes <- len(l)
			return <-g.gate
		}
		return nil
	}
	m := replica.Members{Voters: map[string]string{"a": "a"}}
	r := &Replica{
		ID: "a", Log: zap.NewNop(), Storage: d, Translate: translate, Clock: clock.Boot(), Wall: clock.Wall(),
		Stored: replica.PersistentState{Snapshot: replica.Snapshot{Members: m}},
		Send:   func([]replica.Message, replica.Members) {}, LeaderChanged: func() {}, Failed: func(error) {},
		Respond: func(p *actor.PID, m any) { g.actors.Root.Send(p, m) },
	}
	g.pid = g.actors.Root.Spawn(actor.PropsFromProducer(func() actor.Actor { return r }))
	g.gate <- nil
	Eventually(func() int {
		g.actors.Root.Send(g.pid, &tick{})
		return len(g.writes)
	}, waitTimeout).Should(Equal(1))
	<-g.writes
	return g
}

// propose sends a proposal without waiting for the reply.
func (g *gatedReplica) propose(data []byte) *actor.Future {
	return g.actors.Root.RequestFuture(g.pid, &propose{data}, waitTimeout)
}

func proposeReply(f *actor.Future) ProposeReply {
	GinkgoHelper()
	v, err := f.Result()
	Expect(err).NotTo(HaveOccurred())
	return v.(ProposeReply)
}

func encoded(c catalog.Change) []byte {
	b, err := c.Encode()
	Expect(err).NotTo(HaveOccurred())
	return b
}

var _ = Describe("proposals that arrive during a write", func() {
	propose := func(g *gatedReplica) (l []*actor.Future, order *actor.Future) {
		l = append(l, g.propose(encoded(catalog.Change{Targets: []catalog.Target{testTarget("first", 1, 1)}})))
		Eventually(g.writes, waitTimeout).Should(Receive(Equal(1)), "a single proposal is not delayed")
		for k := 0; k < 1000; k++ {
			t := testTarget(fmt.Sprint(k), 1, 1)
			t.Addr = fmt.Sprint("10.0.0.1:", k+1)
			l = append(l, g.propose(encoded(catalog.Change{Targets: []catalog.Target{t}})))
		}
		l = append(l, g.propose([]byte("not a change")))
		return l, g.propose(encoded(catalog.Change{Evacuate: "z"}))
	}

	// Guards against a write for each announcement, against an order that waits behind
	// them, and against the loss of entries beside one that cannot be applied.
	It("take one write, with an order for a zone and one that cannot be applied", func() {
		g := newGatedReplica()
		l, order := propose(g)
		g.gate <- nil
		Eventually(g.writes, waitTimeout).Should(Receive(Equal(1002)))
		g.gate <- nil
		Expect(proposeReply(order)).To(And(HaveField("Accepted", true), HaveField("Superseded", false)))
		for _, f := range l {
			Expect(proposeReply(f).Accepted).To(BeTrue())
		}
		d, err := g.actors.Root.RequestFuture(g.pid, &dumpState{}, waitTimeout).Result()
		Expect(err).NotTo(HaveOccurred())
		Expect(d.(Dump).Targets).To(HaveLen(1001))
		Consistently(g.writes, 50*time.Millisecond).ShouldNot(Receive())
	})

	// Guards against an acknowledgement of a part of a batch that is not on the disk.
	It("are not acknowledged if the write of their batch fails", func() {
		g := newGatedReplica()
		l, order := propose(g)
		g.gate <- nil
		Eventually(g.writes, waitTimeout).Should(Receive(Equal(1002)))
		g.gate <- errors.New("disk full")
		Expect(proposeReply(order)).To(Equal(ProposeReply{}))
		Expect(proposeReply(l[0]).Accepted).To(BeTrue())
		for _, f := range l[1:] {
			Expect(proposeReply(f)).To(Equal(ProposeReply{}))
		}
	})
})
