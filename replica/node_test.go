package replica

import (
	"flag"
	"fmt"
	"math/rand"
	"sort"
	"strings"

	ginkgo "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/carawayrack/carawayrack/clock"
)

var (
	seed  = flag.Int64("replica.seed", 1, "first seed of the random runs")
	runs  = flag.Int("replica.runs", 40, "number of random runs")
	steps = flag.Int("replica.steps", 30_000, "milliseconds of each random run")
)

const (
	testElection  = 150
	testHeartbeat = 30
)

// machine is a replica with its disk.
type machine struct {
	id          string
	node        *Node
	disk        PersistentState
	applied     []string
	up          bool
	frozenUntil clock.Millis
	lastProof   Proof
	// writes counts the writes of the disk. The one with the number failAt fails.
	writes, failAt int
	// waiting holds proposals that the replica has not been given yet.
	waiting [][]byte
}

// DiskFull is the error of a write that fails.
type DiskFull struct{}

// Error describes the error.
func (DiskFull) Error() string { return "no space left" }

// write counts a write and returns its error.
func (m *machine) write() error {
	m.writes++
	if m.writes == m.failAt {
		return DiskFull{}
	}
	return nil
}

// lastOnDisk returns the index of the last entry on the disk.
func (m *machine) lastOnDisk() uint64 { return m.disk.Snapshot.Index + uint64(len(m.disk.Entries)) }

// checkPromises asserts that messages promise nothing that the disk does not hold.
func (m *machine) checkPromises(l []Message) {
	for _, x := range l {
		switch {
		case x.Kind == AppendResponse && x.Granted:
			Expect(x.Index).To(BeNumerically("<=", m.lastOnDisk()), "%s acknowledged what is not on its disk", m.id)
		case x.Kind == VoteResponse && x.Granted:
			Expect(m.disk.Vote).To(Equal(Vote{Term: x.Term, For: x.To}), "%s granted a vote that is not on its disk", m.id)
		}
	}
	Expect(m.node.Commit()).To(BeNumerically("<=", m.lastOnDisk()), "%s committed what is not on its disk", m.id)
}

// cluster drives replicas over a network that delays, loses, duplicates and
// reorders messages and breaks connections in one direction.
type cluster struct {
	r        *rand.Rand
	now      clock.Millis
	machines map[string]*machine
	inFlight []delivery
	cutUntil map[string]clock.Millis
	// history holds the entry applied at each index, commitAt the time at which
	// the first replica applied it.
	history      []string
	commitAt     []clock.Millis
	proposed     int
	replacements int
	disksLost    int
	// disturbInterval is the mean number of steps between two occurrences of
	// one case number in disturb. Stops and starts have several numbers and are
	// drawn more often.
	disturbInterval int
	// firstElection is the first election timeout of the replicas.
	firstElection clock.Millis
	// batches, if set, makes replicas get proposals and messages in batches.
	batches *rand.Rand
}

type delivery struct {
	at clock.Millis
	m  Message
}

func newCluster(seed int64) *cluster {
	c := &cluster{r: rand.New(rand.NewSource(seed)), machines: map[string]*machine{}, cutUntil: map[string]clock.Millis{}, disturbInterval: 4000}
	if seed%2 == 0 {
		c.disturbInterval = 800
	}
	if seed%8 >= 4 {
		c.firstElection = testElection / 10
	}
	if seed%4 >= 2 {
		c.batches = rand.New(rand.NewSource(seed))
	}
	for _, id := range []string{"a.founder", "b.founder", "c.founder"} {
		c.machines[id] = &machine{id: id}
		c.start(c.machines[id])
	}
	return c
}

func bootstrapMembers() Members {
	return Members{Voters: map[string]string{"a.founder": "a", "b.founder": "b", "c.founder": "c"}}
}

// start starts a replica with the state of its disk.
func (c *cluster) start(m *machine) {
	m.up = true
	m.applied = nil
	m.lastProof = Proof{}
	m.node = &Node{
		ID: m.id, ElectionTimeout: testElection, FirstElectionTimeout: c.firstElection, Heartbeat: testHeartbeat, CompactAfter: 20, Random: c.r.Intn,
		Storage: Storage{
			Save: func(v Vote, e []Entry) error {
				if err := m.write(); err != nil {
					return err
				}
				m.disk.Vote = v
				m.disk.Entries = merge(m.disk.Entries, e)
				return nil
			},
			SaveSnapshot: func(s Snapshot, v Vote, e []Entry) error {
				if err := m.write(); err != nil {
					return err
				}
				m.disk = PersistentState{Vote: v, Snapshot: s, Entries: append([]Entry(nil), e...)}
				return nil
			},
		},
		Apply:       func(e Entry) { c.apply(m, e) },
		Capture:     func() []byte { return []byte(strings.Join(m.applied, ",")) },
		Restore:     func(b []byte) { m.applied = strings.Split(string(b), ",") },
		Sequence:    func() uint64 { return 0 },
		OnViolation: func(err error) { ginkgo.Fail(err.Error()) },

		ProposalsWaiting: func() bool { return len(m.waiting) > 0 },
	}
	m.waiting = nil
	initial := bootstrapMembers()
	if !strings.HasSuffix(m.id, ".founder") {
		initial = Members{}
	}
	d := m.disk
	d.Entries = append([]Entry(nil), d.Entries...)
	m.node.Run(c.now, d, initial)
}

func merge(old, e []Entry) []Entry {
	if len(e) == 0 {
		return old
	}
	k := len(old)
	for k > 0 && old[k-1].Index >= e[0].Index {
		k--
	}
	return append(append([]Entry(nil), old[:k]...), e...)
}

// apply asserts that every replica applies the same entry at each index.
func (c *cluster) apply(m *machine, e Entry) {
	v := fmt.Sprintf("%d:%s", e.Term, e.Data)
	m.applied = append(m.applied, v)
	i := int(e.Index) - 1
	if i < len(c.history) {
		Expect(v).To(Equal(c.history[i]), "%s applied a different entry at index %d, time %d", m.id, e.Index, c.now)
		return
	}
	Expect(i).To(Equal(len(c.history)), "%s skipped entries", m.id)
	c.history = append(c.history, v)
	c.commitAt = append(c.commitAt, c.now)
}

func (c *cluster) ids() []string {
	l := make([]string, 0, len(c.machines))
	for id := range c.machines {
		l = append(l, id)
	}
	sort.Strings(l)
	return l
}

func (c *cluster) send(l []Message) {
	for _, m := range l {
		if c.cutUntil[m.From+">"+m.To] > c.now || c.r.Intn(25) == 0 {
			continue
		}
		d := 1 + c.r.Intn(4)
		if c.r.Intn(40) == 0 {
			d = c.r.Intn(2 * testElection)
		}
		c.inFlight = append(c.inFlight, delivery{c.now + clock.Millis(d), m})
		if c.r.Intn(30) == 0 {
			c.inFlight = append(c.inFlight, delivery{c.now + clock.Millis(d+c.r.Intn(testElection)), m})
		}
	}
}

func (c *cluster) step(disturb bool) {
	c.now++
	if disturb {
		c.disturb()
	}
	rest := c.inFlight[:0]
	var due []Message
	for _, f := range c.inFlight {
		m := c.machines[f.m.To]
		if f.at > c.now || (m != nil && m.up && m.frozenUntil > c.now) {
			rest = append(rest, f)
			continue
		}
		due = append(due, f.m)
	}
	c.inFlight = rest
	c.deliver(due)
	for _, id := range c.ids() {
		m := c.machines[id]
		if !m.up || m.frozenUntil > c.now {
			continue
		}
		m.node.Tick(c.now)
		c.checkProof(m)
		c.repair(m)
		c.take(m)
		c.proposeWaiting(m)
	}
	c.propose()
	c.checkLeases()
}

// checkLeases asserts that no two replicas have a lease at the same time.
func (c *cluster) checkLeases() {
	holder := ""
	for _, id := range c.ids() {
		m := c.machines[id]
		if !m.up || m.frozenUntil > c.now {
			continue
		}
		if from, until := m.node.Lease(); from <= c.now && c.now < until {
			Expect(holder).To(BeEmpty(), "%s has a lease too at %d, until %d", id, c.now, until)
			holder = id
		}
	}
}

// deliver delivers messages one by one, or the append requests of one leader to the
// same replica together.
func (c *cluster) deliver(due []Message) {
	for len(due) > 0 {
		first, l, rest := due[0], due[:1], due[1:]
		if c.batches != nil && first.Kind == AppendEntries {
			l, rest = nil, nil
			for _, x := range due {
				if x.Kind == first.Kind && x.To == first.To && x.From == first.From && x.Term == first.Term {
					l = append(l, x)
				} else {
					rest = append(rest, x)
				}
			}
		}
		if m := c.machines[first.To]; m != nil && m.up {
			m.node.StepAll(c.now, l)
			c.take(m)
		}
		due = rest
	}
}

// proposeWaiting proposes what has waited for some milliseconds. A replica that does
// not lead any more drops it.
func (c *cluster) proposeWaiting(m *machine) {
	if len(m.waiting) == 0 || c.batches.Intn(4) > 0 {
		return
	}
	_, _ = m.node.ProposeAll(c.now, m.waiting)
	m.waiting = nil
	c.take(m)
}

// checkProof asserts that a proof covers every entry committed before its time.
func (c *cluster) checkProof(m *machine) {
	p := m.node.LastProof()
	if p == m.lastProof || p.At == 0 {
		return
	}
	m.lastProof = p
	k := sort.Search(len(c.commitAt), func(i int) bool { return c.commitAt[i] >= p.At })
	Expect(int(p.Index)).To(BeNumerically(">=", k), "leadership proof of %s at %d lacks committed entries", m.id, p.At)
}

func (c *cluster) propose() {
	if c.r.Intn(20) > 0 {
		return
	}
	m := c.machines[c.ids()[c.r.Intn(len(c.machines))]]
	if !m.up || m.frozenUntil > c.now || m.node.Role() != Leader {
		return
	}
	c.proposed++
	if c.batches != nil {
		for k := c.batches.Intn(4); k >= 0; k-- {
			m.waiting = append(m.waiting, []byte(fmt.Sprint(c.proposed, ".", k)))
		}
		return
	}
	_, err := m.node.Propose(c.now, []byte(fmt.Sprint(c.proposed)))
	Expect(err).NotTo(HaveOccurred())
	c.take(m)
}

// take sends the messages of a replica.
func (c *cluster) take(m *machine) {
	l := m.node.TakeMessages()
	m.checkPromises(l)
	c.send(l)
}

// down counts the stopped replicas.
func (c *cluster) down() int {
	n := 0
	for _, m := range c.machines {
		if !m.up {
			n++
		}
	}
	return n
}

func (c *cluster) disturb() {
	id := c.ids()[c.r.Intn(len(c.machines))]
	m := c.machines[id]
	switch c.r.Intn(c.disturbInterval) {
	case 0, 1:
		m.up = false
	case 2, 3, 4, 5, 10, 11, 12, 13, 14, 15:
		if !m.up {
			c.start(m)
		}
	case 6:
		m.frozenUntil = c.now + clock.Millis(c.r.Intn(5*testElection))
	case 7:
		for _, o := range c.ids() {
			if c.r.Intn(2) == 0 {
				c.cutUntil[id+">"+o] = c.now + clock.Millis(c.r.Intn(20*testElection))
			}
		}
	case 8:
		c.cutUntil[c.ids()[c.r.Intn(len(c.machines))]+">"+id] = c.now + clock.Millis(c.r.Intn(20*testElection))
	case 9:
		c.loseDisk(m)
	}
}

// loseDisk replaces a replica by one of the same name with an empty disk. It
// does so only while all replicas run and the previous loss is repaired: the
// removal of the lost voter is committed.
func (c *cluster) loseDisk(m *machine) {
	if c.down() > 0 || !c.repaired() {
		return
	}
	c.disksLost++
	c.replacements++
	delete(c.machines, m.id)
	name, _, _ := strings.Cut(m.id, ".")
	n := &machine{id: fmt.Sprintf("%s.%d", name, c.replacements)}
	c.machines[n.id] = n
	c.start(n)
}

// repaired reports whether the committed voters are exactly the replicas that
// exist.
func (c *cluster) repaired() bool {
	for _, id := range c.ids() {
		n := c.machines[id].node
		if n.Role() != Leader || c.machines[id].frozenUntil > c.now || n.commit < n.termStart || n.MembershipChangePending() {
			continue
		}
		k := 0
		for _, v := range voters(n.members) {
			if c.machines[v] != nil {
				k++
			}
		}
		return k == 3 && len(n.members.Voters) == 3
	}
	return false
}

// repair adds learners, promotes them and removes lost voters as the leader's
// process does.
func (c *cluster) repair(m *machine) {
	if m.node.Role() != Leader || c.r.Intn(20) > 0 {
		return
	}
	mem := m.node.Members()
	for _, id := range c.ids() {
		if mem.Address(id) == "" {
			_ = m.node.ProposeMembers(c.now, mem.WithLearner(id, id))
			return
		}
		if _, learner := mem.Learners[id]; learner && m.node.CaughtUp(id) {
			_ = m.node.ProposeMembers(c.now, mem.Promote(id))
			return
		}
	}
	for _, id := range voters(mem) {
		if c.machines[id] == nil && len(mem.Voters) > 3 {
			_ = m.node.ProposeMembers(c.now, mem.Without(id))
			return
		}
	}
}

func voters(m Members) []string {
	l := make([]string, 0, len(m.Voters))
	for id := range m.Voters {
		l = append(l, id)
	}
	sort.Strings(l)
	return l
}

func (c *cluster) describe() string {
	var l []string
	for _, id := range c.ids() {
		n := c.machines[id].node
		i, t := n.Last()
		l = append(l, fmt.Sprintf("%s %s term %d last %d/%d commit %d voters %v", id, n.Role(), n.Term(), i, t, n.commit, voters(n.members)))
	}
	return strings.Join(l, "; ")
}

// heal ends every disturbance and asserts that new entries are committed.
func (c *cluster) heal() {
	c.cutUntil = map[string]clock.Millis{}
	for _, id := range c.ids() {
		m := c.machines[id]
		m.frozenUntil = 0
		if !m.up {
			c.start(m)
		}
	}
	before := len(c.history)
	for i := 0; i < 200*testElection && len(c.history) < before+5; i++ {
		c.step(false)
	}
	Expect(len(c.history)).To(BeNumerically(">=", before+5), "no progress after all disturbances ended: %s", c.describe())
}

var _ = ginkgo.Describe("Node", func() {
	ginkgo.It("never loses or reorders an acknowledged entry despite crashes, lost disks and network faults", func() {
		committed, lost := 0, 0
		for k := 0; k < *runs; k++ {
			s := *seed + int64(k)
			ginkgo.By(fmt.Sprintf("seed %d", s))
			c := newCluster(s)
			for i := 0; i < *steps; i++ {
				c.step(true)
			}
			c.heal()
			committed += len(c.history)
			lost += c.disksLost
		}
		Expect(committed).To(BeNumerically(">", *runs*100))
		Expect(lost).To(BeNumerically(">", *runs/8))
	})

	ginkgo.It("keeps its vote after a restart and grants none to a candidate with an older log", func() {
		c := newCluster(4)
		m := c.machines["a.founder"]
		requestVote := func(from string, term, index, logTerm uint64) bool {
			c.now += 10 * testElection
			m.node.Step(c.now, Message{Kind: RequestVote, From: from, To: m.id, Term: term, Index: index, LogTerm: logTerm})
			l := m.node.TakeMessages()
			return len(l) > 0 && l[len(l)-1].Granted
		}
		Expect(requestVote("b.founder", 5, 9, 4)).To(BeTrue())
		c.start(m)
		Expect(requestVote("c.founder", 5, 9, 4)).To(BeFalse())
		Expect(requestVote("b.founder", 5, 9, 4)).To(BeTrue())
		m.node.Step(c.now, Message{Kind: AppendEntries, From: "b.founder", To: m.id, Term: 5, Entries: []Entry{{Index: 1, Term: 5}}})
		Expect(requestVote("c.founder", 6, 9, 4)).To(BeFalse())
		Expect(requestVote("c.founder", 6, 1, 5)).To(BeTrue())
	})

	// Guards against entries that are kept in memory after their write has failed, and
	// then acknowledged, counted or applied.
	ginkgo.It("promises and applies nothing that its disk does not hold when any one write fails", func() {
		failed := 0
		for k := 1; k <= 120; k++ {
			ginkgo.By(fmt.Sprintf("write %d", k))
			c := newCluster(int64(k))
			m := c.machines[c.ids()[k%3]]
			m.failAt = 1 + k%40
			for i := 0; i < 3000; i++ {
				c.step(false)
				if m.node.halted && i%50 == 0 {
					failed++
					c.start(m)
				}
			}
			c.heal()
		}
		Expect(failed).To(BeNumerically(">", 100))
	})

	ginkgo.It("does not acknowledge a snapshot whose write has failed", func() {
		c := newCluster(1)
		m := c.machines["a.founder"]
		m.failAt = m.writes + 2
		s := Snapshot{Index: 40, Term: 3, Members: bootstrapMembers(), Data: []byte("x")}
		m.node.Step(c.now, Message{Kind: InstallSnapshot, From: "b.founder", To: m.id, Term: 3, Snapshot: &s})
		Expect(m.node.TakeMessages()).To(BeEmpty())
		m.node.Step(c.now, Message{Kind: InstallSnapshot, From: "b.founder", To: m.id, Term: 3, Snapshot: &s})
		Expect(m.node.TakeMessages()).To(BeEmpty())
		Expect(m.node.Commit()).To(BeZero())
	})

	ginkgo.It("steps down as leader when it can send but not receive", func() {
		c := newCluster(1)
		l := c.awaitLeader()
		for _, o := range c.ids() {
			c.cutUntil[o+">"+l.id] = c.now + 100*testElection
		}
		end := c.now + 2*testElection
		for l.node.Role() == Leader && c.now < end {
			c.step(false)
		}
		Expect(l.node.Role()).NotTo(Equal(Leader))
		n := c.awaitLeader()
		Expect(n.id).NotTo(Equal(l.id))
	})

	ginkgo.It("keeps its leader and term when a replica returns after a long partition", func() {
		c := newCluster(2)
		l := c.awaitLeader()
		var isolated *machine
		for _, id := range c.ids() {
			if id != l.id {
				isolated = c.machines[id]
			}
		}
		for _, o := range c.ids() {
			c.cutUntil[o+">"+isolated.id], c.cutUntil[isolated.id+">"+o] = 1<<40, 1<<40
		}
		for i := 0; i < 50*testElection; i++ {
			c.step(false)
		}
		term := l.node.Term()
		c.cutUntil = map[string]clock.Millis{}
		for i := 0; i < 10*testElection; i++ {
			c.step(false)
		}
		Expect(l.node.Term()).To(Equal(term))
		Expect(l.node.Role()).To(Equal(Leader))
	})

	ginkgo.It("sends each entry to each replica at most once while no message is lost", func() {
		c := newCluster(5)
		l := c.awaitLeader()
		const burst = 50
		sent := map[string]int{}
		l.node.TakeMessages()
		for i := 0; i < burst; i++ {
			_, err := l.node.Propose(c.now, []byte("x"))
			Expect(err).NotTo(HaveOccurred())
			for _, m := range l.node.TakeMessages() {
				sent[m.To] += len(m.Entries)
			}
		}
		Expect(sent).NotTo(BeEmpty())
		for id, k := range sent {
			Expect(k).To(BeNumerically("<=", burst), id)
		}
	})

	// Guards against a write and two messages to each member for each proposal, which
	// use up the leader's processor and disk when thousands of targets start.
	ginkgo.It("takes one write and one message to each member for all proposals of a batch", func() {
		const members, batches, size = 35, 10, 100
		c := &cluster{r: rand.New(rand.NewSource(1)), machines: map[string]*machine{}}
		all := Members{Voters: map[string]string{}}
		for k := 0; k < members; k++ {
			m := &machine{id: fmt.Sprint(k)}
			all.Voters[m.id] = m.id
			m.disk.Snapshot.Members = all
			c.machines[m.id] = m
		}
		for _, m := range c.machines {
			c.start(m)
			m.node.CompactAfter = 1 << 30
		}
		l := c.machines["0"]
		c.now += 10 * testElection
		l.node.preCampaign(c.now)
		c.exchange()
		Expect(l.node.Role()).To(Equal(Leader))
		messages, writes, followed, commit := 0, l.writes, c.machines["1"].writes, l.node.Commit()
		data := make([][]byte, size)
		for k := range data {
			data[k] = []byte("x")
		}
		for k := 0; k < batches; k++ {
			// The next batch is complete when the write of the last one has ended.
			l.waiting = nil
			_, err := l.node.ProposeAll(c.now, data)
			Expect(err).NotTo(HaveOccurred())
			if k < batches-1 {
				l.waiting = data
			}
			messages += c.exchange()
		}
		Expect(l.node.Commit() - commit).To(Equal(uint64(batches * size)))
		Expect(l.writes-writes).To(Equal(batches), "writes of the leader")
		// The last commit has no entries to travel with.
		Expect(messages).To(Equal((batches+1)*(members-1)), "messages of the leader")
		Expect(c.machines["1"].writes-followed).To(Equal(batches), "writes of a follower")
	})

	// Guards against a follower that writes each of the requests that arrived during its
	// last write by itself, and falls behind.
	ginkgo.It("takes one write and one response for append requests that arrive together", func() {
		c := newCluster(1)
		m := c.machines["b.founder"]
		var requests []Message
		for k := uint64(0); k < 5; k++ {
			requests = append(requests, Message{
				Kind: AppendEntries, From: "a.founder", To: m.id, Term: 1, Index: k, LogTerm: min(k, 1),
				Entries: []Entry{{Index: k + 1, Term: 1}}, Commit: k, Round: k + 1, Sent: k + 1,
			})
		}
		m.node.StepAll(c.now, requests[:1])
		m.node.TakeMessages()
		before := m.writes
		// A request that is delivered again does not continue the last one.
		m.node.StepAll(c.now, []Message{requests[1], requests[2], requests[3], requests[4], requests[0]})
		Expect(m.writes - before).To(Equal(1))
		l := m.node.TakeMessages()
		Expect(l).To(HaveLen(2))
		Expect(l[0]).To(Equal(Message{Kind: AppendResponse, From: m.id, To: "a.founder", Term: 1, Granted: true, Index: 5, Round: 5, Sent: 5}))
		Expect(m.node.Commit()).To(Equal(uint64(4)))
	})

	ginkgo.It("stops a replica whose disk lacks entries that it has acknowledged", func() {
		c := newCluster(3)
		l := c.awaitLeader()
		var m *machine
		for _, id := range c.ids() {
			if id != l.id {
				m = c.machines[id]
			}
		}
		older := m.disk
		for i := 0; i < 2000; i++ {
			c.step(false)
		}
		Expect(m.node.Commit()).To(BeNumerically(">", older.Snapshot.Index+uint64(len(older.Entries))))
		m.disk = older
		c.start(m)
		var violation error
		m.node.OnViolation = func(err error) { violation = err }
		for i := 0; i < 1000 && violation == nil; i++ {
			c.step(false)
		}
		Expect(violation).To(BeAssignableToTypeOf(StaleDisk{}))
		Expect(m.node.isVoter() && !m.node.halted).To(BeFalse())
	})
})

// exchange delivers messages until there are none, and returns the number of append
// requests.
func (c *cluster) exchange() int {
	n := 0
	for more := true; more; {
		more = false
		for _, m := range c.machines {
			l := m.node.TakeMessages()
			m.checkPromises(l)
			for _, x := range l {
				more = true
				if x.Kind == AppendEntries {
					n++
				}
				c.machines[x.To].node.Step(c.now, x)
			}
		}
	}
	return n
}

// awaitLeader steps until there is a leader with a recent proof of leadership.
func (c *cluster) awaitLeader() *machine {
	for i := 0; i < 100*testElection; i++ {
		c.step(false)
		for _, id := range c.ids() {
			if n := c.machines[id].node; n.Role() == Leader && n.LastProof().At > 0 && c.now-n.LastProof().At < testElection/2 {
				return c.machines[id]
			}
		}
	}
	ginkgo.Fail("no leader was elected")
	return nil
}
