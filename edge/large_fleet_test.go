package edge

import (
	"fmt"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"github.com/carawayrack/carawayrack/balance"
	"github.com/carawayrack/carawayrack/catalog"
	"github.com/carawayrack/carawayrack/clock"
	"github.com/carawayrack/carawayrack/coordinator"
)

// largeFleet is a fleet whose hosts gossip without a network. All control
// processes are gone.
type largeFleet struct {
	now   clock.Millis
	hosts []*gossip
	by    map[string]*gossip
	// sent counts the bytes that each host sent since the last count.
	sent map[string]int
	// far is the number of bytes sent to other zones.
	far int
	// lose, if set, reports whether a datagram is lost.
	lose  func() bool
	queue []datagram
}

type datagram struct {
	to string
	b  []byte
}

const (
	fleetZones   = 6
	fleetHosts   = 422
	fleetTargets = 540
	// linkBytes is what the link of a host carries in a second: 2 Mbit.
	linkBytes = 250_000
)

func newLargeFleet() *largeFleet {
	f := &largeFleet{now: 100_000, by: map[string]*gossip{}, sent: map[string]int{}}
	list := &coordinator.Fleet{}
	for i := range fleetHosts {
		id := fmt.Sprintf("frontend-zone-%d-%d", i%fleetZones, i)
		list.Hosts = append(list.Hosts, coordinator.Host{ID: id, Zone: fmt.Sprint(i % fleetZones), Peer: id, Narrow: true})
	}
	s := catalog.New(nil)
	for i := range fleetTargets {
		id := fmt.Sprintf("t%d", i)
		s.Targets[id] = catalog.Target{ID: id, Service: "s", Zone: fmt.Sprint(i % fleetZones), Phase: catalog.Serving, Slots: 3, Born: 1}
	}
	for _, h := range list.Hosts {
		g := f.newGossip(h)
		g.view.setState(f.now, s)
		g.view.setFleet(list)
		f.hosts = append(f.hosts, g)
		f.by[h.ID] = g
	}
	return f
}

func (f *largeFleet) newGossip(h coordinator.Host) *gossip {
	v := &fleetView{zone: h.Zone, self: h.ID, random: func(int) int { return 0 }, log: zap.NewNop()}
	v.run()
	g := &gossip{
		settings: Settings{ID: h.ID, Zone: h.Zone}, clock: clock.Clock{Read: f.time}, log: zap.NewNop(), view: v,
		metrics: newMetrics(), dirty: make(chan struct{}, 1),
	}
	x := &sender{f, g}
	g.transmit = x.transmit
	return g
}

func (f *largeFleet) time() clock.Millis { return f.now }

// sender is the network at one host.
type sender struct {
	fleet *largeFleet
	from  *gossip
}

func (x *sender) transmit(b []byte, addr string) {
	f := x.fleet
	f.sent[x.from.settings.ID] += len(b) + datagramHeader
	if f.by[addr].settings.Zone != x.from.settings.Zone {
		f.far += len(b) + datagramHeader
	}
	if f.lose == nil || !f.lose() {
		f.queue = append(f.queue, datagram{addr, append([]byte{}, b...)})
	}
}

// deliver delivers what was sent.
func (f *largeFleet) deliver() {
	q := f.queue
	f.queue = nil
	for _, d := range q {
		f.by[d.to].receive(d.b)
	}
}

// step lets a tenth of a second pass. Hosts do not send their digests at the
// same time.
func (f *largeFleet) step() {
	f.now += 100
	for i, g := range f.hosts {
		for h, l := range g.view.takeChanges(f.now) {
			g.send(kindChanges, l, []coordinator.Host{h})
		}
		if (int(f.now/100)+i)%10 == 0 {
			g.sendDigest()
		}
		if (int(f.now/100)+i)%3 == 0 {
			g.sendRelayed()
		}
	}
	f.deliver()
}

// attempt records an attempt at a target as its host does.
func (f *largeFleet) attempt(g *gossip, id string, o balance.Outcome) {
	changed := g.view.attemptDone(f.now, "s", id, balance.Result{Outcome: o, Took: 1})
	if o != balance.Served {
		g.broadcastHealth("s", id, changed)
	}
}

// user returns a host of the zone of a target, by which requests reach it.
func (f *largeFleet) user(i int) *gossip {
	return f.hosts[i%fleetZones+fleetZones*(i/fleetZones%(fleetHosts/fleetZones))]
}

// needed returns the number of successes that a host thinks a target needs.
func (f *largeFleet) needed(g *gossip, id string) int {
	e, ok := g.view.observationOf(f.now, "s", id)
	Expect(ok).To(BeTrue())
	return int(e.SuccessesNeeded)
}

var _ = Describe("a fleet of hundreds of hosts without control processes", func() {
	// Four of five targets shed and break by turns, as when many users come at
	// once while instances fail in part.
	It("sends a bounded number of bytes while most targets flap", func() {
		f := newLargeFleet()
		most, seconds := 0, 4
		for range seconds {
			f.sent = map[string]int{}
			for tenth := range 10 {
				for i := range fleetTargets * 4 / 5 {
					o := balance.Broken
					if (tenth+i)%2 == 0 {
						o = balance.Served
					}
					f.attempt(f.user(i), fmt.Sprintf("t%d", i), o)
				}
				f.step()
			}
			for _, n := range f.sent {
				most = max(most, n)
			}
		}
		// Requests and configuration need the rest of the link.
		Expect(most).To(BeNumerically("<=", linkBytes/4))
		// What crosses the borders of zones does not grow with the number of hosts:
		// each first owner reports each second to one host of each other zone.
		Expect(f.far / seconds).To(BeNumerically("<=", fleetTargets*fleetZones*120))
	})

	It("knows of a failed target everywhere within five seconds, although datagrams are lost", func() {
		f := newLargeFleet()
		k := 0
		f.lose = func() bool { k++; return k%50 == 0 }
		for range 50 {
			for _, i := range []int{3, 77, 200} {
				f.attempt(f.user(i), fmt.Sprintf("t%d", i), balance.Broken)
			}
			f.step()
		}
		for _, i := range []int{3, 77, 200} {
			for _, g := range f.hosts {
				Expect(f.needed(g, fmt.Sprintf("t%d", i))).To(BeNumerically(">", 0), "%s at %s", fmt.Sprintf("t%d", i), g.settings.ID)
			}
		}
	})
})

var _ = Describe("a relay", func() {
	It("reports the newest observation of each target with its age", func() {
		r := &relay{}
		r.add(100, []balance.Observation{{Key: 1, SuccessesNeeded: 4, OKAge: 0xffff, FailAge: 10, InFlight: 3}})
		r.add(150, []balance.Observation{{Key: 1, SuccessesNeeded: 3, OKAge: 7, FailAge: 60, InFlight: 3}})
		Expect(r.take(200)).To(Equal([]balance.Observation{{Key: 1, SuccessesNeeded: 3, OKAge: 57, FailAge: 110}}))
		Expect(r.take(300)).To(BeEmpty())
	})

	It("stays within its budget", func() {
		r := &relay{}
		now, sent := clock.Millis(0), 0
		for ; now < 10_000; now += 50 {
			r.add(now, []balance.Observation{{Key: 1}})
			if r.take(now) != nil {
				sent += 60_000
				r.sent(now, 60_000)
			}
		}
		Expect(sent).To(BeNumerically("<=", 10*relayBudget+60_000))
	})
})
