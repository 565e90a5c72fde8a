package configsync

import (
	"flag"
	"fmt"
	"math/rand"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/carawayrack/carawayrack/api"
	"github.com/carawayrack/carawayrack/clock"
	"github.com/carawayrack/carawayrack/config"
)

var (
	seed = flag.Int64("spread.seed", 1, "first seed of the random runs")
	runs = flag.Int("spread.runs", 100, "number of random runs")
)

const (
	testLimit = 300
	testHosts = 7
)

// pull is an answer on its way.
type pull struct {
	at, asked clock.Millis
	to        int
	state     *config.State
	beat      api.Proof
	seen      []api.Sighting
}

// fleet drives trackers that pull from each other and, while it is there,
// from a leader that commits changes.
type fleet struct {
	r        *rand.Rand
	now      clock.Millis
	trackers []*Tracker
	states   []*config.State
	pulls    []pull
	cut      map[string]clock.Millis
	away     clock.Millis
	acked    []uint64
	// acceptedAt is when a majority of the hosts held each sequence.
	acceptedAt map[uint64]clock.Millis
	current    int
}

func host(i int) string { return fmt.Sprintf("h%d", i) }

func newFleet(seed int64) *fleet {
	f := &fleet{r: rand.New(rand.NewSource(seed)), now: 1000, cut: map[string]clock.Millis{}, acceptedAt: map[uint64]clock.Millis{}}
	s := config.New()
	s.Sequence = 1
	for i := 0; i < testHosts; i++ {
		s.Hosts[host(i)] = config.Host{ID: host(i), Zone: "z"}
	}
	f.states = append(f.states, s)
	f.acked = make([]uint64, testHosts)
	for i := 0; i < testHosts; i++ {
		f.trackers = append(f.trackers, nil)
		f.boot(i)
	}
	return f
}

func (f *fleet) boot(i int) {
	f.trackers[i] = &Tracker{Self: host(i), MaxProofAge: testLimit}
	f.trackers[i].Init()
}

func (f *fleet) newest() *config.State { return f.states[len(f.states)-1] }

func (f *fleet) isCut(a, b string) bool { return f.cut[a+">"+b] > f.now || f.cut[b+">"+a] > f.now }

func (f *fleet) step() {
	f.now++
	f.disturb()
	for i, t := range f.trackers {
		if f.r.Intn(20) == 0 {
			f.askLeader(i)
		}
		if f.r.Intn(10) == 0 {
			f.askPeer(i, f.r.Intn(testHosts))
		}
		f.check(i, t)
	}
	rest := f.pulls[:0]
	for _, p := range f.pulls {
		if p.at > f.now {
			rest = append(rest, p)
			continue
		}
		t := f.trackers[p.to]
		t.Advance(p.state)
		t.AddProof(p.asked, p.beat)
		t.AddSightings(p.asked, p.seen)
	}
	f.pulls = rest
}

func (f *fleet) disturb() {
	a, b := f.r.Intn(testHosts), f.r.Intn(testHosts)
	switch f.r.Intn(400) {
	case 0:
		n := *f.newest()
		n.Sequence++
		if f.away < f.now {
			f.states = append(f.states, &n)
		}
	case 1:
		f.boot(a)
	case 2, 3:
		f.cut[host(a)+">"+host(b)] = f.now + clock.Millis(f.r.Intn(6*testLimit))
	case 4:
		f.cut[host(a)+">leader"] = f.now + clock.Millis(f.r.Intn(10*testLimit))
	case 5:
		if f.r.Intn(2) == 0 {
			f.away = f.now + clock.Millis(f.r.Intn(20*testLimit))
		}
	case 6, 7:
		f.partition()
	case 8:
		f.cut = map[string]clock.Millis{}
		for k := f.r.Intn(3); k >= 0; k-- {
			f.boot(f.r.Intn(testHosts))
		}
	}
}

// partition cuts the hosts into two sides, one of them with the leader.
func (f *fleet) partition() {
	until := f.now + clock.Millis(f.r.Intn(6*testLimit))
	side := f.r.Perm(testHosts)
	k := 1 + f.r.Intn(testHosts/2)
	for _, a := range side[:k] {
		f.cut[host(a)+">leader"] = until
		for _, b := range side[k:] {
			f.cut[host(a)+">"+host(b)] = until
		}
	}
}

func (f *fleet) delay() clock.Millis {
	if f.r.Intn(20) == 0 {
		return clock.Millis(f.r.Intn(2 * testLimit))
	}
	return clock.Millis(1 + f.r.Intn(5))
}

// askLeader pulls from the leader, which takes note of what the host holds.
func (f *fleet) askLeader(i int) {
	if f.away > f.now || f.isCut(host(i), "leader") {
		return
	}
	f.acked[i] = max(f.acked[i], f.trackers[i].State().Sequence)
	f.accept()
	s := f.newest()
	f.pulls = append(f.pulls, pull{at: f.now + f.delay(), asked: f.now, to: i, state: s, beat: api.Proof{Known: true, Sequence: s.Sequence}})
}

// accept counts which sequences a majority holds.
func (f *fleet) accept() {
	for _, s := range f.states {
		if f.acceptedAt[s.Sequence] > 0 {
			continue
		}
		k := 0
		for _, a := range f.acked {
			if a >= s.Sequence {
				k++
			}
		}
		if 2*k > testHosts {
			f.acceptedAt[s.Sequence] = f.now
		}
	}
}

func (f *fleet) askPeer(i, j int) {
	if i == j || f.isCut(host(i), host(j)) {
		return
	}
	t := f.trackers[j]
	f.pulls = append(f.pulls, pull{
		at: f.now + f.delay(), asked: f.now, to: i, state: t.State(),
		beat: t.LastProof(f.now), seen: t.Sightings(f.now, api.Flags{}),
	})
}

// check asserts that a host which trusts its configuration holds every change
// that was accepted longer ago than the limit.
func (f *fleet) check(i int, t *Tracker) {
	if t.FreshUntil(f.now) <= f.now {
		return
	}
	f.current++
	for s := t.State().Sequence + 1; s <= f.newest().Sequence; s++ {
		if at := f.acceptedAt[s]; at > 0 && f.now > at+testLimit {
			Fail(fmt.Sprintf("%s trusts sequence %d at %d, but %d was accepted at %d", host(i), t.State().Sequence, f.now, s, at))
		}
	}
}

var _ = Describe("Tracker", func() {
	It("never trusts a configuration that was overtaken longer ago than the limit", func() {
		current, steps := 0, 0
		for k := 0; k < *runs; k++ {
			s := *seed + int64(k)
			By(fmt.Sprintf("seed %d", s))
			f := newFleet(s)
			for i := 0; i < 8000; i++ {
				f.step()
			}
			current += f.current
			steps += 8000 * testHosts
		}
		Expect(current).To(BeNumerically(">", steps/4), "hosts trust their configuration most of the time")
	})

	It("trusts a majority of peers while no leader is heard, and nobody alone", func() {
		f := newFleet(1)
		t := f.trackers[0]
		t.Advance(f.newest())
		t.AddProof(1000, api.Proof{Known: true, Sequence: 1})
		Expect(t.FreshUntil(1001)).To(Equal(clock.Millis(1000 + testLimit)))
		now := clock.Millis(5000)
		Expect(t.FreshUntil(now)).To(BeNumerically("<=", now))
		for i := 1; i <= 3; i++ {
			t.AddSightings(now, []api.Sighting{{Host: host(i), Sequence: 1}})
		}
		Expect(t.FreshUntil(now)).To(Equal(now + testLimit))
		t.AddSightings(now+1, []api.Sighting{{Host: host(1), Sequence: 2}})
		Expect(t.FreshUntil(now+1)).To(BeNumerically("<=", now), "a peer holds something newer")
	})

	It("does not count a host that has restarted until it has had a proof", func() {
		f := newFleet(2)
		now := clock.Millis(5000)
		old := f.newest()
		// Hosts 0 to 3 acknowledged sequence 2, a majority. Host 3 restarts
		// and hears from host 4 alone, which holds sequence 1.
		for i := 3; i < testHosts; i++ {
			f.trackers[i].Advance(old)
		}
		restarted, t := f.trackers[3], f.trackers[4]
		Expect(restarted.FreshUntil(now)).To(BeNumerically("<=", now))
		for i := 4; i < testHosts; i++ {
			restarted.AddSightings(now, []api.Sighting{{Host: host(i), Sequence: 1}})
		}
		Expect(restarted.FreshUntil(now)).To(BeNumerically("<=", now), "its own memory is lost")
		Expect(restarted.Sightings(now, api.Flags{})).NotTo(ContainElement(HaveField("Host", host(3))))
		t.AddProof(now-2*testLimit, api.Proof{Known: true, Sequence: 1})
		Expect(t.FreshUntil(now - 2*testLimit + 1)).To(BeNumerically(">", now-2*testLimit))
		t.AddSightings(now, restarted.Sightings(now, api.Flags{}))
		for i := 5; i < testHosts; i++ {
			t.AddSightings(now, []api.Sighting{{Host: host(i), Sequence: 1}})
		}
		Expect(t.FreshUntil(now)).To(BeNumerically("<=", now))
	})
})
