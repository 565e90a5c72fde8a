package balance

import (
	"fmt"
	"math/rand"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/carawayrack/carawayrack/catalog"
	"github.com/carawayrack/carawayrack/clock"
)

// snapshot returns the whole state of a pool as text.
func snapshot(p *Pool) string {
	s := fmt.Sprintf("%+v", *p)
	for _, t := range p.order {
		s += fmt.Sprintf("\n%+v", *t)
	}
	return s
}

// randomPool returns a pool with targets in all kinds of states at a time.
func randomPool(r *rand.Rand, now clock.Millis) *Pool {
	p := &Pool{Zone: "a", Self: "h0", Service: catalog.Service{WarmUp: 2000, WarmUpRate: 3}}
	p.Run()
	var l []catalog.Target
	for i := range 12 {
		t := catalog.Target{ID: fmt.Sprint("t", i), Zone: []string{"a", "b"}[r.Intn(2)], Phase: catalog.Serving, Slots: 2, Born: 1}
		t.Version = []string{"v1", "v2"}[r.Intn(2)]
		if r.Intn(8) == 0 {
			t.Phase = catalog.Leaving
		}
		l = append(l, t)
	}
	if r.Intn(2) == 0 {
		p.SetRollout(catalog.Rollout{Service: "s", Version: "v2", Share: []float64{0.1, 0.6, 1}[r.Intn(3)], State: []catalog.RolloutState{catalog.RolloutRunning, catalog.RolloutRolledBack}[r.Intn(2)]})
	}
	p.SetTargets(now-5000, l, map[string]bool{})
	p.SetHosts([]string{"h0", "h1"})
	if r.Intn(2) == 0 {
		// Nothing is unserved: unused targets are not tried.
		p.SetPeerOutcomes(now-4000, "h1", Outcomes{Ended: 10}, now-2000)
	}
	for range 40 {
		at := now - clock.Millis(r.Intn(4000))
		c, ok := p.Pick(at, Request{Idempotent: r.Intn(2) == 0, Retryable: true})
		if ok && r.Intn(3) > 0 {
			p.Done(at, c.ID, Result{Outcome: Outcome(r.Intn(9)), Took: clock.Millis(r.Intn(900)), Load: Load{Known: true, Running: r.Intn(3)}, Cold: clock.Millis(r.Intn(2) * r.Intn(5000))})
		}
		if ok && r.Intn(6) == 0 {
			p.Heed(at, c.ID, 1, Notice{Pause: clock.Millis(r.Intn(3000))})
		}
		p.Merge(at, "h1", Observation{Key: Key(fmt.Sprint("t", r.Intn(12))), InFlight: uint8(r.Intn(4)), OKAge: never, FailAge: never})
	}
	return p
}

var _ = Describe("the explanation of a choice", func() {
	// Guards against an explanation that takes a slot or counts as a use of a target, or
	// that follows other rules than the choice itself.
	It("names the target that Pick chooses and an obstacle for each that it must not use, and changes nothing", func() {
		r := rand.New(rand.NewSource(5))
		chosen, obstacles := 0, map[Obstacle]bool{}
		for range 400 {
			const now = clock.Millis(100_000)
			p := randomPool(r, now)
			a := Request{Idempotent: r.Intn(2) == 0, Retryable: r.Intn(2) == 0, LargeBody: r.Intn(2) == 0, FreeSlotOnly: r.Intn(2) == 0, Avoid: []string{"t1"}, Sample: r.Float64(), Repeated: r.Intn(2) == 0}
			p.anyHealthy = r.Intn(2) == 0
			before := snapshot(p)
			l := p.Explain(now, a)
			Expect(snapshot(p)).To(Equal(before))
			Expect(l).To(HaveLen(12))
			want, ok := p.Pick(now, a)
			found := false
			for _, c := range l {
				obstacles[c.Against] = true
				sum := 0.0
				for _, x := range c.Parts {
					sum += x
				}
				Expect(sum).To(BeNumerically("~", c.Cost, 1e-9))
				if c.Chosen != "" {
					chosen++
					found = true
					Expect(c.Against).To(BeEmpty())
					Expect(c.ID).To(Equal(want.ID))
				}
			}
			Expect(found).To(Equal(ok))
		}
		Expect(chosen).To(BeNumerically(">", 100))
		for _, o := range []Obstacle{"", Leaving, Paused, Tried, Full, Unhealthy, Cold, OtherAddress, OtherVersion, RolledBack} {
			Expect(obstacles).To(HaveKey(o))
		}
	})
})
