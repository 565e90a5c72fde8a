package replica

import (
	"math/rand"
	"slices"

	ginkgo "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/carawayrack/carawayrack/clock"
)

// electorate is a set of replicas whose first elections have a shorter timeout.
type electorate struct {
	random *rand.Rand
	nodes  map[string]*Node
	now    clock.Millis
}

func newElectorate(seed int64) *electorate {
	e := &electorate{rand.New(rand.NewSource(seed)), map[string]*Node{}, 0}
	// The order decides who draws which random number.
	for _, id := range []string{"a.founder", "b.founder", "c.founder"} {
		e.start(id, PersistentState{Vote: Vote{Term: 7}})
	}
	return e
}

func (e *electorate) start(id string, d PersistentState) {
	e.nodes[id] = &Node{
		ID: id, ElectionTimeout: 800, FirstElectionTimeout: 40, Heartbeat: 200, CompactAfter: 100, Random: e.random.Intn,
		Storage: Storage{
			Save:         func(Vote, []Entry) error { return nil },
			SaveSnapshot: func(Snapshot, Vote, []Entry) error { return nil },
		},
		Sequence: func() uint64 { return 0 }, Apply: func(Entry) {},
	}
	e.nodes[id].Run(e.now, d, bootstrapMembers())
}

// elect runs the replicas, whose messages take delay with their syncs, and returns the time
// until all know a leader, or limit.
func (e *electorate) elect(delay, limit clock.Millis) clock.Millis {
	var inFlight []delivery
	for start := e.now; e.now < start+limit; e.now++ {
		for len(inFlight) > 0 && inFlight[0].at <= e.now {
			e.nodes[inFlight[0].m.To].Step(e.now, inFlight[0].m)
			inFlight = inFlight[1:]
		}
		known := 0
		for _, id := range []string{"a.founder", "b.founder", "c.founder"} {
			n := e.nodes[id]
			if e.now%25 == 0 {
				n.Tick(e.now)
			}
			for _, m := range n.TakeMessages() {
				inFlight = append(inFlight, delivery{e.now + delay, m})
			}
			if n.LeaderID() != "" {
				known++
			}
		}
		if known == len(e.nodes) {
			return e.now - start
		}
	}
	return limit
}

var _ = ginkgo.Describe("the first election after a start", func() {
	// An election over links of 100 ms takes longer than the first timeout.
	const slow, limit, within = 100, 30_000, 10 * 800

	// Guards against replicas that know no leader for ever because each election is
	// interrupted by the next one.
	ginkgo.It("ends within some election timeouts where it takes longer than the first timeout", func() {
		for seed := int64(1); seed <= 100; seed++ {
			Expect(newElectorate(seed).elect(slow, limit)).To(BeNumerically("<", within), "seed %d", seed)
		}
	})

	// Guards against the same where one replica has restarted, whose elections keep the
	// others from beginning one.
	ginkgo.It("ends there after the restart of the leader", func() {
		for seed := int64(1); seed <= 100; seed++ {
			e := newElectorate(seed)
			e.elect(3, limit)
			l := e.nodes[e.nodes["a.founder"].LeaderID()]
			e.start(l.ID, PersistentState{Vote: l.vote, Entries: l.entries})
			Expect(e.elect(slow, limit)).To(BeNumerically("<", within), "seed %d", seed)
		}
	})

	// Guards against a fleet that starts more slowly.
	ginkgo.It("ends within an election timeout where messages and syncs are fast", func() {
		for seed := int64(1); seed <= 100; seed++ {
			Expect(newElectorate(seed).elect(3, limit)).To(BeNumerically("<", 800), "seed %d", seed)
		}
	})
})

// run runs the replicas without the one that is cut off, and asserts that no two of all
// have a lease at once.
func (e *electorate) run(d clock.Millis, cutOff string) {
	var inFlight []Message
	for end := e.now + d; e.now < end; e.now++ {
		due, leases := inFlight, 0
		inFlight = nil
		for _, m := range due {
			if m.To != cutOff && m.From != cutOff {
				e.nodes[m.To].Step(e.now, m)
			}
		}
		for _, id := range []string{"a.founder", "b.founder", "c.founder"} {
			n := e.nodes[id]
			n.Tick(e.now)
			inFlight = append(inFlight, n.TakeMessages()...)
			if from, until := n.Lease(); from <= e.now && e.now < until {
				leases++
			}
		}
		Expect(leases).To(BeNumerically("<=", 1), "at %d", e.now)
	}
}

var _ = ginkgo.Describe("a lease", func() {
	// Guards against a voter that forgets with a restart that it has just responded to the
	// leader, which is cut off and goes on for the rest of its lease.
	ginkgo.It("begins only after the last one although a voter has restarted meanwhile", func() {
		for seed := int64(1); seed <= 50; seed++ {
			e := newElectorate(seed)
			e.run(3000, "")
			l := e.nodes["a.founder"].LeaderID()
			var others []string
			for id := range e.nodes {
				if id != l {
					others = append(others, id)
				}
			}
			slices.Sort(others)
			e.run(1000, others[0])
			v := e.nodes[others[1]]
			e.start(v.ID, PersistentState{Vote: v.vote, Entries: v.entries})
			e.run(3000, l)
			led := 0
			for _, id := range others {
				if _, until := e.nodes[id].Lease(); until > e.now {
					led++
				}
			}
			Expect(led).To(Equal(1), "seed %d", seed)
		}
	})

	// Guards against a fleet that lends nothing for most of a second after a loss of power of
	// all control processes.
	ginkgo.It("begins at once when all voters follow, also if all have restarted", func() {
		for seed := int64(1); seed <= 50; seed++ {
			e := newElectorate(seed)
			for e.now < 700 && e.nodes["a.founder"].LeaderID() == "" {
				e.run(1, "")
			}
			e.run(50, "")
			l := e.nodes[e.nodes["a.founder"].LeaderID()]
			Expect(l.Followed()).To(BeTrue())
			from, until := l.Lease()
			Expect(from).To(BeNumerically("<=", e.now), "seed %d", seed)
			Expect(until).To(BeNumerically(">", e.now), "seed %d", seed)
		}
	})
})

var _ = ginkgo.Describe("a leader whose voters do not all respond", func() {
	// lead returns a leader of three restarted voters, of which one does not respond, after the
	// other one has responded to a heartbeat.
	lead := func(seed int64) (e *electorate, l *Node) {
		e = newElectorate(seed)
		for e.now < 1500 {
			e.run(60, "c.founder")
			if l = e.nodes[e.nodes["a.founder"].LeaderID()]; l != nil && l.Role() == Leader {
				break
			}
		}
		e.run(250, "c.founder")
		return e, l
	}

	// Guards against a fleet that lends nothing for most of a second after a loss of power, in
	// which a voter has lost its disk as well.
	ginkgo.It("has its lease at once if another process runs at the address of the voter", func() {
		for seed := int64(1); seed <= 20; seed++ {
			e, l := lead(seed)
			from, _ := l.Lease()
			Expect(l.Followed()).To(BeFalse())
			l.NoteProcess("c.2", l.members.Voters["c.founder"])
			Expect(l.Followed()).To(BeTrue(), "seed %d", seed)
			at, until := l.Lease()
			Expect(at).To(BeNumerically("<=", min(from, e.now)))
			Expect(until).To(BeNumerically(">", e.now))
		}
	})

	ginkgo.It("waits for the voter's last lease if the process has its ID, or another address", func() {
		_, l := lead(1)
		l.NoteProcess("c.founder", l.members.Voters["c.founder"])
		l.NoteProcess("c.2", "elsewhere")
		l.NoteProcess("c.2", "")
		l.NoteProcess("a.2", l.members.Voters["a.founder"])
		Expect(l.Followed()).To(BeFalse())
	})
})

var _ = ginkgo.Describe("a learner", func() {
	// Guards against a learner that asks a dead leader for ever to be admitted, because its
	// admission was not replicated before that leader died.
	ginkgo.It("forgets a leader of which it hears no more", func() {
		e := newElectorate(1)
		e.start("d.1", PersistentState{})
		n := e.nodes["d.1"]
		m := bootstrapMembers().WithLearner("d.1", "d")
		n.Step(0, Message{Kind: AppendEntries, From: "a.founder", To: "d.1", Term: 8, Entries: []Entry{{Index: 1, Term: 8, Members: &m}}})
		Expect(n.LeaderID()).To(Equal("a.founder"))
		n.Tick(799)
		Expect(n.LeaderID()).To(Equal("a.founder"))
		n.Tick(1600)
		Expect(n.LeaderID()).To(BeEmpty())
		Expect(n.Role()).To(Equal(Follower))
	})
})

var _ = ginkgo.Describe("the first membership", func() {
	// Guards against a membership that changes with the settings of each start.
	ginkgo.It("comes from the settings only while the disk holds none", func() {
		var disk PersistentState
		n := &Node{ID: "a.founder", ElectionTimeout: testElection, Random: func(int) int { return 0 }, Storage: Storage{
			SaveSnapshot: func(s Snapshot, v Vote, e []Entry) error {
				disk = PersistentState{Vote: v, Snapshot: s, Entries: e}
				return nil
			},
		}}
		n.Run(0, disk, bootstrapMembers())
		Expect(disk.Snapshot.Members).To(Equal(bootstrapMembers()))
		n.Run(1, disk, bootstrapMembers().Without("a.founder"))
		Expect(n.Members()).To(Equal(bootstrapMembers()))
	})
})
