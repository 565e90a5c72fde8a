package lease

import (
	"flag"
	"fmt"
	"math/rand"
	"sort"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/carawayrack/carawayrack/clock"
)

var (
	seed  = flag.Int64("lease.seed", 1, "first seed of the random runs")
	runs  = flag.Int("lease.runs", 60, "number of random runs")
	steps = flag.Int("lease.steps", 20_000, "milliseconds of each random run")
)

// delivery is a message in flight.
type delivery struct {
	at clock.Millis
	m  Message
}

// group drives members with clocks of different speed over a network that
// delays, loses, duplicates and reorders messages.
type group struct {
	r           *rand.Rand
	now         clock.Millis
	members     map[string]*Member
	speed       map[string]int // clock speed in 1/1000
	frozenUntil map[string]clock.Millis
	cutUntil    map[string]clock.Millis // by "from>to"
	inFlight    []delivery
	restarts    int
	// heldSteps counts the steps in which a member held the lease.
	heldSteps int
	groups    [][]string
	// assignAt is when each member gets the newest groups.
	assignAt map[string]clock.Millis
	// calm is true if nothing but messages is disturbed.
	calm bool
}

const (
	testDuration = 300
	testDrift    = 10
)

func newGroup(seed int64) *group {
	g := &group{
		r: rand.New(rand.NewSource(seed)), members: map[string]*Member{}, speed: map[string]int{},
		frozenUntil: map[string]clock.Millis{}, cutUntil: map[string]clock.Millis{},
		groups: [][]string{{"a", "b", "c"}}, assignAt: map[string]clock.Millis{},
	}
	for _, id := range []string{"a", "b", "c", "d"} {
		g.speed[id] = 960 + g.r.Intn(80)
		g.start(id)
	}
	return g
}

func (g *group) start(id string) {
	g.restarts++
	m := &Member{
		Self: id, Incarnation: fmt.Sprint(g.restarts), Duration: testDuration,
		DriftPercent: testDrift, Random: g.r.Intn,
	}
	m.Run(g.localTime(id))
	m.SetGroups(g.groups)
	g.members[id] = m
}

func (g *group) localTime(id string) clock.Millis {
	return g.now * clock.Millis(g.speed[id]) / 1000
}

func (g *group) ids() []string {
	l := make([]string, 0, len(g.members))
	for id := range g.members {
		l = append(l, id)
	}
	sort.Strings(l)
	return l
}

func (g *group) send(l []Message) {
	for _, m := range l {
		if g.cutUntil[m.From+">"+m.To] > g.now || g.r.Intn(20) == 0 {
			continue
		}
		for k := 0; k < 1+g.r.Intn(8)/7; k++ {
			d := 1 + g.r.Intn(5)
			if g.r.Intn(30) == 0 {
				d = g.r.Intn(3 * testDuration)
			}
			g.inFlight = append(g.inFlight, delivery{g.now + clock.Millis(d), m})
		}
	}
}

func (g *group) step() {
	g.now++
	g.disturb()
	g.assignDue()
	rest := g.inFlight[:0]
	var due []Message
	for _, f := range g.inFlight {
		if f.at > g.now || g.frozenUntil[f.m.To] > g.now {
			rest = append(rest, f)
			continue
		}
		due = append(due, f.m)
	}
	g.inFlight = rest
	for _, m := range due {
		g.members[m.To].Step(g.localTime(m.To), m)
	}
	for _, id := range g.ids() {
		if g.frozenUntil[id] <= g.now {
			g.members[id].Tick(g.localTime(id), true)
		}
		g.send(g.members[id].TakeMessages())
	}
	g.check()
}

// disturb freezes, restarts and disconnects members, releases leases and changes
// the groups in two steps, as a committed configuration does.
func (g *group) disturb() {
	if g.calm {
		return
	}
	id := g.ids()[g.r.Intn(4)]
	switch g.r.Intn(1500) {
	case 0:
		g.frozenUntil[id] = g.now + clock.Millis(g.r.Intn(4*testDuration))
	case 1:
		g.start(id)
	case 2:
		o := g.ids()[g.r.Intn(4)]
		g.cutUntil[id+">"+o] = g.now + clock.Millis(g.r.Intn(6*testDuration))
	case 3:
		g.members[id].Release(g.localTime(id))
	case 4:
		g.changeGroups()
	}
}

// changeGroups starts the next change of the groups once every member has the
// current ones.
func (g *group) changeGroups() {
	if len(g.assignAt) > 0 {
		return
	}
	if len(g.groups) == 2 {
		g.scheduleGroups([][]string{g.groups[0]})
		return
	}
	n := g.ids()
	g.r.Shuffle(len(n), func(i, j int) { n[i], n[j] = n[j], n[i] })
	g.scheduleGroups([][]string{n[:3], g.groups[0]})
}

func (g *group) scheduleGroups(groups [][]string) {
	g.groups = groups
	for _, id := range g.ids() {
		g.assignAt[id] = g.now + clock.Millis(g.r.Intn(testDuration))
	}
}

// assignDue sets the newest groups of the members that are due.
func (g *group) assignDue() {
	for _, id := range g.ids() {
		if at, ok := g.assignAt[id]; ok && at <= g.now && g.frozenUntil[id] <= g.now {
			g.members[id].SetGroups(g.groups)
			delete(g.assignAt, id)
		}
	}
}

// awaitLeaseholder lets time pass until a member other than one holds the lease.
func (g *group) awaitLeaseholder(other string) string {
	for range 100 * testDuration {
		g.step()
		for _, id := range g.ids() {
			if _, ok := g.members[id].Holds(g.localTime(id)); ok && id != other {
				return id
			}
		}
	}
	Fail("no leaseholder")
	return ""
}

// awaitSteps lets time pass.
func (g *group) awaitSteps(n clock.Millis) {
	for range n {
		g.step()
	}
}

// check asserts that no two members hold the lease. It leaves out frozen members,
// which cannot act on theirs.
func (g *group) check() {
	n := ""
	for _, id := range g.ids() {
		m := g.members[id]
		_, ok := m.Holds(g.localTime(id))
		if !ok || g.frozenUntil[id] > g.now {
			continue
		}
		Expect(n).To(BeEmpty(), "two leaseholders at %d: %s and %s", g.now, n, id)
		n = id
		g.heldSteps++
	}
}

var _ = Describe("Member", func() {
	It("never lets two members hold the lease at once", func() {
		for k := 0; k < *runs; k++ {
			s := *seed + int64(k)
			By(fmt.Sprintf("seed %d", s))
			g := newGroup(s)
			for i := 0; i < *steps; i++ {
				g.step()
			}
			Expect(g.heldSteps).To(BeNumerically(">", *steps/3), "seed %d: the shard was without a leaseholder for too long", s)
		}
	})

	// Guards against candidates that keep each other from the lease with the grants that they
	// made to themselves.
	It("has another leaseholder within three lengths of a lease after the first has died", func() {
		for k := 0; k < 300; k++ {
			g := newGroup(*seed + int64(k))
			g.calm = true
			first := g.awaitLeaseholder("")
			if k%2 == 0 {
				// A member that has restarted grants nothing for a while.
				for _, id := range g.ids() {
					if id != first {
						g.start(id)
						break
					}
				}
				g.awaitSteps(2 * testDuration)
			}
			died := g.now
			g.frozenUntil[first] = g.now + 1_000_000
			g.awaitLeaseholder(first)
			Expect(g.now-died).To(BeNumerically("<=", 3*testDuration), "seed %d", *seed+int64(k))
		}
	})

	It("grants nothing after a restart until grants made before it have expired", func() {
		m := &Member{Self: "a", Incarnation: "2", Duration: 100, DriftPercent: 10, Random: func(int) int { return 0 }}
		m.SetGroups([][]string{{"a", "b", "c"}})
		m.Run(1000)
		request := Message{Kind: Request, From: "b", To: "a", Incarnation: "1", Term: 7, Round: 1}
		m.Step(1100, request)
		m.Step(1111, request)
		l := m.TakeMessages()
		Expect(l[0].Granted).To(BeFalse())
		Expect(l[1].Granted).To(BeTrue())
	})

	It("does not grant one term to two processes", func() {
		m := &Member{Self: "a", Incarnation: "1", Duration: 100, DriftPercent: 10, Random: func(int) int { return 0 }}
		m.SetGroups([][]string{{"a", "b", "c"}})
		m.Run(0)
		m.Step(500, Message{Kind: Request, From: "b", To: "a", Incarnation: "1", Term: 7, Round: 1})
		m.Step(900, Message{Kind: Request, From: "c", To: "a", Incarnation: "1", Term: 7, Round: 1})
		l := m.TakeMessages()
		Expect(l[0].Granted).To(BeTrue())
		Expect(l[1].Granted).To(BeFalse())
	})
})
