package balance

import (
	"fmt"
	"math/rand"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/carawayrack/carawayrack/catalog"
	"github.com/carawayrack/carawayrack/clock"
)

const testSlots = 3

// newPool returns a pool of targets. The first letter of a target's ID is its
// zone.
func newPool(zone string, ids ...string) *Pool {
	p := &Pool{Zone: zone, Self: "h1", Service: catalog.Service{WarmUp: 3000, WarmUpRate: 6}}
	p.Run()
	p.SetHosts([]string{"h1"})
	p.SetTargets(0, testTargets(ids...), nil)
	return p
}

func testTargets(ids ...string) []catalog.Target {
	var l []catalog.Target
	for _, id := range ids {
		l = append(l, catalog.Target{ID: id, Zone: id[:1], Addr: id + ":1", Phase: catalog.Serving, Slots: testSlots, Born: 1})
	}
	return l
}

// run picks a target for one request, records its outcome and returns the
// target's ID.
func run(p *Pool, now clock.Millis, a Request, o Outcome, took clock.Millis) string {
	c, ok := p.Pick(now, a)
	Expect(ok).To(BeTrue())
	p.Done(now+took, c.ID, Result{Outcome: o, Took: took})
	return c.ID
}

// succeed records a successful request at each of the targets.
func succeed(p *Pool, now clock.Millis, ids ...string) {
	for _, id := range ids {
		p.targets[id].inFlight++
		p.Done(now+1, id, Result{Outcome: Served, Took: 1})
	}
}

var (
	unsafe     = Request{}
	idempotent = Request{Idempotent: true, Retryable: true}
)

var _ = Describe("Pool", func() {
	It("sends a request that is not idempotent to the target with the latest success", func() {
		p := newPool("a", "a1", "a2", "a3")
		succeed(p, 100, "a1")
		succeed(p, 900, "a2")
		succeed(p, 500, "a3")
		c, ok := p.Pick(1000, unsafe)
		Expect(ok).To(BeTrue())
		Expect(c.ID).To(Equal("a2"))
	})

	// Guards against memory that grows with each request to a warm target.
	It("remembers the requests of the last second and the last one before", func() {
		p := newPool("a", "a1")
		for now := clock.Millis(0); now < 100_000; now += 10 {
			c, ok := p.Pick(now, unsafe)
			Expect(ok).To(BeTrue())
			p.Done(now+1, c.ID, Result{Outcome: Served, Took: 1})
		}
		t := p.targets["a1"]
		Expect(len(t.starts)).To(BeNumerically("<=", 102))
		Expect(t.startedLastSecond(99_990)).To(Equal(100))
		Expect(t.startedLastSecond(100_500)).To(Equal(49))
		Expect(t.startedLastSecond(200_000)).To(BeZero())
		// A request that is still in flight counts as accepted, however old.
		c, _ := p.Pick(200_000, unsafe)
		Expect(c.ID).To(Equal("a1"))
		Expect(t.lastAcceptedAt(250_000)).To(Equal(clock.Millis(200_000)))
	})

	It("sends an idempotent request to the target with the oldest observation", func() {
		p := newPool("a", "a1", "a2", "a3")
		succeed(p, 500, "a1", "a3")
		succeed(p, 100, "a2")
		c, _ := p.Pick(1000, idempotent)
		Expect(c.ID).To(Equal("a2"))
	})

	It("does not probe with a request that cannot be sent again", func() {
		p := newPool("a", "a1", "a2")
		succeed(p, 500, "a1")
		c, _ := p.Pick(600, Request{Idempotent: true})
		Expect(c.ID).To(Equal("a1"))
	})

	It("sends no request that is not idempotent to a target whose connection broke while another is healthy", func() {
		p := newPool("a", "a1", "a2")
		succeed(p, 10, "a2")
		succeed(p, 20, "a1")
		Expect(run(p, 30, unsafe, Broken, 1)).To(Equal("a1"))
		for i := 0; i < 3; i++ {
			c, ok := p.Pick(40, unsafe)
			Expect(ok).To(BeTrue())
			Expect(c.ID).To(Equal("a2"))
		}
	})

	It("does not clear a failure by a success of a request that was sent before it", func() {
		p := newPool("a", "a1", "a2")
		succeed(p, 1, "a1", "a2")
		c, _ := p.Pick(100, unsafe)
		x := c.ID
		p.targets[x].inFlight++
		p.Done(150, x, Result{Outcome: Broken, Took: 1})
		p.Done(200, x, Result{Outcome: Served, Took: 100})
		Expect(p.targets[x].successesNeeded).To(Equal(maxSuccessesNeeded))
	})

	It("makes a target healthy after as many successes as it needs", func() {
		p := newPool("a", "a1", "a2")
		succeed(p, 1, "a1", "a2")
		p.targets["a1"].inFlight++
		p.Done(10, "a1", Result{Outcome: Broken, Took: 1})
		now := clock.Millis(10)
		n := 0
		for p.targets["a1"].successesNeeded > 0 && n < 50 {
			now += maxProbePause
			succeed(p, now, "a2")
			if run(p, now+2, idempotent, Served, 1) == "a1" {
				n++
			}
		}
		Expect(n).To(Equal(maxSuccessesNeeded))
	})

	It("probes an unhealthy target with one request at a time", func() {
		p := newPool("a", "a1", "a2")
		succeed(p, 1, "a1", "a2")
		p.targets["a1"].inFlight++
		p.Done(10, "a1", Result{Outcome: Broken, Took: 1})
		to := map[string]int{}
		for i := 0; i < 4; i++ {
			c, ok := p.Pick(10+maxProbePause, idempotent)
			if ok {
				to[c.ID]++
			}
		}
		Expect(to["a1"]).To(Equal(1))
	})

	It("refuses a request that is not idempotent instead of sending it to an unhealthy target while another is healthy", func() {
		p := newPool("a", "a1", "a2")
		succeed(p, 1, "a1", "a2")
		p.targets["a1"].inFlight++
		p.Done(10, "a1", Result{Outcome: Broken, Took: 1})
		for i := 0; i < testSlots+maxQueuedAtTarget; i++ {
			_, ok := p.Pick(11, unsafe)
			Expect(ok).To(BeTrue())
		}
		_, ok := p.Pick(11, unsafe)
		Expect(ok).To(BeFalse())
	})

	It("tries unhealthy targets while none is healthy", func() {
		p := newPool("a", "a1", "a2")
		for _, id := range []string{"a1", "a2"} {
			p.targets[id].inFlight++
			p.Done(10, id, Result{Outcome: Broken, Took: 1})
		}
		_, ok := p.Pick(11, unsafe)
		Expect(ok).To(BeTrue())
	})

	It("uses other zones only when the local zone has no free slots", func() {
		p := newPool("a", "a1", "b1")
		succeed(p, 1, "a1", "b1")
		zones := ""
		for i := 0; i < 2*(testSlots+maxQueuedAtTarget); i++ {
			c, ok := p.Pick(2, unsafe)
			Expect(ok).To(BeTrue())
			zones += c.Zone
		}
		Expect(zones[:testSlots]).To(Equal("aaa"))
		Expect(zones).To(ContainSubstring("b"))
	})

	It("sends nothing to an evacuated zone, a leaving target or a misdirected one", func() {
		p := newPool("a", "a1", "b1", "b2", "b3")
		succeed(p, 1, "a1", "b1", "b2", "b3")
		l := testTargets("a1", "b1", "b2", "b3")
		l[1].Phase = catalog.Leaving
		p.SetTargets(2, l, map[string]bool{"a": true})
		p.targets["b2"].inFlight++
		p.Done(3, "b2", Result{Outcome: Misdirected})
		for i := 0; i < 3; i++ {
			Expect(run(p, clock.Millis(4+i), unsafe, Served, 1)).To(Equal("b3"))
		}
	})

	It("sends a cold target of its zone no more than its part of the warm-up rate, and one of another zone nothing", func() {
		p := newPool("a", "a1")
		p.SetHosts([]string{"h1", "h2", "h3"})
		l := testTargets("a1", "b1")
		l[0].Born, l[0].Cold = 2, 3000
		l[1].Born, l[1].Cold = 2, 3000
		p.SetTargets(0, l, nil)
		n := 0
		for now := clock.Millis(0); now < 1000; now += 10 {
			if c, ok := p.Pick(now, unsafe); ok {
				Expect(c.ID).To(Equal("a1"))
				p.Done(now+1, c.ID, Result{Outcome: Served, Took: 1})
				n++
			}
		}
		Expect(n).To(Equal(2))
	})

	It("treats the targets of a zone as cold after its evacuation", func() {
		p := newPool("a", "a1")
		p.SetTargets(10, testTargets("a1"), map[string]bool{"a": true})
		p.SetTargets(20, testTargets("a1"), nil)
		Expect(p.targets["a1"].cold(20)).To(BeTrue())
		Expect(p.targets["a1"].cold(20 + 3000)).To(BeFalse())
	})

	It("spreads the first requests of several hosts over the targets while there are no observations", func() {
		first := map[string]bool{}
		for _, h := range []string{"h1", "h2", "h3", "h4", "h5", "h6"} {
			p := newPool("a")
			p.Self = h
			p.SetTargets(0, testTargets("a1", "a2", "a3", "a4", "a5", "a6", "a7", "a8"), nil)
			c, ok := p.Pick(1, unsafe)
			Expect(ok).To(BeTrue())
			first[c.ID] = true
		}
		Expect(len(first)).To(BeNumerically(">=", 3))
	})

	It("treats a target as cold after the first success that follows a refused connection", func() {
		p := newPool("a", "a1")
		run(p, 10, unsafe, Unreached, 1)
		run(p, 2000, unsafe, Served, 1)
		Expect(p.targets["a1"].cold(2100)).To(BeTrue())
	})

	It("prefers the faster target when the other is several times slower", func() {
		p := newPool("a", "a1", "a2")
		for i := clock.Millis(1); i < 20; i++ {
			p.targets["a1"].inFlight++
			p.Done(i*100, "a1", Result{Outcome: Served, Took: 20})
			p.targets["a2"].inFlight++
			p.Done(i*100, "a2", Result{Outcome: Served, Took: 400})
		}
		p.targets["a2"].okAt = p.targets["a1"].okAt
		c, _ := p.Pick(2000, unsafe)
		Expect(c.ID).To(Equal("a1"))
	})

	It("reports each health change once, with its cause", func() {
		p := newPool("a", "a1", "a2")
		var l []HealthChange
		p.OnHealthChange = func(_ clock.Millis, b HealthChange) { l = append(l, b) }
		succeed(p, 1, "a1", "a2")
		p.targets["a1"].inFlight += 2
		p.Done(10, "a1", Result{Outcome: Broken, Took: 1})
		p.Done(11, "a1", Result{Outcome: Broken, Took: 1})
		Expect(l).To(HaveLen(1))
		Expect(l[0].Target).To(Equal("a1"))
		Expect(l[0].Healthy).To(BeFalse())
		Expect(l[0].Cause).To(Equal(Broken))
	})
})

// grayFailures simulates targets that fail most of their requests for some time
// and work normally in between.
type grayFailures struct {
	r *rand.Rand
	// failsFrom and worksFrom hold when each target starts to fail and stops.
	failsFrom map[string]clock.Millis
	worksFrom map[string]clock.Millis
}

const (
	failingSpan = 1500
	healthySpan = 4500
	failingRate = 0.85
	requestWork = 120
)

// failing reports whether a target is failing now.
func (s *grayFailures) failing(now clock.Millis, id string) bool {
	if now >= s.worksFrom[id] {
		s.failsFrom[id] = now + clock.Millis(s.r.Intn(2*healthySpan))
		s.worksFrom[id] = s.failsFrom[id] + clock.Millis(s.r.Intn(2*failingSpan))
	}
	return now >= s.failsFrom[id]
}

type pendingRequest struct {
	at     clock.Millis
	id     string
	result Result
	unsafe bool
}

// lossRate simulates 60 s and returns the fraction of failed requests among
// those that are not idempotent. If blind is true, targets are chosen at random.
func lossRate(seed int64, blind bool) float64 {
	s := &grayFailures{r: rand.New(rand.NewSource(seed)), failsFrom: map[string]clock.Millis{}, worksFrom: map[string]clock.Millis{}}
	p := newPool("a", "a1", "a2", "a3", "a4", "a5", "a6", "a7")
	var pending []pendingRequest
	all, failed := 0, 0
	for now := clock.Millis(1); now < 60_000; now++ {
		rest := pending[:0]
		for _, f := range pending {
			if f.at > now {
				rest = append(rest, f)
				continue
			}
			p.Done(now, f.id, f.result)
			if f.unsafe && f.result.Outcome == Broken {
				failed++
			}
		}
		pending = rest
		if s.r.Intn(1000) >= 30 {
			continue
		}
		a := Request{Idempotent: s.r.Intn(3) == 0}
		a.Retryable = a.Idempotent
		c, ok := p.Pick(now, a)
		if !ok {
			continue
		}
		if blind {
			p.targets[c.ID].inFlight--
			c.ID = fmt.Sprintf("a%d", 1+s.r.Intn(7))
			p.targets[c.ID].inFlight++
		}
		f := pendingRequest{at: now + requestWork, id: c.ID, unsafe: !a.Idempotent, result: Result{Outcome: Served, Took: requestWork}}
		if s.failing(now, c.ID) && s.r.Float64() < failingRate {
			f.at, f.result = now+2, Result{Outcome: Broken, Took: 2}
		}
		if f.unsafe {
			all++
		}
		pending = append(pending, f)
	}
	return float64(failed) / float64(all)
}

var _ = Describe("targets that fail for short times again and again", func() {
	It("lose less than a quarter of the requests that a random choice loses", func() {
		for seed := int64(1); seed <= 5; seed++ {
			Expect(lossRate(seed, false)).To(BeNumerically("<", lossRate(seed, true)/4), "seed %d", seed)
		}
	})
})

// Guards against ages in log lines that are counted from time 0 because nothing is known.
var _ = It("has no age of an event that has not happened", func() {
	p := newPool("a", "a1")
	var l []HealthChange
	p.OnHealthChange = func(_ clock.Millis, c HealthChange) { l = append(l, c) }
	c, ok := p.Pick(5000, unsafe)
	Expect(ok).To(BeTrue())
	Expect(c.SinceAccepted).To(Equal(clock.Millis(-1)))
	p.Done(5010, c.ID, Result{Outcome: Broken})
	Expect(l).To(HaveLen(1))
	Expect(l[0].SincePrevious).To(Equal(clock.Millis(-1)))
})
