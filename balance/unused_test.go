package balance

import (
	"math/rand"
	"strconv"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/carawayrack/carawayrack/clock"
)

// zoneLoad is a load of requests that must not be repeated on the hosts of a zone, some
// of whose targets reset 85 of 100 requests in episodes while their health checks pass.
type zoneLoad struct {
	// failing targets have an episode in each period.
	hosts, targets, failing int
	episode, period, work   clock.Millis
	// rate is in requests a second, lost the share of them that get no target.
	rate, lost float64
	// counts is false if the hosts do not send their counts to each other. The hosts
	// start one after the other in the time starting.
	counts             bool
	starting, duration clock.Millis
	// calm is true if windows count in which most requests are served.
	calm bool
}

// zoneResult is the result of a load: the numbers of healthy targets and of those that
// got a request, in each 2 s in which more than a tenth and less than half of all
// requests were not served, or in all.
type zoneResult struct{ healthy, used []int }

const (
	// floorWindow is the time in which deployments require requests at most of the
	// targets that have been undisturbed for calmTime.
	floorWindow = 2 * clock.Second
	calmTime    = 6 * clock.Second
)

func (l zoneLoad) inEpisode(now clock.Millis, id string) bool {
	i, err := strconv.Atoi(id[1:])
	Expect(err).NotTo(HaveOccurred())
	return i < l.failing && (now+clock.Millis(i)*2700)%l.period < l.episode
}

func (l zoneLoad) healthy(from, to clock.Millis, id string) bool {
	for at := max(from-calmTime, 0); at < to; at += 100 {
		if l.inEpisode(at, id) {
			return false
		}
	}
	return true
}

// run simulates the load.
func (l zoneLoad) run(seed int64) zoneResult {
	z := newLargeZone(l.hosts, l.targets)
	r := rand.New(rand.NewSource(seed))
	var res zoneResult
	var open []openRequest
	used := map[string]bool{}
	ended, unserved, running := 0, 0, 0
	count := func(now clock.Millis, p *Pool, served bool) {
		p.CountOutcome(now, served)
		ended++
		if !served {
			unserved++
		}
	}
	for now := clock.Millis(1); now < l.duration; now += 10 {
		if k := min(1+int(now)*l.hosts/max(int(l.starting), 1), l.hosts); k != running {
			running = k
			for _, h := range z.hosts[:k] {
				z.pools[h].SetHosts(z.hosts[:k])
			}
		}
		z.exchange(now)
		for i, h := range z.hosts[:running] {
			for _, c := range z.pools[h].DueHealthChecks(now) {
				z.pools[h].CheckDone(c.ID, now, true)
			}
			for _, o := range z.hosts[:running] {
				if l.counts && o != h && (now+clock.Millis(i*370))%1000 < 10 {
					z.pools[o].SetPeerOutcomes(now, h, z.pools[h].Outcomes(now), now)
				}
			}
		}
		kept := open[:0]
		for _, o := range open {
			if o.end > now {
				kept = append(kept, o)
				continue
			}
			o.pool.Done(now, o.id, Result{Outcome: o.outcome, Took: now - o.start})
			count(now, o.pool, o.outcome == Served)
		}
		open = kept
		for n := l.rate / 100; n > r.Float64(); n-- {
			p := z.pools[z.hosts[r.Intn(running)]]
			if r.Float64() < l.lost {
				count(now, p, false)
				continue
			}
			c, ok := p.Pick(now, unsafe)
			if !ok {
				count(now, p, false)
				continue
			}
			used[c.ID] = true
			o := openRequest{p, c.ID, now, now + l.work, Served}
			if l.inEpisode(now, c.ID) && r.Float64() < 0.85 {
				o.end, o.outcome = now+5, Broken
			}
			open = append(open, o)
		}
		if now%floorWindow == 1 && now > floorWindow {
			healthy, got := 0, 0
			for id := range z.pools[z.hosts[0]].targets {
				if l.healthy(now-floorWindow, now, id) {
					healthy++
					if used[id] {
						got++
					}
				}
			}
			if share := float64(unserved) / float64(max(ended, 1)); l.calm || share > 0.1 && share < 0.5 {
				res.healthy, res.used = append(res.healthy, healthy), append(res.used, got)
			}
			used, ended, unserved = map[string]bool{}, 0, 0
		}
	}
	return res
}

var _ = DescribeTable("healthy targets without requests",
	// Guards against healthy targets that get no requests for 2 s while more than a
	// tenth of their service's requests are not served: 0.7 of them must get some.
	func(l zoneLoad) {
		for seed := int64(1); seed <= 3; seed++ {
			x := l.run(seed)
			Expect(clock.Millis(len(x.healthy)) * floorWindow).To(BeNumerically(">", l.duration/2))
			for i, n := range x.healthy {
				Expect(float64(x.used[i])).To(BeNumerically(">=", 0.7*float64(n)), "seed %d, window %d: %v of %v", seed, i, x.used, x.healthy)
			}
		}
	},
	Entry("are few of 40 after a restart of all hosts", zoneLoad{hosts: 20, targets: 40, failing: 12, episode: 4000, period: 9000, work: 330, rate: 100, lost: 0.13, starting: 2000, counts: true, duration: 30_000}),
	Entry("are few of 6 targets of a service with many hosts", zoneLoad{hosts: 20, targets: 6, failing: 2, episode: 4000, period: 15_000, work: 330, rate: 20, lost: 0.13, counts: true, duration: 60_000}),
	Entry("are few of 7 targets of a service with three hosts", zoneLoad{hosts: 3, targets: 7, failing: 2, episode: 4000, period: 15_000, work: 330, rate: 20, lost: 0.13, counts: true, duration: 60_000}),
	Entry("are few if hosts have no counts of each other", zoneLoad{hosts: 20, targets: 40, failing: 12, episode: 4000, period: 9000, work: 330, rate: 100, lost: 0.13, duration: 30_000}),
)

// Guards against healthy targets that are found unused when a fault breaks off the requests
// that were under way: at that moment it is too late to use them.
var _ = DescribeTable("healthy targets of a service whose requests are served",
	func(l zoneLoad) {
		l.calm = true
		for seed := int64(1); seed <= 3; seed++ {
			x := l.run(seed)
			Expect(len(x.healthy)).To(BeNumerically(">", 10))
			for i, n := range x.healthy {
				Expect(x.used[i]).To(BeNumerically(">=", n-1), "seed %d, window %d: %v of %v", seed, i, x.used, x.healthy)
			}
		}
	},
	Entry("get requests in each 2 s", zoneLoad{hosts: 20, targets: 38, work: 460, rate: 150, counts: true, duration: 30_000}),
	Entry("get them with a share of targets that fail", zoneLoad{hosts: 20, targets: 38, failing: 4, episode: 4000, period: 20_000, work: 460, rate: 150, counts: true, duration: 30_000}),
)

var _ = Describe("an unused target", func() {
	// a1 and a2 are equal to a request that must not be repeated, but a2 has got none.
	unusedPool := func(served int) *Pool {
		p := newPool("a", "a1", "a2")
		for i := range 20 {
			p.CountOutcome(5000, i < served)
		}
		succeed(p, 4990, "a1")
		return p
	}

	It("gets one request at a time, also if it has only passed its health checks", func() {
		p := unusedPool(19)
		t := p.targets["a2"]
		t.failAt, t.successesNeeded, t.checked = 1000, checkedSuccessesNeeded, true
		c, ok := p.Pick(5000, unsafe)
		Expect(ok).To(BeTrue())
		Expect(c.ID).To(Equal("a2"))
		Expect(c.Unused.Unserved).To(Equal(UnservedShare{Known: true, Share: 0.05, Ended: 20, Unserved: 1}))
		Expect(picks(p, 5000+unusedAfter, 2)).NotTo(HaveKey("a2"))
	})

	It("gets none for being unused before its health checks have passed", func() {
		p := unusedPool(10)
		p.targets["a2"].failAt, p.targets["a2"].successesNeeded = 1000, checkedSuccessesNeeded+1
		Expect(picks(p, 5000, 1)).NotTo(HaveKey("a2"))
	})

	It("gets one if fewer than 5 % are not served and it is healthy, or may have recovered", func() {
		Expect(picks(unusedPool(20), 5000, 1)).To(HaveKey("a2"))
		p := unusedPool(20)
		t := p.targets["a2"]
		t.start(1000)
		t.failAt, t.successesNeeded, t.checked = 1000, checkedSuccessesNeeded, true
		p.targets["a1"].start(6900)
		succeed(p, 6950, "a1")
		Expect(picks(p, 1000+recoveredAfter-1, 1)).NotTo(HaveKey("a2"))
		Expect(picks(p, 1000+recoveredAfter, 1)).To(HaveKey("a2"))
	})

	It("gets one as rarely if it is slow and few are not served", func() {
		p := unusedPool(20)
		t := p.targets["a2"]
		t.start(1000)
		t.latency, p.averageLatency = 500, 100
		Expect(p.unusedDue(1000+recoveredAfter-1, t, false)).To(BeFalse())
		Expect(p.unusedDue(1000+recoveredAfter, t, false)).To(BeTrue())
		Expect(p.unusedDue(1000+unusedAfter, t, true)).To(BeTrue())
	})

	It("is tried by its first owner, and by the others in turn if the first does not", func() {
		z := newLargeZone(20, 40)
		l := z.pools["h0"].targets["a3"].owners
		due := func(i int, now clock.Millis) bool {
			return z.pools[l[i]].unusedDue(now, z.pools[l[i]].targets["a3"], true)
		}
		Expect([]bool{due(0, 1000), due(1, 1000), due(1, 1200), due(2, 1200)}).To(Equal([]bool{true, false, true, false}))
		z.pools[l[2]].targets["a3"].start(900)
		z.pools[l[2]].targets["a3"].inFlight, z.pools[l[2]].targets["a3"].changed = 1, true
		z.exchange(900)
		z.exchange(900 + gossipDelay)
		Expect(due(0, 1800)).To(BeFalse())
	})
})
