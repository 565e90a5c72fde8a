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
	// testLimit is the trackers' MaxProofAge.
	testLimit = 300
	testHosts = 7
)

// pendingReply is a reply, which arrives at the time at, to a request that was sent
// at sentAt.
type pendingReply struct {
	at, sentAt clock.Millis
	to         int
	state      *config.State
	proof      api.Proof
	sightings  []api.Sighting
}

// fleet simulates trackers that fetch the configuration from each other and, while
// there is one, from a leader that commits changes.
type fleet struct {
	r        *rand.Rand
	now      clock.Millis
	trackers []*Tracker
	states   []*config.State
	replies  []pendingReply
	// cutUntil is when the cut connection between two hosts, or a host and the
	// leader, works again.
	cutUntil        map[string]clock.Millis
	leaderDownUntil clock.Millis
	// acked is, for each host, the highest sequence of which the leader knows that
	// the host holds it.
	acked []uint64
	// acceptedAt is when the leader learned that a majority of the hosts held each
	// sequence.
	acceptedAt map[uint64]clock.Millis
	// freshChecks counts the checks at which a host considered its configuration
	// fresh.
	freshChecks int
}

func host(i int) string { return fmt.Sprintf("h%d", i) }

func newFleet(seed int64) *fleet {
	f := &fleet{r: rand.New(rand.NewSource(seed)), now: 1000, cutUntil: map[string]clock.Millis{}, acceptedAt: map[uint64]clock.Millis{}}
	s := config.New()
	s.Sequence = 1
	for i := 0; i < testHosts; i++ {
		s.Hosts[host(i)] = config.Host{ID: host(i), Zone: "z"}
	}
	f.states = append(f.states, s)
	f.acked = make([]uint64, testHosts)
	for i := 0; i < testHosts; i++ {
		f.trackers = append(f.trackers, nil)
		f.restart(i)
	}
	return f
}

// restart replaces a host's tracker by an empty one.
func (f *fleet) restart(i int) {
	f.trackers[i] = &Tracker{Self: host(i), MaxProofAge: testLimit}
	f.trackers[i].Run()
}

func (f *fleet) newest() *config.State { return f.states[len(f.states)-1] }

func (f *fleet) isCut(a, b string) bool {
	return f.cutUntil[a+">"+b] > f.now || f.cutUntil[b+">"+a] > f.now
}

func (f *fleet) step() {
	f.now++
	f.injectFault()
	for i, t := range f.trackers {
		if f.r.Intn(20) == 0 {
			f.callLeader(i)
		}
		if f.r.Intn(10) == 0 {
			f.callPeer(i, f.r.Intn(testHosts))
		}
		f.check(i, t)
	}
	rest := f.replies[:0]
	for _, p := range f.replies {
		if p.at > f.now {
			rest = append(rest, p)
			continue
		}
		t := f.trackers[p.to]
		t.Advance(p.state)
		t.AddProof(p.sentAt, p.proof)
		t.AddSightings(p.sentAt, p.sightings)
	}
	f.replies = rest
}

func (f *fleet) injectFault() {
	a, b := f.r.Intn(testHosts), f.r.Intn(testHosts)
	switch f.r.Intn(400) {
	case 0:
		n := *f.newest()
		n.Sequence++
		if f.leaderDownUntil < f.now {
			f.states = append(f.states, &n)
		}
	case 1:
		f.restart(a)
	case 2, 3:
		f.cutUntil[host(a)+">"+host(b)] = f.now + clock.Millis(f.r.Intn(6*testLimit))
	case 4:
		f.cutUntil[host(a)+">leader"] = f.now + clock.Millis(f.r.Intn(10*testLimit))
	case 5:
		if f.r.Intn(2) == 0 {
			f.leaderDownUntil = f.now + clock.Millis(f.r.Intn(20*testLimit))
		}
	case 6, 7:
		f.partition()
	case 8:
		f.cutUntil = map[string]clock.Millis{}
		for k := f.r.Intn(3); k >= 0; k-- {
			f.restart(f.r.Intn(testHosts))
		}
	}
}

// partition cuts the connections between two sets of hosts, of which only one can
// reach the leader.
func (f *fleet) partition() {
	until := f.now + clock.Millis(f.r.Intn(6*testLimit))
	side := f.r.Perm(testHosts)
	k := 1 + f.r.Intn(testHosts/2)
	for _, a := range side[:k] {
		f.cutUntil[host(a)+">leader"] = until
		for _, b := range side[k:] {
			f.cutUntil[host(a)+">"+host(b)] = until
		}
	}
}

func (f *fleet) delay() clock.Millis {
	if f.r.Intn(20) == 0 {
		return clock.Millis(f.r.Intn(2 * testLimit))
	}
	return clock.Millis(1 + f.r.Intn(5))
}

// callLeader sends a request to the leader, which records the sequence that the host
// holds.
func (f *fleet) callLeader(i int) {
	if f.leaderDownUntil > f.now || f.isCut(host(i), "leader") {
		return
	}
	f.acked[i] = max(f.acked[i], f.trackers[i].State().Sequence)
	f.accept()
	s := f.newest()
	f.replies = append(f.replies, pendingReply{at: f.now + f.delay(), sentAt: f.now, to: i, state: s, proof: api.Proof{Known: true, Sequence: s.Sequence}})
}

// accept records the sequences that a majority of the hosts holds now.
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

func (f *fleet) callPeer(i, j int) {
	if i == j || f.isCut(host(i), host(j)) {
		return
	}
	t := f.trackers[j]
	f.replies = append(f.replies, pendingReply{
		at: f.now + f.delay(), sentAt: f.now, to: i, state: t.State(),
		proof: t.LastProof(f.now), sightings: t.Sightings(f.now, api.Flags{}),
	})
}

// check asserts that a host which considers its configuration fresh holds every
// change that was accepted longer ago than testLimit.
func (f *fleet) check(i int, t *Tracker) {
	if t.FreshUntil(f.now) <= f.now {
		return
	}
	f.freshChecks++
	for s := t.State().Sequence + 1; s <= f.newest().Sequence; s++ {
		if at := f.acceptedAt[s]; at > 0 && f.now > at+testLimit {
			Fail(fmt.Sprintf("%s considers sequence %d fresh at %d, but %d was accepted at %d", host(i), t.State().Sequence, f.now, s, at))
		}
	}
}

var _ = Describe("Tracker", func() {
	It("never considers a configuration fresh if a newer one was accepted longer ago than MaxProofAge", func() {
		fresh, steps := 0, 0
		for k := 0; k < *runs; k++ {
			s := *seed + int64(k)
			By(fmt.Sprintf("seed %d", s))
			f := newFleet(s)
			for i := 0; i < 8000; i++ {
				f.step()
			}
			fresh += f.freshChecks
			steps += 8000 * testHosts
		}
		Expect(fresh).To(BeNumerically(">", steps/4), "hosts must consider their configuration fresh at more than a quarter of the checks")
	})

	It("relies on the sightings of a majority while there is no recent leadership proof, but never on its own state alone", func() {
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
		Expect(t.FreshUntil(now+1)).To(BeNumerically("<=", now), "a peer holds a newer configuration")
	})

	It("does not count a restarted host towards a majority until it has had a proof", func() {
		f := newFleet(2)
		now := clock.Millis(5000)
		old := f.newest()
		// Hosts 0 to 3, a majority, acknowledged sequence 2. Host 3 restarts and
		// receives, from host 4 alone, sightings of hosts 4 to 6, which hold sequence 1.
		for i := 3; i < testHosts; i++ {
			f.trackers[i].Advance(old)
		}
		restarted, t := f.trackers[3], f.trackers[4]
		Expect(restarted.FreshUntil(now)).To(BeNumerically("<=", now))
		for i := 4; i < testHosts; i++ {
			restarted.AddSightings(now, []api.Sighting{{Host: host(i), Sequence: 1}})
		}
		Expect(restarted.FreshUntil(now)).To(BeNumerically("<=", now), "the restarted host does not count")
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
