package lab_test

import (
	"context"
	"fmt"
	"math/rand"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/carawayrack/carawayrack/faultproxy"
	"github.com/carawayrack/carawayrack/lab"
	"github.com/carawayrack/carawayrack/load"
	"github.com/carawayrack/carawayrack/placement"
)

// accounts of the tests under load: greedy sends several times its rate.
var (
	steady = account{"steady", 3000, 40}
	small  = account{"small", 600, 5}
	greedy = account{"greedy", 1800, 30}
)

// bunching is the time by which requests may bunch up between the spending of
// a token and their arrival, on a machine that is busy with other work.
const bunching = 150 * time.Millisecond

// pour sends load in the background.
func (w *world) pour(d time.Duration) chan []*load.Result {
	l := &load.Load{EntryHosts: w.fleet.Addresses("host", lab.Callers)}
	for _, a := range []struct {
		account
		perSecond float64
	}{{steady, 40}, {small, 8}, {greedy, 150}} {
		l.Accounts = append(l.Accounts, load.Account{
			Name: a.name, Key: w.keys[a.name], PerSecond: a.perSecond, RatePerMinute: a.rpm, Burst: a.burst, Path: "/desk/x?work=5",
		})
	}
	c := make(chan []*load.Result, 1)
	go func() { c <- l.Run(context.Background(), d) }()
	return c
}

// checkLoad asserts what callers saw: no answer to another request, and that
// accounts within their rate were served for the most part.
func checkLoad(r []*load.Result, served float64) {
	GinkgoHelper()
	for _, x := range r {
		Expect(x.Wrong).To(BeZero(), "wrong answers for %s", x.Account)
		GinkgoWriter.Printf("%s: sent %d, served %d, refused %v, failed %d\n", x.Account, x.Sent, x.OK, x.Refused, x.Failed)
		if x.Account != greedy.name {
			Expect(float64(x.OK)).To(BeNumerically(">=", served*float64(x.Sent)), "served of %s", x.Account)
		}
	}
}

// checkLimits asserts every limit that targets can see.
func (w *world) checkLimits() {
	GinkgoHelper()
	w.checkTargets()
	w.checkRates(bunching, steady, small, greedy)
	w.checkHosts()
}

var _ = Describe("limits over all hosts together", func() {
	It("hold while the keepers' hosts are killed and restarted", func() {
		w := start(newFleet(6), 8, steady, small, greedy)
		r := w.pour(24 * time.Second)
		for _, shard := range []int{placement.ServiceShard("desk"), placement.AccountShard(greedy.name), placement.ServiceShard("desk")} {
			time.Sleep(2 * time.Second)
			var k string
			w.await("the shard has a keeper", func() bool { k = w.keeper(shard); return k != "" })
			w.fleet.Processes[k].Kill()
			w.await("another host is keeper", func() bool { n := w.keeper(shard); return n != "" && n != k })
			Expect(w.fleet.Processes[k].Start()).To(Succeed())
		}
		checkLoad(<-r, 0.5)
		w.checkLimits()
	})

	It("hold while a keeper's host is frozen and comes back", func() {
		w := start(newFleet(6), 8, steady, small, greedy)
		r := w.pour(20 * time.Second)
		for _, shard := range []int{placement.ServiceShard("desk"), placement.AccountShard(greedy.name)} {
			time.Sleep(2 * time.Second)
			k := w.keeper(shard)
			Expect(k).NotTo(BeEmpty())
			p := w.fleet.Processes[k]
			p.Freeze()
			time.Sleep(3 * time.Second)
			p.Thaw()
		}
		checkLoad(<-r, 0.3)
		w.checkLimits()
	})

	It("hold under random one-way cuts between hosts", func() {
		m := &faultproxy.Mesh{}
		DeferCleanup(m.Close)
		f := newFleet(6)
		f.DialAddr = m.ProxyAddr
		w := start(f, 8, steady, small, greedy)
		r := w.pour(24 * time.Second)
		random := rand.New(rand.NewSource(7))
		for end := time.Now().Add(18 * time.Second); time.Now().Before(end); {
			a, b := fmt.Sprintf("h%d", 1+random.Intn(6)), fmt.Sprintf("h%d", 1+random.Intn(6))
			m.CutOneWay(a, b, true)
			if random.Intn(4) == 0 {
				m.Heal()
			}
			time.Sleep(400 * time.Millisecond)
		}
		m.Heal()
		checkLoad(<-r, 0.1)
		w.checkLimits()
	})

	It("hold while targets crash, fall cold and come back", func() {
		w := start(newFleet(6), 8, steady, small, greedy)
		r := w.pour(16 * time.Second)
		random := rand.New(rand.NewSource(3))
		for end := time.Now().Add(12 * time.Second); time.Now().Before(end); {
			t := w.group.Targets[random.Intn(len(w.group.Targets))]
			if random.Intn(2) == 0 {
				t.Crash()
			} else {
				t.RestartColdSilently()
			}
			time.Sleep(700 * time.Millisecond)
		}
		checkLoad(<-r, 0.8)
		w.checkLimits()
	})
})
