package rollout_test

import (
	"fmt"
	"math/rand"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/carawayrack/carawayrack/balance"
	"github.com/carawayrack/carawayrack/catalog"
	"github.com/carawayrack/carawayrack/clock"
	"github.com/carawayrack/carawayrack/rollout"
)

// fleet simulates hosts that choose targets with balance.Pool, targets that queue
// requests beyond their slots, and the leader.
type fleet struct {
	hosts, targets, slots int
	rates                 []float64
	work                  []clock.Millis
	duration, cold        clock.Millis
	// fault, if set, reports whether a request that is sent at a time may meet the
	// fault of the new version, when so many run at its target. 47 % of these fail, or
	// take four times as long if slow is true.
	fault func(at clock.Millis, running int) bool
	slow  bool

	r       *rand.Rand
	pools   []*balance.Pool
	record  []rollout.Recorder
	server  map[string]*queueServer
	ends    map[clock.Millis][]*request
	waiting []*request
	state   *catalog.State
}

// queueServer is a target with its requests.
type queueServer struct {
	running int
	queue   []*request
}

type request struct {
	host    int
	route   string
	work    clock.Millis
	choice  balance.Choice
	counted rollout.Attempt
	sent    clock.Millis
	ask     balance.Request
	failed  bool
}

// typicalLoad returns the number of requests that run at a target with the whole
// traffic, rounded down.
func (f *fleet) typicalLoad() int {
	n := 0.0
	for k, rate := range f.rates {
		n += rate * float64(f.work[k]) / 1000
	}
	return max(int(n/float64(f.targets)), 1)
}

func (f *fleet) setTargets(now clock.Millis, host int) {
	var l []catalog.Target
	for _, t := range f.state.Targets {
		l = append(l, t)
	}
	f.pools[host].SetRollout(f.state.Rollouts["s"])
	f.pools[host].SetTargets(now, l, nil)
	f.record[host].SetRollout(f.state.Rollouts["s"])
}

// start sends a request to a target, which runs or queues it.
func (f *fleet) start(now clock.Millis, q *request) bool {
	c, ok := f.pools[q.host].Pick(now, q.ask)
	if !ok {
		return false
	}
	q.choice, q.sent = c, now
	q.counted = f.record[q.host].Begin(now, "s", q.route, c.Version, balance.Key(c.ID), c.Cold)
	s := f.server[c.ID]
	if s.running >= f.slots {
		s.queue = append(s.queue, q)
		return true
	}
	f.execute(now, s, q)
	return true
}

func (f *fleet) execute(now clock.Millis, s *queueServer, q *request) {
	s.running++
	took := clock.Millis((0.6 + 0.8*f.r.Float64()) * float64(q.work))
	if f.fault != nil && q.choice.Version == "v2" && f.fault(now, s.running) && f.r.Float64() < 0.47 {
		if q.failed = !f.slow; f.slow {
			took *= 4
		}
	}
	at := now + took
	f.ends[at] = append(f.ends[at], q)
}

func (f *fleet) finish(now clock.Millis, q *request) {
	s := f.server[q.choice.ID]
	s.running--
	if len(s.queue) > 0 {
		n := s.queue[0]
		s.queue = s.queue[1:]
		f.execute(now, s, n)
	}
	o, k := balance.Served, rollout.Served
	if q.failed {
		o, k = balance.Failed, rollout.Failed
	}
	f.pools[q.host].Done(now, q.choice.ID, balance.Result{
		Outcome: o, Took: now - q.sent, Load: balance.Load{Known: true, Running: s.running, Waiting: len(s.queue), Slots: f.slots},
	})
	f.record[q.host].End(now, q.counted, k)
}

// run returns the last step and its time, and the requests of the new version and of
// all between the order and the time limit.
func (f *fleet) run(seed int64) (last catalog.Rollout, at clock.Millis, exposed, all int) {
	f.r = rand.New(rand.NewSource(seed))
	f.server, f.ends = map[string]*queueServer{}, map[clock.Millis][]*request{}
	f.state = catalog.New(nil)
	f.waiting = nil
	for i := range f.targets {
		for _, v := range []string{"v1", "v2"} {
			t := catalog.Target{ID: fmt.Sprintf("%s-%d", v, i), Service: "s", Zone: string("abc"[i%3]), Addr: fmt.Sprint(v, i), Version: v, Phase: catalog.Serving, Slots: f.slots, Born: 1}
			if v == "v2" {
				t.Cold = f.cold
			}
			f.state.Targets[t.ID] = t
			f.server[t.ID] = &queueServer{}
		}
	}
	f.pools, f.record = nil, make([]rollout.Recorder, f.hosts)
	var ids []string
	byID := map[string]int{}
	for i := range f.hosts {
		id := fmt.Sprintf("h%d", i)
		byID[id] = i
		ids = append(ids, id)
		var zone []string
		for j := i % 3; j < f.hosts; j += 3 {
			zone = append(zone, fmt.Sprintf("h%d", j))
		}
		p := &balance.Pool{Zone: string("abc"[i%3]), Self: id, Service: catalog.Service{WarmUp: 3000, WarmUpRate: 4}}
		p.Run()
		p.SetHosts(zone)
		f.pools = append(f.pools, p)
	}
	set := rollout.Settings{ExposureShare: 0.1, ExposureSlack: 50, Rollback: 5000, Revocation: 5000}
	Expect(f.state.Apply(catalog.Change{Order: &catalog.Rollout{Service: "s", Version: "v2", Duration: f.duration}})).To(Succeed())
	m := &rollout.Monitor{}
	m.Run(0, f.state.Rollouts["s"])
	changed := clock.Millis(-300)
	for now := clock.Millis(0); now < f.duration; now += 2 {
		for i := range f.pools {
			// Hosts learn of a step 100 to 400 ms later.
			if now == changed+clock.Millis(100+2*(i%150)) || now == 0 {
				f.setTargets(now, i)
			}
		}
		for _, q := range append(f.ends[now], f.ends[now+1]...) {
			f.finish(now, q)
		}
		delete(f.ends, now)
		delete(f.ends, now+1)
		rest := f.waiting[:0]
		for _, q := range f.waiting {
			if !f.start(now, q) {
				rest = append(rest, q)
			} else if q.choice.Version == "v2" {
				exposed++
			}
		}
		f.waiting = rest
		for k, rate := range f.rates {
			// Hundreds of requests a second: one of them at most comes in 2 ms.
			if f.r.Float64() < rate*0.002 {
				all++
				q := &request{host: f.r.Intn(f.hosts), route: fmt.Sprint("r", k), work: f.work[k]}
				q.ask = balance.Request{Idempotent: k == 0, Retryable: k == 0, Sample: f.r.Float64()}
				if !f.start(now, q) {
					f.waiting = append(f.waiting, q)
				} else if q.choice.Version == "v2" {
					exposed++
				}
			}
		}
		if now%10 == 0 {
			for i, p := range f.pools {
				for h, l := range p.TakeChanges(now) {
					for _, e := range l {
						f.pools[byID[h]].Merge(now, ids[i], e)
					}
				}
			}
		}
		if now%100 != 0 || last.State != "" && last.State != catalog.RolloutRunning {
			continue
		}
		for i := range f.record {
			for _, p := range f.record[i].Reports(now) {
				m.Report(now, now, rollout.HostReport{Host: ids[i], Instance: 1}, p)
			}
		}
		x := rollout.Situation{Rollout: f.state.Rollouts["s"], Elapsed: now, NewSlots: 1, OldSlots: 1}
		m.Evaluate(now, set, &x, ids)
		n, ok := set.Next(x)
		if !ok {
			continue
		}
		Expect(f.state.Apply(catalog.Change{Step: &n})).To(Succeed())
		last, at, changed = f.state.Rollouts["s"], now, now
		m.SetStep(now, last)
		GinkgoWriter.Println(now, last.Step, last.Share, last.State, last.Reason, exposed, all, len(f.waiting))
	}
	return last, at, exposed, all
}

var _ = DescribeTable("hosts that choose targets as balance.Pool does",
	func(f fleet) {
		for seed := range int64(2) {
			// Guards against good versions that look slow because few of their targets
			// get the requests of a step.
			f.fault = nil
			last, at, _, _ := f.run(seed)
			Expect(last.State).To(Equal(catalog.RolloutCompleted), last.Reason)
			Expect(at).To(BeNumerically("<=", f.duration*85/100))
			// Guards against faults that hosts hide by avoiding the targets that show
			// them.
			for _, f.fault = range []func(clock.Millis, int) bool{
				func(clock.Millis, int) bool { return true },
				func(at clock.Millis, _ int) bool { return at >= 3000 },
				// The version fails under the load of all requests.
				func(_ clock.Millis, running int) bool { return running >= f.typicalLoad() },
			} {
				for _, f.slow = range []bool{false, true} {
					last, _, exposed, all := f.run(seed)
					Expect(last.State).To(Equal(catalog.RolloutRolledBack), last.Reason)
					Expect(float64(exposed)).To(BeNumerically("<=", 0.1*float64(all)+50))
				}
			}
		}
	},
	Entry("95 hosts, 161 targets, 386 + 268 requests/s, half of the slots in use", fleet{hosts: 95, targets: 161, slots: 4, rates: []float64{386, 268}, work: []clock.Millis{460, 560}, duration: 12_000, cold: 3000}),
	Entry("95 hosts, 40 targets, 37.5 + 364 requests/s, 0.7 of the slots in use", fleet{hosts: 95, targets: 40, slots: 4, rates: []float64{37.5, 364}, work: []clock.Millis{330, 270}, duration: 16_000, cold: 3000}),
	Entry("95 hosts, 161 targets, 37.5 + 364 requests/s, unequal work", fleet{hosts: 95, targets: 161, slots: 4, rates: []float64{37.5, 364}, work: []clock.Millis{1900, 330}, duration: 14_000, cold: 3000}),
	Entry("12 hosts, 7 targets, 20 requests/s", fleet{hosts: 12, targets: 7, slots: 4, rates: []float64{10, 10}, work: []clock.Millis{460, 330}, duration: 12_000, cold: 3000}),
)
