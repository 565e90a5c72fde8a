package lab_test

import (
	"fmt"
	"net/http"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/carawayrack/carawayrack/config"
	"github.com/carawayrack/carawayrack/journal"
	"github.com/carawayrack/carawayrack/refusal"
	"github.com/carawayrack/carawayrack/slots"
	"github.com/carawayrack/carawayrack/standin"
)

var (
	faultHang = standin.Fault{Hang: true}
	faultCut  = standin.Fault{CutPercent: 100}
	faultFail = standin.Fault{ErrorPercent: 100}
)

// events returns the events of a kind in the journals of all hosts.
func (w *testbed) events(k journal.Kind) []journal.Event {
	var l []journal.Event
	for _, n := range w.fleet.Names("host") {
		for _, e := range w.dump(n).Journal {
			if e.Kind == k {
				l = append(l, e)
			}
		}
	}
	return l
}

// pool returns the leaseholder's state of the service, empty if there is no
// leaseholder.
func (w *testbed) pool() slots.Dump {
	n := w.leaseholder(shardOf())
	if n == "" {
		return slots.Dump{}
	}
	for _, s := range w.dump(n).Shards {
		if s.Shard == shardOf() {
			return s.Pools["desk"]
		}
	}
	return slots.Dump{}
}

// sendUntil sends requests through every host until a condition holds.
func (w *testbed) sendUntil(what string, f func() bool) {
	GinkgoHelper()
	w.await(what, func() bool {
		for _, h := range w.fleet.Names("host") {
			for i := 0; i < 6; i++ {
				w.get(h, "/desk/x?work=1", w.keys["club"])
			}
		}
		return f()
	})
}

// awaitWarm sends requests until every target has finished its warm-up.
func (w *testbed) awaitWarm() {
	GinkgoHelper()
	w.sendUntil("every target is warm", func() bool {
		p := w.pool()
		for _, t := range p.Targets {
			if !t.Warm {
				return false
			}
		}
		return len(p.Targets) == len(w.group.Targets)
	})
}

var _ = Describe("targets", func() {
	It("that fail are ejected, others are not, and ejections stop at the floor", func() {
		w := start(newFleet(4), 6, club)
		w.awaitWarm()
		w.group.Targets[0].SetFault(faultFail)
		w.sendUntil("the failing target is ejected", func() bool { return w.pool().Targets["desk-1"].Ejected })
		for _, e := range w.events(journal.TargetEjected) {
			Expect(e.Subject).To(Equal("desk-1"))
		}
		// When all targets fail, none is an outlier, and the floor of healthy
		// capacity must hold.
		for _, t := range w.group.Targets {
			t.SetFault(faultFail)
		}
		w.sendUntil("an ejection was refused", func() bool { return len(w.events(journal.TargetKept)) > 0 })
		p := w.pool()
		Expect(p.Healthy).To(BeNumerically(">=", p.Floor))
		for _, t := range w.group.Targets {
			t.SetFault(standin.Fault{})
		}
		w.sendUntil("the ejected target is back in use", func() bool {
			t := w.pool().Targets["desk-1"]
			return !t.Ejected && !t.Probation && t.Warm
		})
		w.checkTargets()
		w.checkHosts()
	})

	It("that are slow are ejected for their latency although they announce themselves as ready", func() {
		w := start(newFleet(4), 6, club)
		w.awaitWarm()
		w.group.Targets[2].SetFault(standin.Fault{Slow: 120})
		w.sendUntil("the slow target is ejected", func() bool { return w.pool().Targets["desk-3"].Ejected })
		for _, e := range w.events(journal.TargetEjected) {
			Expect(e.Subject).To(Equal("desk-3"))
		}
		w.checkTargets()
		w.checkHosts()
	})

	It("get no new requests after leaving or while their zone is evacuated", func() {
		w := start(newFleet(4), 6, club)
		w.awaitWarm()
		w.group.Targets[0].Leave()
		w.edit(func(*config.State) []config.Edit {
			return []config.Edit{{PutZone: &config.Zone{Name: "z2", Evacuated: true}}}
		})
		time.Sleep(time.Second)
		before := w.zoneServed("z2")
		for end := time.Now().Add(4 * time.Second); time.Now().Before(end); {
			for _, h := range w.fleet.Names("host") {
				r := w.get(h, "/desk/x?work=1", w.keys["club"])
				Expect(r.status).To(Equal(http.StatusOK), "%+v %v", r.refusal, r.err)
			}
		}
		Expect(w.zoneServed("z2")).To(Equal(before))
		w.edit(func(*config.State) []config.Edit { return []config.Edit{{PutZone: &config.Zone{Name: "z2"}}} })
		w.sendUntil("the zone serves again", func() bool { return w.zoneServed("z2") > before })
		w.checkTargets()
		w.checkHosts()
	})

	It("are protected by quarantine from a request that crashes each target it reaches", func() {
		w := start(newFleet(4), 6, club)
		w.awaitWarm()
		for i := 0; i < 12; i++ {
			r := w.get(fmt.Sprintf("h%d", 1+i%4), "/desk/x?crash=1", w.keys["club"])
			Expect(r.status).NotTo(Equal(http.StatusOK))
		}
		r := w.get("h1", "/desk/x?crash=1", w.keys["club"])
		Expect(r.refusal.Code).To(Equal(refusal.Quarantined))
		Expect(r.refusal.NotRun).To(BeTrue())
		Expect(w.group.Total().Crashes).To(BeNumerically("<=", 2))
		Expect(w.events(journal.TargetEjected)).To(BeEmpty())
		Expect(w.get("h2", "/desk/x", w.keys["club"]).status).To(Equal(http.StatusOK))
		w.checkTargets()
		w.checkHosts()
	})
})

func (w *testbed) zoneServed(zone string) int {
	n := 0
	for _, t := range w.group.Targets {
		if t.Zone == zone {
			n += t.Stats().Served
		}
	}
	return n
}

var _ = Describe("a planned stop", func() {
	It("of a host cuts no request, also of callers that still use its old address", func() {
		w := start(newFleet(5), 8, steady, small, greedy)
		r := w.startLoad(14 * time.Second)
		for _, n := range []string{"h1", "h3"} {
			time.Sleep(2 * time.Second)
			p := w.fleet.Processes[n]
			Expect(p.Stop()).To(Succeed())
			Expect(p.Start()).To(Succeed())
		}
		for _, x := range <-r {
			GinkgoWriter.Printf("%s: sent %d, served %d, refused %v, failed %d\n", x.Account, x.Sent, x.OK, x.Refused, x.Failed)
			Expect(x.Failed).To(BeZero(), "cut requests of %s", x.Account)
			Expect(x.Wrong).To(BeZero())
		}
		w.checkLimits()
	})

	It("of a host lets a long request finish", func() {
		w := start(newFleet(3), 3, club)
		q := make(chan response, 1)
		go func() {
			defer GinkgoRecover()
			q <- w.send("h2", http.MethodPost, "/desk/long?work=4000&echo=long", w.keys["club"], strings.NewReader("x"), nil)
		}()
		w.await("the request runs", func() bool { return w.dump("h2").Grants == 1 })
		Expect(w.fleet.Processes["h2"].Stop()).To(Succeed())
		var r response
		Expect(q).To(Receive(&r))
		Expect(r.body.Echo).To(Equal("long"))
		w.checkHosts()
	})
})
