package experiment

import (
	"sort"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/carawayrack/carawayrack/load"
	"github.com/carawayrack/carawayrack/refusal"
	"github.com/carawayrack/carawayrack/standin"
)

// Report is the result of one system under load and faults.
type Report struct {
	System     string `json:"system"`
	Deployment string `json:"deployment"`
	Hosts      int    `json:"hosts"`
	Sent       int    `json:"sent"`
	Served     int    `json:"served"`
	Failed     int    `json:"failedOrWrong"`
	// DetectSlow and DetectFailing are the times in milliseconds from the start
	// of a fault to the last request before a pause, a time of more than 2 s
	// without requests to the target; -1 if there was no pause.
	DetectSlow    int64 `json:"detectSlowMillis"`
	DetectFailing int64 `json:"detectFailingMillis"`
	// FalseEjections counts pauses in the requests to targets without a fault
	// that are not in the evacuated zone.
	FalseEjections int `json:"falseEjections"`
	// WorstServed is the share of its entitlement that the worst-served account
	// got, in per mille, and at most 1000. WorstAccount is its name, empty if
	// every account got its entitlement.
	WorstServed  int    `json:"worstServedPerMille"`
	WorstAccount string `json:"worstAccount"`
	// WrongfulRefusals estimates the number of requests refused for exceeding the
	// rate limit although the account was within it: the sum over the accounts of
	// all refusals for exceeding the rate limit, but for each account at most its
	// entitlement minus the requests served.
	WrongfulRefusals int `json:"wrongfulRefusals"`
	// ZoneServed is the number of requests served from the evacuation of the zone
	// until some time after its restoration (see addZone), in per mille of those
	// served in an equal time before, for accounts within their rate.
	ZoneServed int `json:"zoneServedPerMille"`
	// ZoneLate counts requests to targets in the zone later than 3 s after its
	// evacuation and before its restoration.
	ZoneLate int `json:"zoneLate"`
	// P50 and P99 are quantiles of the latency in microseconds without the work
	// time of the target, for accounts within their rate before the faults.
	P50 int64 `json:"addedP50Micros"`
	P99 int64 `json:"addedP99Micros"`
	// OverCapacity, OverRate and KeysSeen count violations that targets saw:
	// requests beyond their capacity, beyond an account's rate and burst, and
	// with a caller's key.
	OverCapacity int `json:"overBorne"`
	OverRate     int `json:"overRate"`
	KeysSeen     int `json:"keysSeen"`
}

const (
	minPause = 2 * time.Second
	// perMille also converts between milliseconds and microseconds.
	perMille  = 1000
	zoneGrace = 3 * time.Second
	// rateSlack is the time by which requests may bunch up between the
	// consumption of a token and their arrival at the target.
	rateSlack = 50 * time.Millisecond
)

func (r *Report) addCallers(l []*load.Result, t Timeline) {
	added := hdrhistogram.New(1, 60_000_000, 3)
	r.WorstServed = perMille
	for _, x := range l {
		r.Sent += x.Sent
		r.Served += x.OK
		r.Failed += x.Failed + x.Wrong
		if x.Entitled > 0 {
			if s := x.OK * perMille / x.Entitled; s < r.WorstServed {
				r.WorstServed, r.WorstAccount = s, x.Account
			}
		}
		r.WrongfulRefusals += min(x.Refused[refusal.RateExceeded], max(x.Entitled-x.OK, 0))
		if x.Account != greedy {
			added.Merge(x.Latency)
		}
	}
	r.P50 = added.ValueAtQuantile(50) - int64(work)*perMille
	r.P99 = added.ValueAtQuantile(99) - int64(work)*perMille
	r.addZone(l, t)
}

// addZone compares the requests served from the evacuation of the zone until
// half the length of the evacuation after its restoration with those served in an
// equal time before.
func (r *Report) addZone(l []*load.Result, t Timeline) {
	length := (t.Restore - t.Evacuate).Milliseconds() * 3 / 2
	from := t.Evacuate.Milliseconds()
	during, before := 0, 0
	for _, x := range l {
		if x.Account == greedy {
			continue
		}
		for _, at := range x.ServedAt {
			switch {
			case at >= from && at < from+length:
				during++
			case at >= from-length && at < from:
				before++
			}
		}
	}
	r.ZoneServed = during * perMille / max(before, 1)
}

// addTarget evaluates the arrivals at one target since start. faultAt is the
// start of its fault, 0 for none, and end the end of the fault; all times are in
// microseconds. It returns the time in milliseconds from the fault to the last
// request before the first pause after it, -1 if there was none. For targets
// without a fault and outside the evacuated zone it counts pauses as false
// ejections.
func (r *Report) addTarget(s standin.Stats, start, faultAt, end int64, inEvacuatedZone bool) int64 {
	last := start
	for _, a := range s.Arrivals {
		if a.At < start {
			continue
		}
		if gap := a.At - last; gap > minPause.Microseconds() && last > start {
			if faultAt > 0 && last >= faultAt {
				return (last - faultAt) / perMille
			}
			if faultAt == 0 && !inEvacuatedZone {
				r.FalseEjections++
			}
		}
		last = a.At
	}
	if faultAt > 0 && end-last > minPause.Microseconds() {
		return max(last-faultAt, 0) / perMille
	}
	return -1
}

// addRates counts the arrivals beyond the rate and burst of each account.
func (r *Report) addRates(l []standin.Arrival, accounts []load.Account) {
	sort.Slice(l, func(i, j int) bool { return l[i].At < l[j].At })
	for _, a := range accounts {
		capacity := float64(a.Burst) + rateSlack.Minutes()*float64(a.RatePerMinute)
		tokens, at := capacity, int64(0)
		for _, x := range l {
			if x.Account != a.Name {
				continue
			}
			tokens = min(tokens+float64(x.At-at)/float64(time.Minute.Microseconds())*float64(a.RatePerMinute), capacity)
			at = x.At
			if tokens < 1 {
				r.OverRate++
				continue
			}
			tokens--
		}
	}
}
