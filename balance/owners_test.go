package balance

import (
	"fmt"
	"math/rand"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/carawayrack/carawayrack/catalog"
	"github.com/carawayrack/carawayrack/clock"
)

// largeZone simulates a zone of many hosts in virtual time. Hosts send their
// observations to the owners of targets, which receive them after gossipDelay.
type largeZone struct {
	hosts []string
	pools map[string]*Pool
	// busyUntil holds the end times of the requests at each target.
	busyUntil map[string][]clock.Millis
	messages  []message
}

type message struct {
	at           clock.Millis
	from, to     string
	observations []Observation
}

// gossipDelay is the time until another host receives an observation.
const gossipDelay = 15 * clock.Millis(1)

func newLargeZone(hosts, targets int) *largeZone {
	z := &largeZone{pools: map[string]*Pool{}, busyUntil: map[string][]clock.Millis{}}
	var l []catalog.Target
	for i := 0; i < targets; i++ {
		l = append(l, testTargets(fmt.Sprintf("a%d", i))...)
	}
	for i := 0; i < hosts; i++ {
		z.hosts = append(z.hosts, fmt.Sprintf("h%d", i))
	}
	for _, h := range z.hosts {
		p := &Pool{Zone: "a", Self: h, Service: catalog.Service{WarmUp: 3000, WarmUpRate: 6}}
		p.Run()
		p.SetHosts(z.hosts)
		p.SetTargets(0, l, nil)
		z.pools[h] = p
	}
	return z
}

// exchange sends the hosts' changes and delivers the messages that are due.
func (z *largeZone) exchange(now clock.Millis) {
	for _, h := range z.hosts {
		for to, l := range z.pools[h].TakeChanges(now) {
			z.messages = append(z.messages, message{now + gossipDelay, h, to, l})
		}
	}
	rest := z.messages[:0]
	for _, m := range z.messages {
		if m.at > now {
			rest = append(rest, m)
			continue
		}
		for _, e := range m.observations {
			z.pools[m.to].Merge(now, m.from, e)
		}
	}
	z.messages = rest
}

// inFlight returns the number of requests at a target.
func (z *largeZone) inFlight(now clock.Millis, id string) int {
	k := 0
	for _, end := range z.busyUntil[id] {
		if end > now {
			z.busyUntil[id][k] = end
			k++
		}
	}
	z.busyUntil[id] = z.busyUntil[id][:k]
	return k
}

func owned(p *Pool) int {
	n := 0
	for _, t := range p.order {
		if t.owned {
			n++
		}
	}
	return n
}

var _ = Describe("Owners", func() {
	It("are all hosts in a small zone", func() {
		z := newLargeZone(SmallZoneHosts, 9)
		for _, h := range z.hosts {
			Expect(owned(z.pools[h])).To(Equal(9))
		}
	})

	It("are several for each target of a large zone, and each host owns enough targets", func() {
		z := newLargeZone(30, 80)
		for _, t := range z.pools["h0"].order {
			Expect(len(t.owners)).To(BeNumerically(">=", coldOwners))
		}
		sum := 0
		for _, h := range z.hosts {
			Expect(owned(z.pools[h])).To(BeNumerically(">", 0))
			sum += owned(z.pools[h])
		}
		Expect(sum / len(z.hosts)).To(BeNumerically(">=", targetsPerHost))
	})

	It("are computed alike by all hosts, and change little when a host leaves", func() {
		z := newLargeZone(30, 80)
		p := z.pools["h3"]
		before := map[string][]string{}
		for _, t := range p.order {
			before[t.ID] = t.owners
			Expect(z.pools["h7"].targets[t.ID].owners).To(Equal(t.owners))
		}
		p.SetHosts(z.hosts[:29])
		for id, l := range before {
			kept := 0
			for _, h := range p.targets[id].owners {
				for _, o := range l {
					if o == h {
						kept++
					}
				}
			}
			Expect(kept).To(BeNumerically(">=", len(l)-1), id)
		}
	})

	It("do not use cold targets while this host is not in the list of active hosts", func() {
		p := newPool("a", "a1")
		p.SetHosts([]string{"h2", "h3"})
		Expect(p.targets["a1"].owned).To(BeTrue())
		p.targets["a1"].coldUntil = 1000
		_, ok := p.Pick(10, unsafe)
		Expect(ok).To(BeFalse())
	})

	// Guards against hosts that overload the same target because they do not know
	// of each other's requests: many hosts with a few requests a second each, and
	// targets with a third of their slots in use.
	It("do not overload one target with the requests of many hosts", func() {
		const rate, took, span = 290, 310, 20_000
		z := newLargeZone(30, 80)
		r := rand.New(rand.NewSource(1))
		shed, all := 0, 0
		type end struct {
			at       clock.Millis
			host, id string
		}
		var ends []end
		for now := clock.Millis(1); now < span; now++ {
			if now%10 == 0 {
				z.exchange(now)
			}
			rest := ends[:0]
			for _, e := range ends {
				if e.at > now {
					rest = append(rest, e)
					continue
				}
				z.pools[e.host].Done(now, e.id, Result{Outcome: Served, Took: took})
			}
			ends = rest
			if r.Float64() >= rate/1000.0 {
				continue
			}
			h := z.hosts[r.Intn(len(z.hosts))]
			a := unsafe
			if r.Intn(3) == 0 {
				a = idempotent
			}
			c, ok := z.pools[h].Pick(now, a)
			Expect(ok).To(BeTrue())
			all++
			// A target queues up to four times as many requests as it has slots.
			if z.inFlight(now, c.ID) >= 5*testSlots {
				shed++
			}
			d := clock.Millis(took/2 + r.Intn(took))
			z.busyUntil[c.ID] = append(z.busyUntil[c.ID], now+d)
			ends = append(ends, end{now + d, h, c.ID})
		}
		Expect(shed*1000).To(BeNumerically("<", all), "%d of %d were shed", shed, all)
	})

	It("make a host prefer its own targets to one that just served another host", func() {
		z := newLargeZone(30, 80)
		p := z.pools["h0"]
		for _, t := range p.order {
			if !t.owned {
				p.Overwrite(1000, "h1", Observation{Key: t.key, OKAge: 1, FailAge: never})
			}
		}
		for i := clock.Millis(0); i < 10; i++ {
			c, ok := p.Pick(1000+i, unsafe)
			Expect(ok).To(BeTrue())
			Expect(c.Owned).To(BeTrue())
		}
	})

	It("receive a failure with the next message, and the first owner reports it to other zones if it lasts", func() {
		z := newLargeZone(30, 80)
		id := z.pools["h0"].order[0].ID
		l := z.pools["h0"].targets[id].owners
		p := z.pools[l[1]]
		p.targets[id].inFlight++
		p.Done(100, id, Result{Outcome: Broken, Took: 1})
		Expect(p.TakeHealthChanges(100)).To(BeEmpty())
		z.exchange(100)
		z.exchange(100 + gossipDelay)
		Expect(z.pools[l[0]].targets[id].successesNeeded).To(Equal(maxSuccessesNeeded))
		first := z.pools[l[0]]
		Expect(first.TakeHealthChanges(101+gossipDelay)).To(BeEmpty(), "most failures are short")
		t := first.TakeHealthChanges(101 + gossipDelay + remoteReportDelay)
		Expect(t).To(HaveLen(1))
		Expect(t[0].Key).To(Equal(key(id)))
		for range remoteReports - 1 {
			Expect(first.TakeHealthChanges(2000)).To(HaveLen(1), "a report may be lost")
		}
		Expect(first.TakeHealthChanges(2000)).To(BeEmpty())
		for i := clock.Millis(0); i < maxSuccessesNeeded; i++ {
			first.targets[id].inFlight++
			first.Done(3000+10*i, id, Result{Outcome: Served, Took: 1})
		}
		t = first.TakeHealthChanges(3100)
		Expect(t).To(HaveLen(1))
		Expect(t[0].SuccessesNeeded).To(BeZero())
	})
})

var _ = Describe("a failed network path", func() {
	It("makes other hosts require only a single success", func() {
		p, q := newPool("a", "a1"), newPool("a", "a1")
		succeed(q, 50, "a1")
		p.targets["a1"].inFlight++
		p.Done(100, "a1", Result{Outcome: Silent, Took: 1})
		Expect(p.targets["a1"].successesNeeded).To(Equal(maxSuccessesNeeded))
		e, _ := p.ObservationOf(100, "a1")
		q.Merge(101, "h1", e)
		Expect(q.targets["a1"].successesNeeded).To(Equal(secondHandSuccessesNeeded))
		q.Merge(200, "h3", Observation{Key: key("a1"), OKAge: 10, FailAge: never})
		Expect(q.targets["a1"].successesNeeded).To(Equal(0))
	})
})
