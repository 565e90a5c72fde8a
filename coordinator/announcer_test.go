package coordinator

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/carawayrack/carawayrack/catalog"
)

// announcing makes one announcement.
type announcing struct {
	announce func(catalog.Target) error
	id       int
	result   chan error
}

func (x *announcing) run() {
	t := testTarget(fmt.Sprint(x.id), 1, 1)
	t.Addr = fmt.Sprint("10.0.0.1:", 1+x.id)
	x.result <- x.announce(t)
}

var _ = Describe("control processes to which many targets announce themselves", func() {
	// Guards against announcements that are lost in a batch, and against a configuration
	// that waits behind them.
	It("accept all of them in fewer changes, and a configuration at the same time", func() {
		const targets = 300
		c := newCluster(3)
		c.waitForVoters(3)
		results := make(chan error, targets)
		for k := 0; k < targets; k++ {
			n := c.nodes[k%3]
			x := &announcing{func(t catalog.Target) error {
				_, err := n.Announce(t)
				// A target announces itself again after a failure, such as a change of the leader.
				for end := time.Now().Add(waitTimeout); err != nil && time.Now().Before(end); {
					_, err = n.Announce(t)
				}
				return err
			}, k, results}
			go x.run()
		}
		c.configure(1, 7)
		for k := 0; k < targets; k++ {
			Eventually(results, waitTimeout).Should(Receive(BeNil()))
		}
		d, err := c.nodes[c.leader()].State()
		Expect(err).NotTo(HaveOccurred())
		Expect(d.Targets).To(HaveLen(targets))
		Expect(d.Version).To(Equal(uint64(7)))
		Expect(d.Sequence).To(BeNumerically("<", targets))
	})
})

var _ = Describe("announcements that arrive while a change is in progress", func() {
	var a *announcer
	var changes chan catalog.Change
	var outcome, results chan error
	announce := func(n int) {
		for k := 0; k < n; k++ {
			x := &announcing{a.announce, k, results}
			go x.run()
		}
	}
	waiting := func() int {
		a.mu.Lock()
		defer a.mu.Unlock()
		return len(a.waiting)
	}
	BeforeEach(func() {
		changes, outcome, results = make(chan catalog.Change, 9), make(chan error, 9), make(chan error, 500)
		stopped := make(chan struct{})
		submitted, results := changes, outcome
		a = &announcer{Stopped: stopped, Submit: func(c catalog.Change) error { submitted <- c; return <-results }}
		a.Run()
		DeferCleanup(func() { close(stopped) })
	})

	// Guards against a proposal for each target when thousands of them start.
	It("become one change, and are acknowledged only with all of it", func() {
		announce(1)
		Eventually(changes, waitTimeout).Should(Receive(HaveField("Targets", HaveLen(1))), "a single announcement is not delayed")
		announce(100)
		Eventually(waiting, waitTimeout).Should(Equal(100))
		outcome <- nil
		Eventually(results, waitTimeout).Should(Receive(BeNil()))
		Eventually(changes, waitTimeout).Should(Receive(HaveField("Targets", HaveLen(100))))
		Expect(results).NotTo(Receive())
		outcome <- Unavailable{Cause: "the leader is lost"}
		for k := 0; k < 100; k++ {
			Eventually(results, waitTimeout).Should(Receive(MatchError(Unavailable{Cause: "the leader is lost"})))
		}
	})

	// Guards against targets that call one process after the other, all of which refuse,
	// while the processes elect a leader.
	It("wait for a leader to be known for a while", func() {
		announce(1)
		outcome <- Unavailable{Cause: "none", NotProposed: true}
		outcome <- nil
		Eventually(results, waitTimeout).Should(Receive(BeNil()))
	})

	// Guards against announcements that wait for the time limit of a call to a lost
	// leader although there is a new one.
	It("do not wait for a change without an outcome", func() {
		announce(1)
		Eventually(changes, waitTimeout).Should(Receive())
		announce(1)
		Eventually(changes, announceTimeout.Duration()).Should(Receive())
		outcome <- nil
		outcome <- nil
	})
})
