// Package experiment compares the product with the baselines under the same load
// and faults, by what callers and targets observe.
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
	// First and Second are the names of the services, FirstCount and
	// SecondCount their numbers of targets. Slots is the number of slots of
	// each target.
	First, Second           string
	FirstCount, SecondCount int
	Slots                   int
}

// The current deployments.
var (
	Association = Deployment{Name: "association", Zones: 4, First: "portal", Second: "review", FirstCount: 25, SecondCount: 10, Slots: 3}
	Vaerksted   = Deployment{Name: "vaerksted", Zones: 4, First: "desk", Second: "archive", FirstCount: 25, SecondCount: 10, Slots: 2}
)

// Behaviour of the targets in experiments.
const (
	work      = 20 * clock.Millis(1)
	coldSlots = 1
	coldFor   = 1500 * clock.Millis(1)
	// slowBy is the delay of the slow target, failPercent the share of requests
	// that fail at the failing target.
	slowBy      = 200 * clock.Millis(1)
	failPercent = 60
)

// accountLoad is the load of one account.
type accountLoad struct {
	name string
	// perSecond is the rate that the account is entitled to, sentFactor the
	// rate at which it sends as a multiple of that.
	perSecond  float64
	sentFactor float64
}

// greedy is the account that sends several times its rate.
const greedy = "greedy"

// accountLoads holds eight accounts. A few are large, and one sends several
// times its rate.
var accountLoads = []accountLoad{
	{"large-1", 80, 0.7}, {"large-2", 60, 0.7}, {"small-1", 8, 0.7}, {"small-2", 8, 0.7},
	{"small-3", 6, 0.7}, {"small-4", 4, 0.7}, {"small-5", 4, 0.7}, {greedy, 30, 5},
}

const (
	burstSeconds = 1
	secondsInMin = 60
)

// Configuration returns the accounts, services and routes of the deployment.
func (d Deployment) Configuration() *operator.Configuration {
	c := operator.New().Service(d.First).Service(d.Second).Route("/"+d.First, d.First).Route("/"+d.Second, d.Second)
	for _, t := range accountLoads {
		c.Account(t.name, int(t.perSecond*secondsInMin), max(int(t.perSecond*burstSeconds), 2))
	}
	return c
}

// Load returns the load of all accounts. keys maps account names to keys; every
// fourth account uses the second service.
func (d Deployment) Load(entry []string, keys map[string]string, seed uint64) *load.Load {
	l := &load.Load{EntryHosts: entry, Seed: seed}
	for i, a := range d.Configuration().Accounts {
		t := accountLoads[i]
		s := d.First
		if i%4 == 3 {
			s = d.Second
		}
		l.Accounts = append(l.Accounts, load.Account{
			Name: a.Name, Key: keys[a.Name], PerSecond: t.perSecond * t.sentFactor, RatePerMinute: a.RatePerMinute,
			Burst: a.Burst, Path: "/" + s + "/x?x=1", Zone: "z1",
		})
	}
	return l
}

// Timeline holds the times of the events of a run, from the start of the load:
// the gray faults begin at SetFaults and end at Evacuate, when a zone is
// evacuated; the zone is restored at Restore, and the load ends at End.
type Timeline struct {
	SetFaults time.Duration
	Evacuate  time.Duration
	Restore   time.Duration
	End       time.Duration
}

// NewTimeline returns the timeline of a run of a given length.
func NewTimeline(d time.Duration) Timeline {
	return Timeline{SetFaults: d * 3 / 10, Evacuate: d * 6 / 10, Restore: d * 8 / 10, End: d}
}
