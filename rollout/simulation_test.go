package rollout

import (
	"math"
	"math/rand"
	"strconv"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/carawayrack/carawayrack/catalog"
	"github.com/carawayrack/carawayrack/clock"
)

// reply is how a version responds to a request: with a failure or not, and how much
// slower than usual.
type reply struct {
	failed bool
	slower float64
}

// version decides the replies of a version: at is the time since the order, target
// the number of the target, load its requests in flight
// relative to those at the full traffic of the service.
type version func(r *rand.Rand, at clock.Millis, route string, target int, load float64) reply

func good(r *rand.Rand, _ clock.Millis, _ string, _ int, _ float64) reply {
	return reply{r.Float64() < 0.01, 1}
}

// failing fails 47 % of its requests while the condition holds.
func failing(when func(at clock.Millis, route string, load float64) bool) version {
	return func(r *rand.Rand, at clock.Millis, route string, _ int, load float64) reply {
		return reply{when(at, route, load) && r.Float64() < 0.47, 1}
	}
}

// slow takes four times as long for half of its requests while the condition holds.
func slow(when func(at clock.Millis, route string, load float64) bool) version {
	return func(r *rand.Rand, at clock.Millis, route string, _ int, load float64) reply {
		if when(at, route, load) && r.Float64() < 0.5 {
			return reply{false, 4}
		}
		return reply{false, 1}
	}
}

// underLoad holds at 0.6 of the load that the service's whole traffic brings, so that
// nearly all requests of the last step meet it.
func always(clock.Millis, string, float64) bool               { return true }
func from3s(at clock.Millis, _ string, _ float64) bool        { return at >= 3000 }
func underLoad(_ clock.Millis, _ string, l float64) bool      { return l >= 0.6 }
func onOneRoute(_ clock.Millis, route string, _ float64) bool { return route == "a" }

// site is a deployment of one service with two routes.
type site struct {
	hosts, targets, slots int
	rateA, rateB          float64
	workA, workB          clock.Millis
	duration              clock.Millis
	old, fresh            version
	seed                  int64
	// cut is the number of hosts that lose contact in the middle.
	cut int
	// changeAt is when a new leader takes over, after a second without one, if not 0.
	changeAt clock.Millis
}

// utilization returns the part of the slots that is in use with all traffic.
func (s site) utilization() float64 {
	return (s.rateA*float64(s.workA) + s.rateB*float64(s.workB)) / 1000 / float64(s.targets*s.slots)
}

type flight struct {
	host, target int
	fresh        bool
	attempt      Attempt
	failed       bool
	bad          bool
}

// result is what a simulated roll-out did.
type result struct {
	state      catalog.RolloutState
	endedAt    clock.Millis
	requests   int
	exposed    int
	bad        int
	badAt      clock.Millis
	lastSentAt clock.Millis
	// oldAtEnd is the number of requests in flight at old targets at the end.
	oldAtEnd int
}

// delay is the time in which hosts learn of a step, and the leader of counts.
const delay = 300

func (s site) run() result {
	r := rand.New(rand.NewSource(s.seed))
	set := Settings{ExposureShare: 0.1, ExposureSlack: 50, Rollback: 5000, Revocation: 5000}
	state := catalog.New(nil)
	Expect(state.Apply(catalog.Change{Order: &catalog.Rollout{Service: "s", Version: "v2", Duration: s.duration}})).To(Succeed())
	m := &Monitor{}
	m.Run(0, state.Rollouts["s"])
	recorders := make([]*Recorder, s.hosts)
	held := make([]catalog.Rollout, s.hosts)
	ids := make([]string, s.hosts)
	for i := range recorders {
		recorders[i] = &Recorder{}
		ids[i] = strconv.Itoa(i)
	}
	type learned struct {
		at clock.Millis
		r  catalog.Rollout
	}
	type sent struct {
		at clock.Millis
		h  HostReport
	}
	news := []learned{{0, state.Rollouts["s"]}}
	var reports []sent
	ends := map[clock.Millis][]flight{}
	busy := map[int]int{}
	res := result{state: catalog.RolloutRunning}
	oldInFlight := 0
	first := clock.Millis(-2000)
	for now := first; now < s.duration*13/10; now += 5 {
		for _, f := range ends[now] {
			o := Served
			if f.failed {
				o = Failed
			}
			recorders[f.host].End(now, f.attempt, o)
			if f.fresh {
				busy[f.target]--
			} else {
				oldInFlight--
			}
			if f.bad {
				if res.bad++; res.bad == 50 {
					res.badAt = now
				}
			}
		}
		delete(ends, now)
		for i := range held {
			for _, n := range news {
				isCut := i < s.cut && n.at > s.duration/2
				if now >= n.at+delay*clock.Millis(i%3+1)/3 && !isCut && n.r.Revision > held[i].Revision {
					held[i] = n.r
					recorders[i].SetRollout(n.r)
				}
			}
		}
		for k, rate := range []float64{s.rateA, s.rateB} {
			route, work := "a", s.workA
			if k == 1 {
				route, work = "b", s.workB
			}
			n := 0
			for p := r.Float64(); p > math.Exp(-rate*0.005); p *= r.Float64() {
				n++
			}
			for range n {
				i := r.Intn(s.hosts)
				if i < s.cut && now > s.duration/2+set.Revocation {
					continue
				}
				if now >= 0 && now < s.duration {
					res.requests++
				}
				f := flight{host: i, target: r.Intn(s.targets), fresh: r.Float64() < held[i].Share}
				v, name := s.old, "v1"
				if f.fresh {
					// A share of the version goes to as large a share of its targets.
					f.target = r.Intn(max(int(0.7*held[i].Share*float64(s.targets)), min(6, s.targets)))
					if held[i].Share >= 0.5 {
						f.target = r.Intn(s.targets)
					}
					if busy[f.target] >= s.slots && held[i].Share < 1 {
						f.fresh = false
					}
				}
				load := 0.0
				if f.fresh {
					v, name = s.fresh, "v2"
					busy[f.target]++
					load = float64(busy[f.target]) / float64(s.slots) / s.utilization()
					res.exposed++
					res.lastSentAt = now
				} else {
					oldInFlight++
				}
				x := v(r, now, route, f.target, load)
				took := clock.Millis((0.7 + 0.6*r.Float64()) * float64(work) * x.slower)
				f.failed, f.bad = x.failed, f.fresh && (x.failed || x.slower > 1)
				f.attempt = recorders[i].Begin(now, "s", route, name, uint32(f.target), false)
				at := now + max(took/5*5, 5)
				ends[at] = append(ends[at], f)
			}
		}
		if now < 0 {
			continue
		}
		if now%100 == 0 {
			for i := range recorders {
				if l := recorders[i].Reports(now); l != nil && !(i < s.cut && now > s.duration/2) {
					reports = append(reports, sent{now + delay, HostReport{Host: ids[i], Instance: 1, Reports: l}})
				}
			}
		}
		for len(reports) > 0 && reports[0].at <= now {
			m.Report(now, now, reports[0].h, reports[0].h.Reports[0])
			reports = reports[1:]
		}
		if s.changeAt > 0 && now >= s.changeAt && now < s.changeAt+1000 {
			m = &Monitor{}
			m.Run(now, state.Rollouts["s"])
			continue
		}
		if now%100 != 0 || res.state != catalog.RolloutRunning {
			continue
		}
		x := Situation{Rollout: state.Rollouts["s"], Elapsed: now, NewSlots: 10, OldSlots: 10}
		m.Evaluate(now, set, &x, ids)
		n, ok := set.Next(x)
		if !ok {
			continue
		}
		Expect(state.Apply(catalog.Change{Step: &n})).To(Succeed())
		m.SetStep(now, state.Rollouts["s"])
		news = append(news, learned{now, state.Rollouts["s"]})
		if res.state = n.State; res.state != catalog.RolloutRunning {
			res.endedAt, res.oldAtEnd = now, oldInFlight
		}
	}
	return res
}

// The loads that the roll-outs are designed for: many targets with two busy routes,
// and few targets with a rare and a busy one; and a service with little traffic.
var sites = map[string]site{
	"161 targets, 386 + 268 requests/s":  {hosts: 95, targets: 161, slots: 4, rateA: 386, rateB: 268, workA: 460, workB: 560, duration: 12_000},
	"40 targets, 37.5 + 60 requests/s":   {hosts: 95, targets: 40, slots: 4, rateA: 37.5, rateB: 60, workA: 1900, workB: 330, duration: 16_000},
	"161 targets, 37.5 + 364 requests/s": {hosts: 95, targets: 161, slots: 4, rateA: 37.5, rateB: 364, workA: 610, workB: 330, duration: 16_000},
	"161 targets, 700 requests/s":        {hosts: 95, targets: 161, slots: 6, rateA: 350, rateB: 350, workA: 460, workB: 460, duration: 14_000},
	"7 targets, 20 requests/s":           {hosts: 12, targets: 7, slots: 4, rateA: 10, rateB: 10, workA: 460, workB: 330, duration: 12_000},
}

// Seed 18 exceeded the exposure while steps did not wait for responses of each route.
var seeds = []int64{1, 2, 3, 18}

func eachSite(f func(name string, s site)) {
	for name, s := range sites {
		for _, seed := range seeds {
			s.seed, s.old = seed, good
			f(name+", seed "+strconv.Itoa(int(seed)), s)
		}
	}
}

var _ = Describe("a simulated roll-out", func() {
	expectCompleted := func(name string, x result, s site) {
		GinkgoWriter.Println(name, x)
		Expect(x.state).To(Equal(catalog.RolloutCompleted), name)
		Expect(x.endedAt).To(BeNumerically("<=", s.duration), name)
	}

	// Guards against good versions that are rolled back or completed too late, and
	// against requests at old targets when these stop.
	It("completes a good version with a quarter of the time left", func() {
		eachSite(func(name string, s site) {
			s.fresh = good
			x := s.run()
			expectCompleted(name, x, s)
			Expect(x.endedAt).To(BeNumerically("<=", s.duration*85/100), name)
			Expect(x.oldAtEnd).To(Equal(0), name)
		})
	})

	// Guards against a good version that is blamed for targets of the old one, and
	// against one that is blamed for a single target.
	It("completes a good version while targets of the old one fail, and with one failing target", func() {
		eachSite(func(name string, s site) {
			s.old = func(r *rand.Rand, _ clock.Millis, _ string, target int, _ float64) reply {
				return reply{target%3 == 0, 1}
			}
			s.fresh = good
			expectCompleted(name, s.run(), s)
			s.old = good
			s.fresh = func(r *rand.Rand, _ clock.Millis, _ string, target int, _ float64) reply {
				return reply{target == 1, 1}
			}
			expectCompleted(name, s.run(), s)
		})
	})

	It("completes a good version although three hosts are cut off in the middle", func() {
		eachSite(func(name string, s site) {
			s.fresh, s.cut = good, 3
			expectCompleted(name, s.run(), s)
		})
	})

	It("completes a good version although the leader changes", func() {
		eachSite(func(name string, s site) {
			for _, part := range []clock.Millis{2, 5, 6, 7} {
				s.fresh, s.changeAt = good, s.duration*part/10/100*100
				expectCompleted(name, s.run(), s)
			}
		})
	})

	// Guards against exposure of callers to bad versions beyond the bounds, summed over
	// all hosts, and against versions whose fault goes unnoticed.
	DescribeTable("rolls a bad version back within its exposure",
		func(v version) {
			eachSite(func(name string, s site) {
				for _, change := range []clock.Millis{0, 3000} {
					s.fresh, s.changeAt = v, change
					x := s.run()
					GinkgoWriter.Println(name, x)
					Expect(x.state).To(Equal(catalog.RolloutRolledBack), name)
					Expect(x.endedAt).To(BeNumerically("<=", s.duration), name)
					Expect(float64(x.exposed)).To(BeNumerically("<=", 0.1*float64(x.requests)+50), name)
					if x.bad >= 50 {
						Expect(x.lastSentAt).To(BeNumerically("<=", x.badAt+5000), name)
					}
				}
			})
		},
		Entry("that fails at once", failing(always)),
		Entry("that fails from 3 s on", failing(from3s)),
		Entry("that fails under load only", failing(underLoad)),
		Entry("that fails on one route only", failing(onOneRoute)),
		Entry("that is slow at once", slow(always)),
		Entry("that is slow from 3 s on", slow(from3s)),
		Entry("that is slow under load only", slow(underLoad)),
		Entry("that is slow on one route only", slow(onOneRoute)),
	)
})
