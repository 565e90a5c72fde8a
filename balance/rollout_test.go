package balance

import (
	"fmt"
	"math/rand"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/carawayrack/carawayrack/catalog"
	"github.com/carawayrack/carawayrack/clock"
)

// versionTargets returns targets of versions v1 and v2 in the zones a, b and c.
func versionTargets(perVersion int, cold clock.Millis) []catalog.Target {
	var l []catalog.Target
	for i := range perVersion {
		z := string("abc"[i%3])
		l = append(l, catalog.Target{ID: fmt.Sprintf("%so%d", z, i), Zone: z, Version: "v1", Phase: catalog.Serving, Slots: 4, Born: 1})
		l = append(l, catalog.Target{ID: fmt.Sprintf("%sn%d", z, i), Zone: z, Version: "v2", Phase: catalog.Serving, Slots: 4, Born: 1, Cold: cold})
	}
	return l
}

func step(share float64) catalog.Rollout {
	return catalog.Rollout{Service: "s", Version: "v2", State: catalog.RolloutRunning, Share: share}
}

// rolloutLoad sends requests to hosts of three zones for some seconds. Every tenth
// response of the old version fails, and one of failEvery of the new one. One of five
// requests is sent again and one of four is hedged.
type rolloutLoad struct {
	hosts, targets int
	rate           float64
	seconds        int
	rollout        catalog.Rollout
	cold           clock.Millis
	failEvery      int
	warmUpRate     float64
}

// result holds the picks of the new version, all requests, the largest number of
// requests that a cold target got in a second, and the new targets used.
type loadResult struct {
	fresh, requests, unplaced, coldPerSecond int
	used                                     map[string]int
}

func (l rolloutLoad) run(seed int64) loadResult {
	r := rand.New(rand.NewSource(seed))
	var pools []*Pool
	for i := range l.hosts {
		z := string("abc"[i%3])
		var names []string
		for j := i % 3; j < l.hosts; j += 3 {
			names = append(names, fmt.Sprintf("h%d", j))
		}
		p := &Pool{Zone: z, Self: fmt.Sprintf("h%d", i), Service: catalog.Service{WarmUp: 3000, WarmUpRate: l.warmUpRate}}
		p.Run()
		p.SetHosts(names)
		p.SetRollout(l.rollout)
		p.SetTargets(0, versionTargets(l.targets, l.cold), nil)
		pools = append(pools, p)
	}
	type end struct {
		pool int
		id   string
		o    Outcome
	}
	ends := map[clock.Millis][]end{}
	x := loadResult{used: map[string]int{}}
	coldIn := map[string]int{}
	for now := clock.Millis(1); now < clock.Millis(l.seconds)*clock.Second; now++ {
		if now%1000 == 0 {
			coldIn = map[string]int{}
		}
		for _, e := range ends[now] {
			pools[e.pool].Done(now, e.id, Result{Outcome: e.o, Took: 400})
		}
		delete(ends, now)
		if r.Float64() < l.rate/1000 {
			x.requests++
			h := r.Intn(l.hosts)
			a := Request{Idempotent: r.Intn(2) == 0, Retryable: true, Sample: r.Float64()}
			for range 1 + r.Intn(5)/4 + r.Intn(4)/3 {
				c, ok := pools[h].Pick(now, a)
				if !ok {
					x.unplaced++
					break
				}
				o, at := Served, now+300+clock.Millis(r.Intn(200))
				if c.Version == "v2" {
					x.fresh++
					x.used[c.ID]++
					if c.Cold {
						coldIn[c.ID]++
						x.coldPerSecond = max(x.coldPerSecond, coldIn[c.ID])
					}
				}
				failEvery := 10
				if c.Version == "v2" {
					failEvery = l.failEvery
				}
				if failEvery > 0 && r.Intn(failEvery) == 0 {
					o = Failed
				}
				ends[at] = append(ends[at], end{h, c.ID, o})
				a.Repeated, a.Avoid, a.Sample = true, append(a.Avoid, c.ID), r.Float64()
			}
		}
	}
	return x
}

var _ = Describe("targets of two versions", func() {
	// Guards against hosts that each stay within the share of a step and together
	// exceed the exposure, and against retries and hedges that exceed it.
	DescribeTable("get the share of the step in the sum over all hosts",
		func(l rolloutLoad) {
			for seed := range int64(3) {
				x := l.run(seed)
				Expect(float64(x.fresh)).To(BeNumerically("<=", 0.1*float64(x.requests)+50))
				Expect(float64(x.fresh)).To(BeNumerically("<=", 1.3*l.rollout.Share*float64(x.requests)+10))
				Expect(float64(x.fresh)).To(BeNumerically(">=", 0.4*l.rollout.Share*float64(x.requests)-5))
				Expect(x.unplaced).To(Equal(0))
			}
		},
		Entry("95 hosts, 700 requests/s", rolloutLoad{hosts: 95, targets: 161, rate: 700, seconds: 6, rollout: step(0.04), failEvery: 2}),
		Entry("95 hosts, 20 requests/s", rolloutLoad{hosts: 95, targets: 40, rate: 20, seconds: 12, rollout: step(0.04), failEvery: 2}),
		Entry("4 hosts, 20 requests/s", rolloutLoad{hosts: 4, targets: 7, rate: 20, seconds: 12, rollout: step(0.04), failEvery: 2}),
	)

	// Guards against versions that fail under load only and get none while they have
	// few requests.
	It("of a small share are few, so that they are loaded as with all requests", func() {
		x := rolloutLoad{hosts: 95, targets: 161, rate: 700, seconds: 6, rollout: step(0.2)}.run(1)
		Expect(len(x.used)).To(BeNumerically("<=", 40))
		Expect(len(x.used)).To(BeNumerically(">=", 6))
	})

	// Guards against cold targets that get more than they can handle.
	It("are not overloaded while they are cold", func() {
		for _, rate := range []int{1, 2, 4, 7} {
			x := rolloutLoad{hosts: 95, targets: 40, rate: 700, seconds: 3, rollout: step(0.1), cold: 3000, warmUpRate: float64(rate)}.run(1)
			Expect(x.coldPerSecond).To(BeNumerically("<=", rate))
			Expect(x.fresh).To(BeNumerically(">", 0))
		}
	})

	// Guards against requests to old targets when these stop, and to a version that
	// was rolled back: for first attempts, retries, hedges, probes and requests that
	// were placed before.
	It("get no requests once all go to the other version", func() {
		p := newPool("a")
		set := func(r catalog.Rollout) {
			p.SetRollout(r)
			p.SetTargets(10, versionTargets(6, 0), nil)
		}
		set(step(1))
		picks := func() map[string]bool {
			m := map[string]bool{}
			for i := range 200 {
				a := Request{Idempotent: i%2 == 0, Retryable: i%4 == 0, Sample: float64(i) / 200, Repeated: i%3 == 0}
				c, ok := p.Pick(clock.Millis(100*i), a)
				Expect(ok).To(BeTrue())
				m[c.Version] = true
				p.Done(clock.Millis(100*i+50), c.ID, Result{Outcome: Outcome(i % 2), Took: 50})
			}
			return m
		}
		Expect(picks()).To(Equal(map[string]bool{"v2": true}))
		Expect(p.Wanted(20_000, "ao0", 1)).To(BeAssignableToTypeOf(VersionWithdrawn{}))
		Expect(p.Wanted(20_000, "an0", 1)).To(Succeed())
		r := step(0)
		r.State = catalog.RolloutRolledBack
		set(r)
		Expect(picks()).To(Equal(map[string]bool{"v1": true}))
		Expect(p.Wanted(20_000, "an0", 1)).To(BeAssignableToTypeOf(VersionWithdrawn{}))
		Expect(p.Wanted(20_000, "ao0", 1)).To(Succeed())
		for _, c := range p.DueHealthChecks(60_000) {
			Expect(c.ID[1:2]).To(Equal("o"))
		}
	})

	It("are all used without a roll-out and after a completed one", func() {
		p := newPool("a")
		for _, r := range []catalog.Rollout{{}, {Version: "v2", State: catalog.RolloutCompleted, Share: 1}} {
			p.SetRollout(r)
			p.SetTargets(10, versionTargets(6, 0), nil)
			m := map[string]bool{}
			for i := range 40 {
				c, ok := p.Pick(clock.Millis(i), Request{Sample: 0.9})
				Expect(ok).To(BeTrue())
				m[c.Version] = true
			}
			Expect(m).To(HaveLen(2))
		}
	})
})
