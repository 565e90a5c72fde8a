package edge

import (
	"math/rand"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"github.com/carawayrack/carawayrack/admission"
	"github.com/carawayrack/carawayrack/balance"
	"github.com/carawayrack/carawayrack/catalog"
	"github.com/carawayrack/carawayrack/clock"
)

const (
	loadTargets   = 4
	loadSlots     = 2
	loadWork      = 100 * clock.Millis(1)
	loadObjective = 400 * clock.Millis(1)
)

// loadSimulation simulates requests of two priorities against a service in
// steps of a millisecond, without a network.
type loadSimulation struct {
	view    *fleetView
	r       *rand.Rand
	waiting map[*pendingPick]clock.Millis
	running map[clock.Millis][]string
	// requested, served and late are counts by priority; refusedAfter holds
	// how long refused requests waited.
	requested, served, late [3]int
	refusedAfter            []clock.Millis
}

func newLoadSimulation(seed int64) *loadSimulation {
	v := &fleetView{zone: "z", retry: RetryBudget{Ratio: 0.2, Slack: 60}, random: func(int) int { return 0 }, log: zap.NewNop()}
	v.run()
	s := catalog.New(nil)
	s.Config = &catalog.Config{Services: []catalog.Service{{Name: "s"}}}
	s.Config.Index()
	for _, id := range []string{"t1", "t2", "t3", "t4"}[:loadTargets] {
		s.Targets[id] = catalog.Target{ID: id, Service: "s", Zone: "z", Phase: catalog.Serving, Slots: loadSlots, Born: 1}
	}
	v.setState(0, s)
	return &loadSimulation{view: v, r: rand.New(rand.NewSource(seed)), waiting: map[*pendingPick]clock.Millis{}, running: map[clock.Millis][]string{}}
}

// step simulates one millisecond. perSecond is the rate of new requests.
func (l *loadSimulation) step(now clock.Millis, perSecond int) {
	for _, id := range l.running[now] {
		l.view.attemptDone(now, "s", id, balance.Result{Outcome: balance.Served, Took: loadWork})
	}
	delete(l.running, now)
	if l.r.Intn(1000) < perSecond {
		p := &pendingPick{service: "s", waiter: admission.Waiter{Priority: 1 + l.r.Intn(2), Since: now}, start: now, deadline: now + loadObjective*3/4}
		l.requested[p.waiter.Priority]++
		l.tryPick(now, p, false)
	}
	for p := range l.waiting {
		l.tryPick(now, p, true)
	}
}

func (l *loadSimulation) tryPick(now clock.Millis, p *pendingPick, queued bool) {
	c, ok, over := l.view.tryPick(now, p, queued)
	k := p.waiter.Priority
	switch {
	case ok:
		delete(l.waiting, p)
		// A request that waits at the target runs after those before it.
		end := now + loadWork*clock.Millis(1+max(0, c.InFlight+1-loadSlots)/loadSlots)
		l.running[end] = append(l.running[end], c.ID)
		l.served[k]++
		if end-p.start > loadObjective {
			l.late[k]++
		}
	case over:
		delete(l.waiting, p)
		l.refusedAfter = append(l.refusedAfter, now-p.start)
	default:
		l.waiting[p] = now
	}
}

var _ = Describe("a service that is overloaded", func() {
	It("serves a larger share of the urgent requests and refuses most of the rest early during a long overload", func() {
		for seed := int64(1); seed <= 3; seed++ {
			l := newLoadSimulation(seed)
			// The service can serve 80 requests a second.
			for now := clock.Millis(1); now < 20_000; now++ {
				l.step(now, 160)
			}
			urgent := float64(l.served[1]) / float64(l.requested[1])
			other := float64(l.served[2]) / float64(l.requested[2])
			Expect(urgent).To(BeNumerically(">", other), "seed %d", seed)
			Expect(l.served[1]+l.served[2]).To(BeNumerically(">", 80*20*8/10), "seed %d", seed)
			soon := 0
			for _, w := range l.refusedAfter {
				Expect(w).To(BeNumerically("<=", loadObjective*3/4), "seed %d", seed)
				if w <= standingQueueWait+1 {
					soon++
				}
			}
			Expect(2*soon).To(BeNumerically(">", len(l.refusedAfter)), "seed %d", seed)
		}
	})

	It("serves all requests of short bursts within the objective", func() {
		for seed := int64(1); seed <= 3; seed++ {
			l := newLoadSimulation(seed)
			for now := clock.Millis(1); now < 10_000; now++ {
				rate := 40
				if now%2000 < 200 {
					rate = 140
				}
				l.step(now, rate)
			}
			Expect(l.refusedAfter).To(BeEmpty(), "seed %d", seed)
			Expect(l.late).To(Equal([3]int{}), "seed %d", seed)
		}
	})
})
