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

// Accounts of the tests under load. greedy sends several times its rate, the
// others stay within theirs.
var (
	steady = account{"steady", 3000, 40}
	small  = account{"small", 600, 5}
	greedy = account{"greedy", 1800, 30}
)

// maxBunching is the time by which requests may bunch up between the consumption
// of a token and their arrival at a target on a busy machine.
const maxBunching = 150 * time.Millisecond

// startLoad sends load in the background for a time and returns a channel for
// the results.
func (w *testbed) startLoad(d time.Duration) chan []*load.Result {
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

// checkLoad asserts that no caller got the response to another request, and that
// at least the share served of each account within its rate was served.
func checkLoad(r []*load.Result, served float64) {
	GinkgoHelper()
	for _, x := range r {
		Expect(x.Wrong).To(BeZero(), "wrong responses for %s", x.Account)
		GinkgoWriter.Printf("%s: sent %d, served %d, refused %v, failed %d\n", x.Account, x.Sent, x.OK, x.Refused, x.Failed)
		if x.Account != greedy.name {
			Expect(float64(x.OK)).To(BeNumerically(">=", served*float64(x.Sent)), "served of %s", x.Account)
		}
	}
}

// checkLimits asserts that the targets saw no limit exceeded.
func (w *testbed) checkLimits() {
	GinkgoHelper()
	w.checkTargets()
	w.checkRates(maxBunching, steady, small, greedy)
	w.checkHosts()
}

var _ = Describe("limits over all hosts together", func() {
	It("hold while the leaseholders are killed and restarted", func() {
		w := start(newFleet(6), 8, steady, small, greedy)
		r := w.startLoad(24 * time.Second)
		for _, shard := range []int{placement.ServiceShard("desk"), placement.AccountShard(greedy.name), placement.ServiceShard("desk")} {
			time.Sleep(2 * time.Second)
			var k string
			w.await("the shard has a leaseholder", func() bool { k = w.leaseholder(shard); return k != "" })
			w.fleet.Processes[k].Kill()
			w.await("another host is the leaseholder", func() bool { n := w.leaseholder(shard); return n != "" && n != k })
			Expect(w.fleet.Processes[k].Start()).To(Succeed())
		}
		checkLoad(<-r, 0.5)
		w.checkLimits()
	})

	It("hold while a leaseholder is frozen and continues", func() {
		w := start(newFleet(6), 8, steady, small, greedy)
		r := w.startLoad(20 * time.Second)
		for _, shard := range []int{placement.ServiceShard("desk"), placement.AccountShard(greedy.name)} {
			time.Sleep(2 * time.Second)
			k := w.leaseholder(shard)
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
		r := w.startLoad(24 * time.Second)
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

	It("hold while targets crash, restart and begin unannounced cold starts", func() {
		w := start(newFleet(6), 8, steady, small, greedy)
		r := w.startLoad(16 * time.Second)
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
