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

// A seventh of the first deployment of docs/design/load-and-scale.md: hosts, targets of
// one service, requests and accounts in the same proportion.
const (
	admissionHosts, admissionTargets = 12, 16
	admissionSlots, admissionQueued  = 6, 24
	admissionAccounts, admissionRate = 10, 99
	admissionSlack                   = 9
	// The first largeAccounts accounts send burstFactor times their rate between burstFrom
	// and burstTo; they are large enough to exceed the slots of the targets.
	largeAccounts                        = 2
	largeAccountShare, smallAccountShare = 0.18, 0.08
	burstFactor                          = 6
	burstFrom, burstTo                   = 4 * clock.Second, 12 * clock.Second
	// Targets reject rejectShare of the requests between rejectFrom and rejectTo.
	rejectShare          = 0.55
	rejectFrom, rejectTo = 6 * clock.Second, 14500 * clock.Millis(1)
	admissionLength      = 20 * clock.Second
	callerRetries        = 3
	callerTime           = 10 * clock.Second
	networkTime          = 2 * clock.Millis(1)
	admissionSeeds       = 16
)

var admissionKinds = []struct {
	name            string
	priority        int
	share           float64
	work, objective clock.Millis
}{{"slot-booking", 0, 0.66, 460, 2000}, {"path-query", 1, 0.28, 610, 2000}, {"consist-upload", 2, 0.06, 560, 2500}}

// admissionTally counts requests of callers by their last response.
type admissionTally struct{ requested, inTime, late, refused int }

func (t *admissionTally) add(x admissionTally) {
	t.requested += x.requested
	t.inTime += x.inTime
	t.late += x.late
	t.refused += x.refused
}

func (t admissionTally) share(n int) float64 { return float64(n) / float64(max(t.requested, 1)) }

func (t admissionTally) String() string {
	return fmt.Sprintf("%d requests, in time %.4f, late %.4f, refused %.4f", t.requested, t.share(t.inTime), t.share(t.late), t.share(t.refused))
}

// callerRequest is a request of a caller with its retries.
type callerRequest struct {
	kind, account, tries int
	start                clock.Millis
}

// hostRequest is one try of a caller at a host.
type hostRequest struct {
	*callerRequest
	host, attempts            int
	arrived, triedAt, started clock.Millis
	pick                      *pendingPick
	target                    balance.Choice
}

// admissionSimulation simulates callers, hosts and targets of one service in steps of a
// millisecond, without a network.
type admissionSimulation struct {
	// arrivals and r are separate, so that the requests do not depend on the decisions
	// of the hosts.
	arrivals, r         *rand.Rand
	rejecting, bursting bool
	// guarantee is that of the queues.
	guarantee int
	now       clock.Millis
	hosts     []*fleetView
	index     map[string]int
	waiting   [admissionHosts][]*hostRequest
	running   [admissionTargets]int
	queued    [admissionTargets][]*hostRequest
	at        map[clock.Millis][]func()
	// tallies holds the sum, the kinds, then the accounts.
	tallies [1 + 3 + admissionAccounts]admissionTally
}

func newAdmissionSimulation(seed int64) *admissionSimulation {
	s := &admissionSimulation{arrivals: rand.New(rand.NewSource(seed)), r: rand.New(rand.NewSource(seed + 1000)), guarantee: lessUrgentGuarantee, index: map[string]int{}, at: map[clock.Millis][]func(){}}
	var fleet coordinator.Fleet
	for i := range admissionHosts {
		fleet.Hosts = append(fleet.Hosts, coordinator.Host{ID: fmt.Sprintf("h%02d", i), Zone: "z", Narrow: true})
	}
	x := catalog.New(nil)
	x.Config = &catalog.Config{Services: []catalog.Service{{Name: "s"}}}
	x.Config.Index()
	for t := range admissionTargets {
		id := fmt.Sprintf("t%02d", t)
		s.index[id] = t
		x.Targets[id] = catalog.Target{ID: id, Service: "s", Zone: "z", Phase: catalog.Serving, Slots: admissionSlots, Born: 1}
	}
	for i, h := range fleet.Hosts {
		v := &fleetView{zone: "z", self: h.ID, retry: RetryBudget{Ratio: 0.2, Slack: admissionSlack}, random: s.r.Intn, log: zap.NewNop()}
		v.run()
		v.setFleet(&fleet)
		v.setState(0, x)
		s.hosts, s.index[h.ID] = append(s.hosts, v), i
	}
	return s
}

func (s *admissionSimulation) after(d clock.Millis, f func()) {
	s.at[s.now+max(d, 1)] = append(s.at[s.now+max(d, 1)], f)
}

func (s *admissionSimulation) run() {
	for _, v := range s.hosts {
		v.queue("s").Guarantee = s.guarantee
	}
	for s.now = 1; s.now < admissionLength+callerTime; s.now++ {
		for _, f := range s.at[s.now] {
			f()
		}
		delete(s.at, s.now)
		for a := 0; a < admissionAccounts && s.now < admissionLength; a++ {
			s.arrive(a)
		}
		for h := range s.hosts {
			s.poll(h)
		}
		if s.now%batchDelay == 0 {
			s.exchange()
		}
		if s.now%digestInterval == 0 {
			s.exchangeDigests()
		}
	}
}

// arrive lets an account send a request at its rate.
func (s *admissionSimulation) arrive(account int) {
	p := smallAccountShare * admissionRate / 1000
	if account < largeAccounts {
		p = largeAccountShare * admissionRate / 1000
		if s.bursting && s.now >= burstFrom && s.now < burstTo {
			p *= burstFactor
		}
	}
	if s.arrivals.Float64() >= p {
		return
	}
	k, x := 0, s.arrivals.Float64()
	for x >= admissionKinds[k].share && k+1 < len(admissionKinds) {
		x -= admissionKinds[k].share
		k++
	}
	c := &callerRequest{kind: k, account: account, start: s.now}
	s.count(c, admissionTally{requested: 1})
	s.send(c)
}

func (s *admissionSimulation) count(c *callerRequest, x admissionTally) {
	for _, i := range []int{0, 1 + c.kind, 1 + len(admissionKinds) + c.account} {
		s.tallies[i].add(x)
	}
}

// send sends a request of a caller to one of the hosts.
func (s *admissionSimulation) send(c *callerRequest) {
	q := &hostRequest{callerRequest: c, host: s.r.Intn(admissionHosts), arrived: s.now}
	c.tries++
	s.hosts[q.host].countRequest("s")
	s.attempt(q, nil)
}

// attempt needs a target for a request; tried are the targets that rejected it.
func (s *admissionSimulation) attempt(q *hostRequest, tried []string) {
	k := admissionKinds[q.kind]
	spare := q.start + callerTime - s.now - queueWaitReserve*s.hosts[q.host].serviceLatency("s")
	q.pick = &pendingPick{
		service: "s",
		request: balance.Request{Idempotent: k.name == "path-query" && len(tried) == 0, Retryable: q.attempts == 0, LargeBody: k.name == "consist-upload", Avoid: tried, Repeated: len(tried) > 0},
		waiter:  admission.Waiter{Priority: k.priority, Since: q.arrived},
		start:   s.now, deadline: s.now + max(min(spare, k.objective*3/4), minQueueWait),
	}
	s.place(q, false)
}

// place does what Host.waitForTarget does, without waiting.
func (s *admissionSimulation) place(q *hostRequest, queued bool) {
	q.triedAt = s.now
	x, ok, over := s.hosts[q.host].tryPick(s.now, q.pick, queued)
	switch {
	case ok:
		q.attempts++
		q.target = x
		s.after(networkTime, func() { s.receive(q) })
	case over:
		s.refuse(q, retryAfterFull)
	default:
		s.waiting[q.host] = append(s.waiting[q.host], q)
	}
}

// poll lets the waiting requests of a host try again that were notified, or that last
// tried repickInterval ago.
func (s *admissionSimulation) poll(h int) {
	l := s.waiting[h]
	s.waiting[h] = nil
	for _, q := range l {
		woken := s.now-q.triedAt >= repickInterval
		select {
		case <-q.pick.waiter.Ready:
			woken = true
		default:
		}
		if woken {
			s.place(q, true)
		} else {
			s.waiting[h] = append(s.waiting[h], q)
		}
	}
}

// receive is the arrival of a request at a target.
func (s *admissionSimulation) receive(q *hostRequest) {
	t := s.index[q.target.ID]
	if s.rejecting && s.now >= rejectFrom && s.now < rejectTo && s.r.Float64() < rejectShare || len(s.queued[t]) >= admissionQueued {
		s.after(networkTime, func() { s.rejected(q) })
		return
	}
	q.started = s.now
	s.queued[t] = append(s.queued[t], q)
	s.startNext(t)
}

// rejected ends an attempt that was not run: the host makes another one if it has a
// retry left, and refuses the request otherwise.
func (s *admissionSimulation) rejected(q *hostRequest) {
	v := s.hosts[q.host]
	v.attemptDone(s.now, "s", q.target.ID, balance.Result{Outcome: balance.Shed, Took: 2 * networkTime})
	if q.attempts < 3 && v.takeRetry("s") {
		s.attempt(q, append(q.pick.request.Avoid, q.target.ID))
		return
	}
	s.refuse(q, retryAfterFull)
}

// startNext lets a target work on as many requests as it has slots.
func (s *admissionSimulation) startNext(t int) {
	for s.running[t] < admissionSlots && len(s.queued[t]) > 0 {
		q := s.queued[t][0]
		s.queued[t] = s.queued[t][1:]
		s.running[t]++
		work := clock.Millis(float64(admissionKinds[q.kind].work) * (0.5 + s.r.Float64()))
		s.after(work, func() {
			s.running[t]--
			s.startNext(t)
			l := balance.Load{Known: true, Running: s.running[t], Waiting: len(s.queued[t]), Slots: admissionSlots}
			s.after(networkTime, func() { s.served(q, l) })
		})
	}
}

func (s *admissionSimulation) served(q *hostRequest, l balance.Load) {
	s.hosts[q.host].attemptDone(s.now, "s", q.target.ID, balance.Result{Outcome: balance.Served, Took: s.now - q.started, Load: l})
	switch took := s.now - q.start; {
	case took <= admissionKinds[q.kind].objective:
		s.count(q.callerRequest, admissionTally{inTime: 1})
	case took <= callerTime:
		s.count(q.callerRequest, admissionTally{late: 1})
	default:
		s.count(q.callerRequest, admissionTally{refused: 1})
	}
}

// refuse refuses a request. The caller honours Retry-After up to a third of its time.
func (s *admissionSimulation) refuse(q *hostRequest, retryAfter clock.Millis) {
	c, left := q.callerRequest, q.start+callerTime-s.now
	if c.tries > callerRetries || left <= 0 {
		s.count(c, admissionTally{refused: 1})
		return
	}
	s.after(min(retryAfter, left/3), func() { s.send(c) })
}

func (s *admissionSimulation) exchange() {
	for _, v := range s.hosts {
		for to, l := range v.takeChanges(s.now) {
			s.hosts[s.index[to.ID]].merge(s.now, kindChanges, v.self, l)
		}
	}
}

func (s *admissionSimulation) exchangeDigests() {
	for _, v := range s.hosts {
		l := v.firstOwned(s.now)
		for _, w := range s.hosts {
			if w != v {
				w.merge(s.now, kindDigest, v.self, l)
			}
		}
	}
}

// admissionFigures holds the sum, the kinds, the large and the small accounts, and each
// account.
type admissionFigures struct {
	names   []string
	tallies []admissionTally
}

// runAdmission sums up the runs with all seeds and reports the figures.
func runAdmission(name string, set func(*admissionSimulation)) *admissionFigures {
	f := &admissionFigures{names: []string{"all"}}
	for _, k := range admissionKinds {
		f.names = append(f.names, k.name)
	}
	f.names = append(f.names, "large accounts", "small accounts")
	for a := range admissionAccounts {
		f.names = append(f.names, fmt.Sprint("account ", a))
	}
	f.tallies = make([]admissionTally, len(f.names))
	for seed := int64(1); seed <= admissionSeeds; seed++ {
		s := newAdmissionSimulation(seed)
		set(s)
		s.run()
		kinds := 1 + len(admissionKinds)
		for i, t := range s.tallies[:kinds] {
			f.tallies[i].add(t)
		}
		for a, t := range s.tallies[kinds:] {
			group := kinds
			if a >= largeAccounts {
				group++
			}
			f.tallies[group].add(t)
			f.tallies[kinds+2+a].add(t)
		}
	}
	for i, n := range f.names {
		AddReportEntry(name+": "+n, f.tallies[i].String())
	}
	return f
}

var _ = Describe("the hosts of a service that is short of room", func() {
	It("serve all requests in time without a burst and rejections", func() {
		f := runAdmission("calm", func(*admissionSimulation) {})
		Expect(f.tallies[0].inTime).To(Equal(f.tallies[0].requested))
	})

	It("account for each request of bursts and rejections", func() {
		for name, set := range admissionLoads {
			t := runAdmission(name, set).tallies[0]
			Expect(t.inTime+t.late+t.refused).To(Equal(t.requested), name)
		}
	})
})

// admissionLoads are the loads with which figures are compared.
var admissionLoads = map[string]func(*admissionSimulation){
	"burst":                func(s *admissionSimulation) { s.bursting = true },
	"rejections":           func(s *admissionSimulation) { s.rejecting = true },
	"burst and rejections": func(s *admissionSimulation) { s.bursting, s.rejecting = true, true },
}
