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

// flight is a message on its way.
type flight struct {
	at clock.Millis
	m  Message
}

// group drives members with drifting clocks over a network that delays,
// loses, duplicates and reorders.
type group struct {
	r        *rand.Rand
	now      clock.Millis
	members  map[string]*Member
	speed    map[string]int // clock speed in 1/1000
	frozen   map[string]clock.Millis
	cut      map[string]clock.Millis // "from>to" until
	flights  []flight
	restarts int
	held     int
	roster   [][]string
	// lag is when each member learns of the newest roster.
	lag map[string]clock.Millis
}

const (
	testDuration = 300
	testDrift    = 10
)

func newGroup(seed int64) *group {
	g := &group{
		r: rand.New(rand.NewSource(seed)), members: map[string]*Member{}, speed: map[string]int{},
		frozen: map[string]clock.Millis{}, cut: map[string]clock.Millis{},
		roster: [][]string{{"a", "b", "c"}}, lag: map[string]clock.Millis{},
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
	m.Run(g.local(id))
	m.SetGroups(g.roster)
	g.members[id] = m
}

func (g *group) local(id string) clock.Millis {
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
		if g.cut[m.From+">"+m.To] > g.now || g.r.Intn(20) == 0 {
			continue
		}
		for k := 0; k < 1+g.r.Intn(8)/7; k++ {
			d := 1 + g.r.Intn(5)
			if g.r.Intn(30) == 0 {
				d = g.r.Intn(3 * testDuration)
			}
			g.flights = append(g.flights, flight{g.now + clock.Millis(d), m})
		}
	}
}

func (g *group) step() {
	g.now++
	g.disturb()
	g.learn()
	rest := g.flights[:0]
	var due []Message
	for _, f := range g.flights {
		if f.at > g.now || g.frozen[f.m.To] > g.now {
			rest = append(rest, f)
			continue
		}
		due = append(due, f.m)
	}
	g.flights = rest
	for _, m := range due {
		g.members[m.To].Step(g.local(m.To), m)
	}
	for _, id := range g.ids() {
		if g.frozen[id] <= g.now {
			g.members[id].Tick(g.local(id), true)
		}
		g.send(g.members[id].TakeMessages())
	}
	g.check()
}

// disturb freezes, restarts and cuts members and changes the roster in two
// steps, the way a committed configuration does.
func (g *group) disturb() {
	id := g.ids()[g.r.Intn(4)]
	switch g.r.Intn(1500) {
	case 0:
		g.frozen[id] = g.now + clock.Millis(g.r.Intn(4*testDuration))
	case 1:
		g.start(id)
	case 2:
		o := g.ids()[g.r.Intn(4)]
		g.cut[id+">"+o] = g.now + clock.Millis(g.r.Intn(6*testDuration))
	case 3:
		g.members[id].Release(g.local(id))
	case 4:
		g.changeRoster()
	}
}

// changeRoster waits until every member holds the roster before the next.
func (g *group) changeRoster() {
	if len(g.lag) > 0 {
		return
	}
	if len(g.roster) == 2 {
		g.assign([][]string{g.roster[0]})
		return
	}
	n := g.ids()
	g.r.Shuffle(len(n), func(i, j int) { n[i], n[j] = n[j], n[i] })
	g.assign([][]string{n[:3], g.roster[0]})
}

func (g *group) assign(r [][]string) {
	g.roster = r
	for _, id := range g.ids() {
		g.lag[id] = g.now + clock.Millis(g.r.Intn(testDuration))
	}
}

// learn hands the newest roster to the members that are due.
func (g *group) learn() {
	for _, id := range g.ids() {
		if at, ok := g.lag[id]; ok && at <= g.now && g.frozen[id] <= g.now {
			g.members[id].SetGroups(g.roster)
			delete(g.lag, id)
		}
	}
}

// check asserts that no two members hold the lease.
func (g *group) check() {
	n := ""
	for _, id := range g.ids() {
		m := g.members[id]
		_, ok := m.Holds(g.local(id))
		if !ok || g.frozen[id] > g.now {
			continue
		}
		Expect(n).To(BeEmpty(), "two keepers at %d: %s and %s", g.now, n, id)
		n = id
		g.held++
	}
}

var _ = Describe("Member", func() {
	It("never lets two members be keeper at once", func() {
		for k := 0; k < *runs; k++ {
			s := *seed + int64(k)
			By(fmt.Sprintf("seed %d", s))
			g := newGroup(s)
			for i := 0; i < *steps; i++ {
				g.step()
			}
			Expect(g.held).To(BeNumerically(">", *steps/3), "seed %d: the shard was without keeper for too long", s)
		}
	})

	It("grants nothing after a restart until forgotten promises have run out", func() {
		m := &Member{Self: "a", Incarnation: "2", Duration: 100, DriftPercent: 10, Random: func(int) int { return 0 }}
		m.SetGroups([][]string{{"a", "b", "c"}})
		m.Run(1000)
		ask := Message{Kind: Request, From: "b", To: "a", Incarnation: "1", Term: 7, Round: 1}
		m.Step(1100, ask)
		m.Step(1111, ask)
		l := m.TakeMessages()
		Expect(l[0].Granted).To(BeFalse())
		Expect(l[1].Granted).To(BeTrue())
	})

	It("does not promise one term to two processes", func() {
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
