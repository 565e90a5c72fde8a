package coordinator

import (
	"fmt"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/carawayrack/carawayrack/clock"
)

var _ = Describe("what a host has spent alone", func() {
	newTable := func() (*fleetTable, func(now clock.Millis, instance, round uint64, spent int, spentFor clock.Millis) int) {
		t := &fleetTable{}
		t.run()
		return t, func(now clock.Millis, instance, round uint64, spent int, spentFor clock.Millis) int {
			return t.recordHost(now, ExchangeArgs{
				Host: Host{ID: "h"}, Instance: instance, SpentRound: round, Spent: map[string]int{"x": spent}, SpentFor: spentFor,
			})["x"]
		}
	}

	// Guards against hosts whose exchanges arrive, but get no reply: they send the same again.
	It("is counted once, and not after a silence for which the leader counts the host as absent", func() {
		t, record := newTable()
		Expect(record(100, 1, 1, 3, 100)).To(Equal(3))
		Expect(record(200, 1, 1, 5, 200)).To(Equal(2))
		Expect(record(300, 1, 1, 5, 300)).To(Equal(0))
		Expect(record(400, 1, 2, 4, 100)).To(Equal(4))
		Expect(record(500+silentAfter, 1, 2, 50, 600)).To(Equal(46), "nobody has counted the host yet")
		silent, _ := t.silentHosts(600 + 2*silentAfter)
		Expect(silent).To(Equal([]string{"h"}))
		Expect(record(600+2*silentAfter, 1, 2, 90, 1200)).To(Equal(0))
		Expect(record(700+2*silentAfter, 1, 3, 2, 100)).To(Equal(2))
	})

	// Guards against hosts that change the control process before the leader counts them as
	// absent: neither of the two counted what they had spent.
	It("is counted by a control process that does not know the host, unless the leader has done so", func() {
		_, record := newTable()
		Expect(record(0, 1, 0, 9, countedAfter)).To(Equal(9))
		_, record = newTable()
		Expect(record(0, 1, 0, 9, countedAfter+1)).To(Equal(0))
		Expect(record(100, 2, 0, 7, countedAfter+1)).To(Equal(0), "the host has restarted")
	})
})

var _ = Describe("the control processes to which targets of another zone are sent", func() {
	// Guards against all targets of a zone at its first process, and against a target
	// that is sent to a lost process as long as that is listed.
	It("share the targets, and change with each announcement", func() {
		f := &fleetTable{Settings: Settings{Peer: "here", Zone: "z0"}, lastFleet: &Fleet{}}
		for k := 0; k < 12; k++ {
			f.lastFleet.Cores = append(f.lastFleet.Cores, Core{Addr: fmt.Sprint(k), Zone: fmt.Sprint("z", k%3)})
		}
		count := map[string]int{}
		for k := 0; k < 400; k++ {
			t := testTarget(fmt.Sprint("t", k), 1, uint64(1+k%7))
			a := f.coreFor(t)
			count[a]++
			t.Number++
			Expect(f.coreFor(t)).NotTo(Equal(a))
		}
		Expect(count).To(HaveLen(4))
		for a, n := range count {
			Expect(n).To(BeNumerically("<", 200), a)
		}
		t := testTarget("t", 1, 1)
		t.Zone = "z0"
		Expect(f.coreFor(t)).To(Equal("here"))
		t.Zone = "z9"
		Expect(f.coreFor(t)).To(BeEmpty())
	})
})
