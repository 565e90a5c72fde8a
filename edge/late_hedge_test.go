package edge

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/carawayrack/carawayrack/balance"
)

var _ = Describe("a hedge", func() {
	// Guards against a request that waits for its deadline at a target that does not
	// respond, because no other target had a free slot at the moment of its hedge.
	It("starts later if no target has a free slot", func() {
		hung, other := newStandin("t1", ok), newStandin("t2", ok)
		hung.silent = true
		w := newTestHost(hung)
		first := make(chan response, 1)
		l := &slowCaller{w.server.URL + "/safe/", first}
		go l.run()
		Eventually(hung.requests).Should(Equal(1))
		w.set(hung, other)
		// All slots of the other target are in use until after the first try.
		var taken []balance.Choice
		for range 8 {
			x, ok := w.host.waitForTarget(context.Background(), &pendingPick{service: "s", request: balance.Request{Avoid: []string{"t1"}}})
			Expect(ok).To(BeTrue())
			taken = append(taken, x)
		}
		time.AfterFunc(700*time.Millisecond, func() {
			for _, x := range taken {
				w.host.view.attemptDone(w.host.Clock.Now(), "s", x.ID, balance.Result{Outcome: balance.Cancelled})
			}
		})
		var r response
		Eventually(first, 5*time.Second).Should(Receive(&r))
		Expect(r.status).To(Equal(200))
	})
})
