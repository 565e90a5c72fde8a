package coordinator

import (
	"fmt"
	"testing"

	"github.com/carawayrack/carawayrack/catalog"
	"github.com/carawayrack/carawayrack/clock"
)

// newBenchLeader returns the lender and the absence of a leader in front of a number of
// hosts, with 190 accounts, and the control processes' reports of these hosts.
func newBenchLeader(hosts int) (*lender, *fleetTable, *absence) {
	c := &catalog.Config{}
	for i := range 190 {
		c.Accounts = append(c.Accounts, catalog.Account{Name: fmt.Sprintf("account%d", i), Rate: 100, Burst: 100})
	}
	l := &lender{}
	l.run()
	l.setLeading(0, true, c)
	l.lendUntil = 1 << 60
	f := &fleetTable{}
	f.run()
	f.setLeading(0, true)
	for i := range hosts {
		h := Host{ID: fmt.Sprintf("host%d", i), Zone: fmt.Sprintf("z%d", i%4), Narrow: hosts > 100}
		x := f.cores[h.Zone]
		if x == nil {
			x = &coreRow{}
			f.cores[h.Zone] = x
		}
		x.hosts = append(x.hosts, h)
		f.lastFleet.Hosts = append(f.lastFleet.Hosts, h)
	}
	sortHosts(f.lastFleet.Hosts)
	a := &absence{MaxAge: 4300}
	a.lead(0, f.lastFleet.Hosts)
	return l, f, a
}

func BenchmarkBorrow(b *testing.B) {
	for _, n := range []int{4, 44, 422} {
		l, _, _ := newBenchLeader(n)
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			for i := range b.N {
				l.borrow(clock.Millis(i/10), BorrowArgs{Account: "account7", Tokens: 1, Ahead: 1})
			}
		})
	}
}

// BenchmarkAbsence is what the leader does each absenceInterval while a tenth of the hosts is
// absent.
func BenchmarkAbsence(b *testing.B) {
	for _, n := range []int{4, 44, 422} {
		l, f, a := newBenchLeader(n)
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			for i := range b.N {
				now := clock.Millis(i+1) * absenceInterval
				for _, x := range f.cores {
					x.at, x.silent = now, nil
				}
				f.cores["z0"].silent = []string{"host0", "host40", "host400"}
				at, leaving := f.contacts()
				l.debitAll(now, a.update(now, at, leaving, f.lastFleet.Hosts))
			}
		})
	}
}
