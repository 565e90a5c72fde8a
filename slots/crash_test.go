package slots

import (
	"strconv"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/carawayrack/carawayrack/clock"
	"github.com/carawayrack/carawayrack/config"
	"github.com/carawayrack/carawayrack/journal"
)

var _ = Describe("a request that crashes the only target of its service", func() {
	// run sends a request each 10 s to a target, which starts again after each crash. It
	// returns the number of requests that reached the target.
	run := func(outcome func(i int) Outcome) int {
		p := &Pool{
			Service: config.Service{Name: "s"}.WithDefaults(), HostLapse: testLapse,
			Journal: func(journal.Event) {}, Violated: func(invariant, detail string) { Fail(invariant + ": " + detail) },
		}
		p.Run()
		p.Lead(0, 1, nil)
		granted := 0
		for i := range 6 {
			now := clock.Millis(i+1) * 10 * clock.Second
			p.Announce(now, Announcement{Service: "s", Target: "t", Addr: "a", Incarnation: strconv.Itoa(i), Slots: 4, State: Ready})
			p.Acquire(now, Request{Ticket: uint64(i), Service: "s", Account: "a", Host: "h", Fingerprint: "f", Wait: 100, Deadline: 1000})
			for _, r := range p.TakeResults() {
				if r.Grant != nil {
					granted++
					p.Release(now+50, Release{ID: r.Grant.ID, Service: "s", Target: "t", Host: "h", Outcome: outcome(i), Fingerprint: "f"})
				}
			}
		}
		return granted
	}

	// Guards against a target that comes back under its name and crashes again and again.
	It("is quarantined after quarantineTargets incarnations have crashed", func() {
		Expect(run(func(int) Outcome { return Died })).To(Equal(quarantineTargets))
	})

	It("is not quarantined if the target answers it between its crashes", func() {
		Expect(run(func(i int) Outcome { return []Outcome{Died, OK}[i%2] })).To(Equal(6))
	})
})
