package edge

import (
	"fmt"
	"math/rand"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"github.com/carawayrack/carawayrack/admission"
	"github.com/carawayrack/carawayrack/balance"
	"github.com/carawayrack/carawayrack/catalog"
	"github.com/carawayrack/carawayrack/clock"
	"github.com/carawayrack/carawayrack/coordinator"
)

const (
	noticeHosts   = 40
	noticeTargets = 30
	noticeSlots   = 2
	noticeWork    = 100 * clock.Millis(1)
	noticeLimit   = 1000 * clock.Millis(1)
	// noticeDrain is the time after a host has got a response that says that its
	// target leaves, from which on no request of the host may reach the target.
	noticeDrain = 2000 * clock.Millis(1)
	// noticeGrace is the time after a response with Retry-After from which on no
	// request of the host may reach the target until the pause is over.
	noticeGrace = 500 * clock.Millis(1)
)

// noticeTarget is a target with a bounded queue.
type noticeTarget struct {
	id      string
	running int
	leaving bool
	// pause is the pause that the target asks for with each request that it turns
	// away, 0 for none.
	pause clock.Millis
	// told and pausedBy hold, by host, when the host got a response that says that
	// the target leaves, and the pause that it got last.
	told     map[int]clock.Millis
	pausedBy map[int]simulatedPause
}

type simulatedPause struct{ from, until clock.Millis }

// arrival is the end of a request at a target.
type arrival struct {
	host   int
	target *noticeTarget
	call   *noticeCall
	// shed is true if the target turns the request away.
	shed bool
}

// noticeCall is one request of a caller.
type noticeCall struct {
	pick     *pendingPick
	started  clock.Millis
	attempts int
}

// noticeSimulation simulates hosts that share targets, in steps of a millisecond and
// without a network. Heed tells whether the hosts heed what targets say.
type noticeSimulation struct {
	heed    bool
	r       *rand.Rand
	hosts   []*fleetView
	targets map[string]*noticeTarget
	waiting [][]*noticeCall
	ends    map[clock.Millis][]arrival

	requests, served, late, refused, again, against int
	// refusedAfter is the longest time that a refused request waited.
	refusedAfter clock.Millis
}

func newNoticeSimulation(seed int64, heed bool) *noticeSimulation {
	s := &noticeSimulation{heed: heed, r: rand.New(rand.NewSource(seed)), targets: map[string]*noticeTarget{}, ends: map[clock.Millis][]arrival{}}
	for k := range noticeTargets {
		id := fmt.Sprintf("t%02d", k)
		s.targets[id] = &noticeTarget{id: id, told: map[int]clock.Millis{}, pausedBy: map[int]simulatedPause{}}
	}
	var fleet coordinator.Fleet
	for h := range noticeHosts {
		fleet.Hosts = append(fleet.Hosts, coordinator.Host{ID: fmt.Sprintf("h%02d", h), Zone: "z", Narrow: true})
	}
	for h := range noticeHosts {
		v := &fleetView{zone: "z", self: fleet.Hosts[h].ID, retry: RetryBudget{Ratio: 0.2, Slack: 60}, random: s.r.Intn, log: zap.NewNop()}
		v.run()
		v.setFleet(&fleet)
		s.hosts = append(s.hosts, v)
		s.waiting = append(s.waiting, nil)
	}
	for h := range s.hosts {
		s.report(0, h, 0)
	}
	return s
}

// report gives a host the state that control processes have: the first n targets are
// leaving.
func (s *noticeSimulation) report(now clock.Millis, host, n int) {
	x := catalog.New(nil)
	x.Config = &catalog.Config{Services: []catalog.Service{{Name: "s"}}}
	x.Config.Index()
	for k := range noticeTargets {
		id := fmt.Sprintf("t%02d", k)
		t := catalog.Target{ID: id, Service: "s", Zone: "z", Phase: catalog.Serving, Slots: noticeSlots, Born: 1}
		if k < n {
			t.Phase = catalog.Leaving
		}
		x.Targets[id] = t
	}
	s.hosts[host].setState(now, x)
}

// step simulates one millisecond with the given number of new requests a second at
// all hosts together.
func (s *noticeSimulation) step(now clock.Millis, perSecond int) {
	for _, a := range s.ends[now] {
		s.end(now, a)
	}
	delete(s.ends, now)
	for n := perSecond; n > 0; n -= 1000 {
		if s.r.Intn(1000) < n {
			s.request(now, s.r.Intn(noticeHosts))
		}
	}
	for h, l := range s.waiting {
		s.waiting[h] = nil
		for _, c := range l {
			s.place(now, h, c, true)
		}
	}
}

// request is a new request at a host.
func (s *noticeSimulation) request(now clock.Millis, host int) {
	s.requests++
	s.hosts[host].countRequest("s")
	c := &noticeCall{started: now}
	s.place(now, host, c.queue(now), false)
}

// queue makes the call wait for a target from now on.
func (c *noticeCall) queue(now clock.Millis) *noticeCall {
	c.pick = &pendingPick{service: "s", waiter: admission.Waiter{Since: c.started}, start: now, deadline: now + noticeLimit*3/8}
	return c
}

func (s *noticeSimulation) place(now clock.Millis, host int, c *noticeCall, queued bool) {
	x, ok, over := s.hosts[host].tryPick(now, c.pick, queued)
	if !ok && !over {
		s.waiting[host] = append(s.waiting[host], c)
		return
	}
	if !ok {
		s.refuse(now, c)
		return
	}
	s.send(now, host, c, s.targets[x.ID])
}

func (s *noticeSimulation) refuse(now clock.Millis, c *noticeCall) {
	s.refused++
	if c.attempts == 0 {
		s.refusedAfter = max(s.refusedAfter, now-c.started)
	}
}

func (s *noticeSimulation) send(now clock.Millis, host int, c *noticeCall, t *noticeTarget) {
	c.attempts++
	if c.attempts > 1 {
		s.again++
	}
	if at, ok := t.told[host]; ok && now > at+noticeDrain {
		s.against++
	}
	if p, ok := t.pausedBy[host]; ok && now > p.from+noticeGrace && now < p.until {
		s.against++
	}
	a := arrival{host: host, target: t, call: c, shed: t.running >= noticeSlots+1}
	took := clock.Millis(2)
	if !a.shed {
		t.running++
		took = noticeWork
		if t.running > noticeSlots {
			took *= 2
		}
	}
	s.ends[now+took] = append(s.ends[now+took], a)
}

// end gives the host the response of a target.
func (s *noticeSimulation) end(now clock.Millis, a arrival) {
	v, t := s.hosts[a.host], a.target
	n := balance.Notice{Leaving: t.leaving}
	if t.leaving {
		if _, ok := t.told[a.host]; !ok {
			t.told[a.host] = now
		}
	}
	r := balance.Result{Outcome: balance.Served, Took: noticeWork}
	if a.shed {
		r = balance.Result{Outcome: balance.Shed, Took: 2}
		n.Pause = t.pause
		if t.pause > 0 {
			t.pausedBy[a.host] = simulatedPause{now, now + t.pause}
		}
	} else {
		t.running--
	}
	r.Load = balance.Load{Known: true, Running: min(t.running, noticeSlots), Waiting: max(t.running-noticeSlots, 0), Slots: noticeSlots}
	if s.heed && n != (balance.Notice{}) {
		v.heed(now, "s", t.id, 1, n)
	}
	v.attemptDone(now, "s", t.id, r)
	switch {
	case !a.shed && now-a.call.started <= noticeLimit:
		s.served++
	case !a.shed:
		s.late++
	case a.call.attempts < 2 && !(s.heed && v.closed(now, "s")) && v.takeRetry("s"):
		s.place(now, a.host, a.call.queue(now), false)
	default:
		s.refuse(now, a.call)
	}
}

func (s *noticeSimulation) String() string {
	return fmt.Sprintf("%d requests: %d served, %d late, %d refused (after %d ms at most), %d sent again, %d after a notice",
		s.requests, s.served, s.late, s.refused, s.refusedAfter, s.again, s.against)
}

var _ = Describe("40 hosts before 30 targets", func() {
	// A third of the targets leaves within a second while 200 requests wait. A quarter
	// of the hosts does not learn it from control processes.
	leave := func(heed bool) *noticeSimulation {
		s := newNoticeSimulation(7, heed)
		for now := clock.Millis(1); now < 12_000; now++ {
			perSecond := 240
			if now == 2000 {
				for range 200 {
					s.request(now, s.r.Intn(noticeHosts))
				}
			}
			if now >= 2000 && now < 3000 && now%100 == 0 {
				s.targets[fmt.Sprintf("t%02d", (now-2000)/100)].leaving = true
			}
			if now == 3500 {
				for h := range noticeHosts * 3 / 4 {
					s.report(now, h, 10)
				}
			}
			s.step(now, perSecond)
		}
		return s
	}

	It("send nothing to targets that have said that they leave", func() {
		without, with := leave(false), leave(true)
		GinkgoWriter.Println("not heeded:", without, "\nheeded:", with)
		Expect(without.against).To(BeNumerically(">", 0))
		Expect(with.against).To(BeZero())
		Expect(with.served).To(BeNumerically(">=", without.served*98/100))
	})

	// All targets ask for pauses of 0.5 to 5 s while 60 % more requests arrive than
	// they can serve.
	overload := func(heed bool) *noticeSimulation {
		s := newNoticeSimulation(9, heed)
		for k := range noticeTargets {
			s.targets[fmt.Sprintf("t%02d", k)].pause = clock.Millis(500 + 4500*k/(noticeTargets-1))
		}
		for now := clock.Millis(1); now < 20_000; now++ {
			s.step(now, 960)
		}
		return s
	}

	It("send nothing to targets that want a pause, and refuse at once what no target accepts", func() {
		without, with := overload(false), overload(true)
		GinkgoWriter.Println("not heeded:", without, "\nheeded:", with)
		Expect(without.against).To(BeNumerically(">", 0))
		Expect(with.against).To(BeZero())
		Expect(with.again).To(BeNumerically("<", without.again))
		Expect(with.refusedAfter).To(BeNumerically("<=", noticeLimit*3/8+repickInterval))
	})
})
