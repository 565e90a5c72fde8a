package slots

import (
	"flag"
	"fmt"
	"math/rand"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/carawayrack/carawayrack/clock"
	"github.com/carawayrack/carawayrack/config"
	"github.com/carawayrack/carawayrack/journal"
)

var (
	seed  = flag.Int64("slots.seed", 1, "first seed of the random runs")
	runs  = flag.Int("slots.runs", 60, "number of random runs")
	steps = flag.Int("slots.steps", 20_000, "milliseconds of each random run")
)

const (
	testLapse   = 600
	testHosts   = 5
	testTargets = 8
)

// running is a request that runs on a target.
type running struct {
	grant        Grant
	host         string
	since        clock.Millis
	endAt        clock.Millis
	contactUntil clock.Millis
	deadline     clock.Millis
	cancel       bool
}

// fakeTarget is a simulated target.
type fakeTarget struct {
	ann Announcement
	// announced is the state that was announced last.
	announced State
	failing   bool
	slow      clock.Millis
	coldUntil clock.Millis
}

// simulation simulates two members of the group of one service, one of which is
// the leaseholder, hosts that lose contact, and targets.
type simulation struct {
	r                *rand.Rand
	now              clock.Millis
	pools            [2]*Pool
	leaseholderIndex int
	term             uint64
	targets          []*fakeTarget
	requests         []*running
	reportedTerm     map[string]uint64
	unreachableUntil map[string]clock.Millis
	deliveries       []delivery
	ticket           uint64
	evacuatedZones   map[string]bool
	granted          int
	ejected          int
	elected          int
}

// delivery is a result in a message to a host.
type delivery struct {
	at          clock.Millis
	result      Result
	term        uint64
	requestedAt clock.Millis
}

func newSimulation(seed int64) *simulation {
	w := &simulation{r: rand.New(rand.NewSource(seed)), reportedTerm: map[string]uint64{}, unreachableUntil: map[string]clock.Millis{}, evacuatedZones: map[string]bool{}, now: 1000}
	for i := range w.pools {
		w.pools[i] = w.pool()
	}
	for i := 0; i < testTargets; i++ {
		w.targets = append(w.targets, &fakeTarget{ann: Announcement{
			Service: "s", Target: fmt.Sprintf("t%d", i), Addr: "127.0.0.1:1", Zone: fmt.Sprintf("z%d", i%4),
			Incarnation: "1", Slots: 2 + i%2, ColdSlots: 1, State: Cold,
		}, coldUntil: 2000})
	}
	w.electLeaseholder()
	return w
}

func (w *simulation) pool() *Pool {
	p := &Pool{
		Service:   config.Service{Name: "s", FloorPercent: 50}.WithDefaults(),
		HostLapse: testLapse * 6 / 5,
		Journal: func(e journal.Event) {
			if e.Kind == journal.TargetEjected {
				w.ejected++
			}
		},
		Violated: func(invariant, detail string) { Fail(invariant + ": " + detail) },
	}
	p.Run()
	return p
}

func (w *simulation) leaseholder() *Pool { return w.pools[w.leaseholderIndex] }

func hostName(i int) string { return fmt.Sprintf("h%d", i) }

// electLeaseholder replaces the leaseholder. Reachable hosts report at once; the
// others cancel their requests after being out of contact for too long.
func (w *simulation) electLeaseholder() {
	w.elected++
	w.leaseholder().StepDown()
	w.leaseholderIndex = 1 - w.leaseholderIndex
	if w.r.Intn(4) == 0 {
		// This member has restarted and has lost its state.
		w.pools[w.leaseholderIndex] = w.pool()
	}
	w.term++
	p := w.leaseholder()
	p.SetEvacuatedZones(w.now, w.evacuatedZones)
	var hosts []string
	for i := 0; i < testHosts; i++ {
		hosts = append(hosts, hostName(i))
	}
	p.Lead(w.now, w.term, hosts)
	w.report()
}

// report lets reachable hosts report their grants to a new leaseholder.
func (w *simulation) report() {
	for i := 0; i < testHosts; i++ {
		h := hostName(i)
		if w.reportedTerm[h] == w.term || w.unreachableUntil[h] > w.now {
			continue
		}
		w.reportedTerm[h] = w.term
		var l []Holding
		for _, q := range w.requests {
			if q.host == h && !q.cancel {
				q.contactUntil = w.now + testLapse
				l = append(l, Holding{Grant: q.grant, Account: "a", Age: w.now - q.since, Left: q.deadline - w.now})
			}
		}
		w.leaseholder().Restore(w.now, h, "1", l)
	}
}

func (w *simulation) step() {
	w.now++
	w.injectFault()
	w.report()
	w.announce()
	w.acquire()
	w.leaseholder().Tick(w.now)
	w.takeResults()
	w.deliver()
	w.endRequests()
	w.checkLimits()
	if w.r.Intn(100) == 0 && w.pools[1-w.leaseholderIndex].term == 0 {
		w.pools[1-w.leaseholderIndex].ApplySnapshot(w.now, w.leaseholder().Snapshot(w.now))
	}
}

func (w *simulation) injectFault() {
	t := w.targets[w.r.Intn(len(w.targets))]
	switch w.r.Intn(2500) {
	case 0:
		w.electLeaseholder()
	case 1:
		h := hostName(w.r.Intn(testHosts))
		w.unreachableUntil[h] = w.now + clock.Millis(w.r.Intn(3*testLapse))
	case 2:
		t.failing = !t.failing
	case 3:
		t.slow = clock.Millis(w.r.Intn(2) * 150)
	case 4:
		w.restart(t)
	case 5:
		z := fmt.Sprintf("z%d", w.r.Intn(4))
		m := map[string]bool{}
		if len(w.evacuatedZones) == 0 {
			m[z] = true
		}
		w.evacuatedZones = m
		w.leaseholder().SetEvacuatedZones(w.now, m)
	case 6:
		t.ann.State = Leaving
	case 7:
		t.coldUntil = w.now + 500
		t.ann.State = Cold
	}
}

// restart replaces the process of a target. Requests on the old one end as cut.
func (w *simulation) restart(t *fakeTarget) {
	t.ann.Incarnation += "x"
	t.ann.State = Cold
	t.coldUntil = w.now + 800
	rest := w.requests[:0]
	for _, q := range w.requests {
		if q.grant.Target != t.ann.Target {
			rest = append(rest, q)
			continue
		}
		w.release(q, Cut, 0)
	}
	w.requests = rest
}

func (w *simulation) announce() {
	for i, t := range w.targets {
		if t.ann.State == Cold && w.now >= t.coldUntil {
			t.ann.State = Ready
		}
		if w.now%50 == clock.Millis(i) || t.announced != t.ann.State {
			t.announced = t.ann.State
			for _, p := range w.pools {
				p.Announce(w.now, t.ann)
			}
		}
	}
}

func (w *simulation) acquire() {
	if w.r.Intn(3) > 0 {
		return
	}
	h := hostName(w.r.Intn(testHosts))
	w.ticket++
	w.leaseholder().Acquire(w.now, Request{
		Ticket: w.ticket, Service: "s", Account: fmt.Sprintf("a%d", w.r.Intn(3)), Host: h, Incarnation: "1",
		Wait: 100, Deadline: 1500, Idempotent: w.r.Intn(2) == 0,
	})
}

// takeResults takes the leaseholder's results; some arrive late, some never.
func (w *simulation) takeResults() {
	for _, x := range w.leaseholder().TakeResults() {
		if x.Grant == nil || w.r.Intn(50) == 0 {
			continue
		}
		d := 1 + w.r.Intn(3)
		if w.r.Intn(30) == 0 {
			d = w.r.Intn(2 * testLapse)
		}
		w.deliveries = append(w.deliveries, delivery{w.now + clock.Millis(d), x, w.term, w.now - 2})
	}
}

func (w *simulation) deliver() {
	rest := w.deliveries[:0]
	for _, x := range w.deliveries {
		if x.at > w.now {
			rest = append(rest, x)
			continue
		}
		g := *x.result.Grant
		if g.ID.Term < w.reportedTerm[x.result.Host] || w.now >= x.requestedAt+testLapse {
			continue
		}
		w.granted++
		t := w.targets[g.Target[1]-'0']
		// The process for which the slot was granted no longer runs.
		if t.ann.Incarnation != g.Incarnation {
			continue
		}
		w.requests = append(w.requests, &running{
			grant: g, host: x.result.Host, since: w.now, contactUntil: x.requestedAt + testLapse, deadline: x.requestedAt + g.Deadline,
			endAt: w.now + 5 + clock.Millis(w.r.Intn(30)) + t.slow,
		})
	}
	w.deliveries = rest
}

// endRequests ends requests that are done, past their deadline, or on hosts out of
// contact for too long. It extends the time of requests on reachable hosts.
func (w *simulation) endRequests() {
	rest := w.requests[:0]
	for _, q := range w.requests {
		if w.unreachableUntil[q.host] <= w.now && w.reportedTerm[q.host] == w.term {
			q.contactUntil = w.now + testLapse
		}
		t := w.targets[q.grant.Target[1]-'0']
		switch {
		case w.now >= q.endAt:
			o := OK
			if t.failing {
				o = Failed
			}
			w.release(q, o, w.now-q.since)
		case w.now >= q.contactUntil, w.now >= q.deadline:
			w.release(q, Cancelled, 0)
		default:
			rest = append(rest, q)
		}
	}
	w.requests = rest
}

func (w *simulation) release(q *running, o Outcome, d clock.Millis) {
	if w.unreachableUntil[q.host] > w.now || w.r.Intn(60) == 0 {
		return
	}
	w.leaseholder().Release(w.now, Release{ID: q.grant.ID, Service: "s", Target: q.grant.Target, Host: q.host, Outcome: o, FirstByte: d})
}

// checkLimits asserts that no target runs more requests than it has slots.
func (w *simulation) checkLimits() {
	n := map[string]int{}
	for _, q := range w.requests {
		n[q.grant.Target]++
	}
	for _, t := range w.targets {
		if k := n[t.ann.Target]; k > t.ann.Slots {
			Fail(fmt.Sprintf("%s runs %d requests of %d at %d", t.ann.Target, k, t.ann.Slots, w.now))
		}
	}
}

var _ = Describe("Pool", func() {
	It("never runs more requests on a target than it has slots, also across changes of leaseholder", func() {
		granted, ejected, elected := 0, 0, 0
		for k := 0; k < *runs; k++ {
			s := *seed + int64(k)
			By(fmt.Sprintf("seed %d", s))
			w := newSimulation(s)
			for i := 0; i < *steps; i++ {
				w.step()
			}
			granted += w.granted
			ejected += w.ejected
			elected += w.elected
		}
		Expect(granted).To(BeNumerically(">", *runs*1000))
		Expect(ejected).To(BeNumerically(">", *runs/4))
		Expect(elected).To(BeNumerically(">", *runs))
	})
})
