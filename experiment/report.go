package experiment

import (
	"sort"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/carawayrack/carawayrack/load"
	"github.com/carawayrack/carawayrack/refusal"
	"github.com/carawayrack/carawayrack/standin"
)

// Report is what one system did under load and faults.
type Report struct {
	System     string `json:"system"`
	Deployment string `json:"deployment"`
	Hosts      int    `json:"hosts"`
	Sent       int    `json:"sent"`
	Served     int    `json:"served"`
	Failed     int    `json:"failedOrWrong"`
	// DetectSlow and DetectFailing are the times from the start of a fault
	// to the last request before a pause, -1 if there was no pause.
	DetectSlow    int64 `json:"detectSlowMillis"`
	DetectFailing int64 `json:"detectFailingMillis"`
	// FalseEjections counts pauses of targets that were in order.
	FalseEjections int `json:"falseEjections"`
	// WorstServed is the smallest share of its entitlement that an account
	// was served, in per mille.
	WorstServed  int    `json:"worstServedPerMille"`
	WorstAccount string `json:"worstAccount"`
	// WrongfulRefusals counts requests refused for the rate of accounts
	// that were within it.
	WrongfulRefusals int `json:"wrongfulRefusals"`
	// ZoneServed is the share of requests of accounts within their rate that
	// were answered while the zone left and returned, in per mille.
	ZoneServed int `json:"zoneServedPerMille"`
	// ZoneLate counts requests in the zone more than 3 s after it was out.
	ZoneLate int `json:"zoneLate"`
	// P50 and P99 are latencies beyond the work of the target, of accounts
	// within their rate, before the faults begin.
	P50 int64 `json:"addedP50Micros"`
	P99 int64 `json:"addedP99Micros"`
	// Violations of limits, as the targets count them.
	OverCapacity int `json:"overBorne"`
	OverRate  int `json:"overRate"`
	KeysSeen  int `json:"keysSeen"`
}

const (
	pause     = 2 * time.Second
	perMille  = 1000
	zoneGrace = 3 * time.Second
	// rateSlack is the time by which requests may bunch up on their way from
	// the spending of a token to the target.
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

// addZone compares the answers while the zone left and returned with those in
// as long a time before.
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

// addTarget looks at the arrivals of one target. faultAt is 0 for targets in
// order.
func (r *Report) addTarget(s standin.Stats, start, faultAt, end int64, zoneAway bool) int64 {
	last := start
	for _, a := range s.Arrivals {
		if a.At < start {
			continue
		}
		if gap := a.At - last; gap > pause.Microseconds() && last > start {
			if faultAt > 0 && last >= faultAt {
				return (last - faultAt) / perMille
			}
			if faultAt == 0 && !zoneAway {
				r.FalseEjections++
			}
		}
		last = a.At
	}
	if faultAt > 0 && end-last > pause.Microseconds() {
		return max(last-faultAt, 0) / perMille
	}
	return -1
}

// addRates counts the arrivals beyond the rate and burst of each account.
func (r *Report) addRates(l []standin.Arrival, accounts []load.Account) {
	sort.Slice(l, func(i, j int) bool { return l[i].At < l[j].At })
	for _, a := range accounts {
		room := float64(a.Burst) + rateSlack.Minutes()*float64(a.RatePerMinute)
		level, at := room, int64(0)
		for _, x := range l {
			if x.Account != a.Name {
				continue
			}
			level = min(level+float64(x.At-at)/float64(time.Minute.Microseconds())*float64(a.RatePerMinute), room)
			at = x.At
			if level < 1 {
				r.OverRate++
				continue
			}
			level--
		}
	}
}
