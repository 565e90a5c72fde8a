package edge

import (
	"context"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"github.com/carawayrack/carawayrack/catalog"
	"github.com/carawayrack/carawayrack/clock"
	"github.com/carawayrack/carawayrack/coordinator"
	"github.com/carawayrack/carawayrack/rollout"
)

// translateSafe returns a configuration with one route whatever the document is.
func translateSafe([]byte) (*catalog.Config, error) {
	return &catalog.Config{
		Version: 1, Services: []catalog.Service{{Name: "s"}},
		Routes: []catalog.Route{{
			Name: "r", Host: "h", Prefix: "/", Kind: catalog.Idempotent, Timeout: 2000, Objective: 500, Attempts: 2, Open: true,
			Parts: []catalog.Part{{Service: "s", Weight: 1}},
		}},
	}, nil
}

// rolloutCaller sends a request every 10 ms until it is stopped.
type rolloutCaller struct {
	url    string
	failed atomic.Int32
	stop   context.Context
}

func (c *rolloutCaller) run() {
	k := &http.Client{Timeout: 3 * time.Second}
	for c.stop.Err() == nil {
		q, err := http.NewRequest(http.MethodGet, c.url+"/x", nil)
		if err != nil {
			return
		}
		q.Host = "h"
		q.Header.Set("Req-Id", "r1")
		if r, err := k.Do(q); err != nil || r.StatusCode != http.StatusOK {
			c.failed.Add(1)
		} else {
			_, _ = io.Copy(io.Discard, r.Body)
			_ = r.Body.Close()
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// progressClock is a time of day that stands still while a control process does not
// respond: a machine that holds it up for seconds, as slow syncs do, must not use up the
// time limit of a roll-out.
type progressClock struct {
	core *coordinator.Coordinator
	now  atomic.Int64
	stop context.Context
}

func newProgressClock(core *coordinator.Coordinator, stop context.Context) *progressClock {
	c := &progressClock{core: core, stop: stop}
	c.now.Store(time.Now().UnixMilli())
	core.Wall.Read = c.read
	return c
}

func (c *progressClock) read() clock.Millis { return clock.Millis(c.now.Load()) }

func (c *progressClock) run() {
	const interval = 10 * time.Millisecond
	for c.stop.Err() == nil {
		time.Sleep(interval)
		if _, err := c.core.State(); err == nil {
			c.now.Add(interval.Milliseconds())
		}
	}
}

var _ = Describe("a host and a control process", func() {
	const bad = "HTTP/1.1 500 no\r\nReq-Id: ID\r\nContent-Length: 0\r\n\r\n"
	// run orders a roll-out of a version whose targets answer as given, and returns
	// the state in which it ends, and the requests to the old and the new targets
	// within a second after it.
	run := func(script ...string) (state catalog.RolloutState, old, fresh int, failed int32) {
		peer := freeAddress()
		core := &coordinator.Coordinator{
			Settings: coordinator.Settings{
				Zone: "z", Data: GinkgoT().TempDir(), Peer: peer, Seeds: []string{peer}, Bootstrap: true, Secret: "s",
				Rollouts: rollout.Settings{ExposureShare: 0.1, ExposureSlack: 50, Rollback: 5000, Revocation: 5000},
			},
			Log: zap.NewNop(), Translate: translateSafe,
		}
		x, stop := context.WithCancel(context.Background())
		wall := newProgressClock(core, x)
		Expect(core.Run()).To(Succeed())
		DeferCleanup(core.Stop)
		defer stop()
		go wall.run()
		Eventually(func() error { _, err := core.Configure([]byte("1")); return err }, "20s").Should(Succeed())
		targets := map[string][]*standin{}
		for i, id := range []string{"v1-a", "v1-b", "v2-a", "v2-b"} {
			t := newStandin(id, ok)
			if strings.HasPrefix(id, "v2") {
				t = newStandin(id, script...)
			}
			v := id[:2]
			targets[v] = append(targets[v], t)
			a := catalog.Target{ID: id, Version: v, Service: "s", Addr: t.ln.Addr().String(), Zone: "z", Born: int64(i + 1), Number: 1, Phase: catalog.Serving, Slots: 8}
			Eventually(func() error { _, err := core.Announce(a); return err }, "20s").Should(Succeed())
		}
		h := &Host{
			Settings: Settings{
				ID: "h", Zone: "z", Callers: freeAddress(), Ready: freeAddress(), Peer: freeAddress(), Secret: "s",
				Cores: func() []string { return []string{peer} }, MaxConfigAge: 4300, MaxRefusalAge: 1300,
				Retry: RetryBudget{Ratio: 0.2, Slack: 60}, Grace: 300,
			},
			Headers: testHeaders, Clock: clock.Boot(), Log: zap.NewNop(), Translate: translateSafe, ReadyPath: "/ready",
		}
		Expect(h.Run()).To(Succeed())
		DeferCleanup(h.Stop)
		Eventually(h.Ready, "20s").Should(BeTrue())
		c := &rolloutCaller{url: "http://" + h.Settings.Callers, stop: x}
		go c.run()
		Expect(core.StartRollout("s", "v2", 6000)).To(Succeed())
		Eventually(func() catalog.RolloutState {
			r, err := core.Rollout("s")
			if err != nil {
				return ""
			}
			return r.State
		}, "60s", "20ms").ShouldNot(BeElementOf(catalog.RolloutRunning, catalog.RolloutState("")))
		r, err := core.Rollout("s")
		Expect(err).NotTo(HaveOccurred())
		seen := func(v string) int {
			n := 0
			for _, t := range targets[v] {
				t.mu.Lock()
				n += len(t.seen)
				t.mu.Unlock()
			}
			return n
		}
		if r.State == catalog.RolloutRolledBack {
			// The host learns of the last step within 0.5 s; rollbackMs allows for it.
			time.Sleep(time.Second)
		}
		o, f := seen("v1"), seen("v2")
		time.Sleep(time.Second)
		return r.State, seen("v1") - o, seen("v2") - f, c.failed.Load()
	}

	// Guards against counts that do not reach the leader, and against requests to old
	// targets after the roll-out is completed.
	It("complete the roll-out of a good version, and then use no old target", func() {
		state, old, fresh, failed := run(ok)
		Expect(state).To(Equal(catalog.RolloutCompleted))
		Expect(old).To(Equal(0))
		Expect(fresh).To(BeNumerically(">", 10))
		Expect(failed).To(Equal(int32(0)))
	})

	It("complete the roll-out of a version with one failed response of each target", func() {
		state, _, _, _ := run(bad, ok)
		Expect(state).To(Equal(catalog.RolloutCompleted))
	})

	It("roll a bad version back, and then use no new target", func() {
		state, old, fresh, _ := run(bad)
		Expect(state).To(Equal(catalog.RolloutRolledBack))
		Expect(fresh).To(Equal(0))
		Expect(old).To(BeNumerically(">", 10))
	})
})
