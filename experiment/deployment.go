// Package experiment measures the product and the baselines on the same load
// with the same faults, by what callers and targets see.
package experiment

import (
	"time"

	"github.com/carawayrack/carawayrack/clock"
	"github.com/carawayrack/carawayrack/load"
	"github.com/carawayrack/carawayrack/operator"
)

// Deployment is one of the users' deployments.
type Deployment struct {
	Name  string
	Zones int
	// First and Second are the services, with their numbers of targets.
	First, Second           string
	FirstCount, SecondCount int
	Slots                   int
}

// The deployments of today.
var (
	Association = Deployment{Name: "association", Zones: 4, First: "portal", Second: "review", FirstCount: 25, SecondCount: 10, Slots: 3}
	Vaerksted   = Deployment{Name: "vaerksted", Zones: 4, First: "desk", Second: "archive", FirstCount: 25, SecondCount: 10, Slots: 2}
)

// Target behaviour in experiments.
const (
	work      = 20 * clock.Millis(1)
	coldSlots = 1
	coldFor   = 1500 * clock.Millis(1)
	// slowBy and failPercent are the gray faults of two targets.
	slowBy      = 200 * clock.Millis(1)
	failPercent = 60
)

// tenant is the load of one account.
type tenant struct {
	name string
	// perSecond is what the account is entitled to, times what it sends.
	perSecond float64
	times     float64
}

// greedy is the account that sends several times its rate.
const greedy = "greedy"

// tenants are eight accounts, a few of them large, one of which sends several
// times its rate.
var tenants = []tenant{
	{"large-1", 80, 0.7}, {"large-2", 60, 0.7}, {"small-1", 8, 0.7}, {"small-2", 8, 0.7},
	{"small-3", 6, 0.7}, {"small-4", 4, 0.7}, {"small-5", 4, 0.7}, {greedy, 30, 5},
}

const (
	burstSeconds = 1
	secondsInMin = 60
)

// Configuration returns accounts, services and routes.
func (d Deployment) Configuration() *operator.Configuration {
	c := operator.New().Service(d.First).Service(d.Second).Route("/"+d.First, d.First).Route("/"+d.Second, d.Second)
	for _, t := range tenants {
		c.Account(t.name, int(t.perSecond*secondsInMin), max(int(t.perSecond*burstSeconds), 2))
	}
	return c
}

// Load returns the load of all accounts; keys maps account names to keys.
func (d Deployment) Load(entry []string, keys map[string]string, seed uint64) *load.Load {
	l := &load.Load{EntryHosts: entry, Seed: seed}
	for i, a := range d.Configuration().Accounts {
		t := tenants[i]
		s := d.First
		if i%4 == 3 {
			s = d.Second
		}
		l.Accounts = append(l.Accounts, load.Account{
			Name: a.Name, Key: keys[a.Name], PerSecond: t.perSecond * t.times, RatePerMinute: a.RatePerMinute,
			Burst: a.Burst, Path: "/" + s + "/x?x=1", Zone: "z1",
		})
	}
	return l
}

// Timeline is when faults begin and end, from the start of the load.
type Timeline struct {
	SetFaults    time.Duration
	Evacuate time.Duration
	Restore    time.Duration
	End     time.Duration
}

// NewTimeline returns a timeline of a length.
func NewTimeline(d time.Duration) Timeline {
	return Timeline{SetFaults: d * 3 / 10, Evacuate: d * 6 / 10, Restore: d * 8 / 10, End: d}
}
