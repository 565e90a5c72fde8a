package slots

import (
	"maps"

	"github.com/carawayrack/carawayrack/clock"
)

// TargetDump describes a target for operators.
type TargetDump struct {
	Announcement Announcement `json:"announcement"`
	Limit        int          `json:"limit"`
	InUse        int          `json:"inUse"`
	Warm         bool         `json:"warm"`
	Ejected      bool         `json:"ejected"`
	Probation    bool         `json:"probation"`
	LatencyMicro int64        `json:"latencyMicros"`
	FailuresMill int          `json:"failuresPerMille"`
}

// Dump describes a pool for operators.
type Dump struct {
	Service  string                `json:"service"`
	Term     uint64                `json:"term"`
	Healthy  int                   `json:"healthySlots"`
	Floor    int                   `json:"floorSlots"`
	Waiting  int                   `json:"waiting"`
	Held     map[string]int        `json:"heldByAccount"`
	Awaiting int                   `json:"awaitedHosts"`
	Targets  map[string]TargetDump `json:"targets"`
}

// Dump returns a description of the pool for operators.
func (p *Pool) Dump(now clock.Millis) Dump {
	d := Dump{Service: p.Service.Name, Term: p.term, Waiting: p.queue.size, Held: maps.Clone(p.queue.held), Awaiting: len(p.unreported), Targets: map[string]TargetDump{}}
	d.Healthy, d.Floor = p.HealthySlots(now)
	for n, t := range p.targets {
		d.Targets[n] = TargetDump{
			Announcement: t.ann, Limit: t.limit, InUse: t.inUse(), Warm: t.warm, Ejected: t.ejected(now),
			Probation: t.probation, LatencyMicro: t.stats.latency, FailuresMill: t.stats.failureRate,
		}
	}
	return d
}
