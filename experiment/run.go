package experiment

import (
	"context"
	"time"

	"github.com/carawayrack/carawayrack/lab"
	"github.com/carawayrack/carawayrack/load"
	"github.com/carawayrack/carawayrack/standin"
)

// Run describes the measurement of one system.
type Run struct {
	Deployment Deployment
	System     *System
	Hosts      int
	Length     time.Duration
	Seed       uint64

	groups  []*standin.Group
	start   time.Time
	slow    *standin.Target
	failing *standin.Target
	zoneErr error
}

// warmUpTime is the time for which load is sent before the measurement.
const warmUpTime = 5 * time.Second

// refillTime is longer than any account's token bucket takes to fill up.
const refillTime = 2 * time.Second

// Measure starts the targets, sends the load, injects the faults and returns the
// report. It returns an error if a target can't start or the zone can't be
// evacuated or restored.
func (r *Run) Measure() (*Report, error) {
	d := r.Deployment
	for _, g := range []struct {
		name  string
		count int
	}{{d.First, d.FirstCount}, {d.Second, d.SecondCount}} {
		x := &standin.Group{
			Service: g.name, Count: g.count, Zones: d.Zones, Admin: r.System.Admin, Secret: lab.Secret,
			Slots: d.Slots, ColdSlots: coldSlots, ColdFor: coldFor, Work: work,
		}
		if err := x.Run(); err != nil {
			return nil, err
		}
		defer x.Close()
		r.groups = append(r.groups, x)
	}
	l := d.Load(r.System.EntryHosts, r.System.Keys, r.Seed)
	l.Run(context.Background(), warmUpTime)
	// Wait until the token buckets are full, as those of the load are at its
	// start.
	time.Sleep(refillTime)
	t := NewTimeline(r.Length)
	l.LatencyFor = t.SetFaults
	r.start = time.Now()
	r.slow, r.failing = r.groups[0].Targets[0], r.groups[0].Targets[5]
	go r.run(t)
	res := l.Run(context.Background(), r.Length)
	return r.report(l.Accounts, res, t), r.zoneErr
}

// run injects the faults.
func (r *Run) run(t Timeline) {
	time.Sleep(t.SetFaults)
	r.slow.SetFault(standin.Fault{Slow: slowBy})
	r.failing.SetFault(standin.Fault{ErrorPercent: failPercent})
	time.Sleep(t.Evacuate - t.SetFaults)
	r.slow.SetFault(standin.Fault{})
	r.failing.SetFault(standin.Fault{})
	if err := r.System.SetZoneEvacuated("z3", true); err != nil {
		r.zoneErr = err
	}
	time.Sleep(time.Until(r.start.Add(t.Restore)))
	if err := r.System.SetZoneEvacuated("z3", false); err != nil {
		r.zoneErr = err
	}
}

func (r *Run) report(accounts []load.Account, res []*load.Result, t Timeline) *Report {
	p := &Report{System: r.System.Name, Deployment: r.Deployment.Name, Hosts: r.Hosts}
	p.addCallers(res, t)
	at := func(d time.Duration) int64 { return standin.Micros(r.start.Add(d)) }
	var all []standin.Arrival
	for _, g := range r.groups {
		for _, x := range g.Targets {
			s := x.Stats()
			all = append(all, s.Arrivals...)
			p.OverCapacity += s.OverCapacity + s.OverCapacityUnannounced
			p.KeysSeen += s.KeysSeen
			r.addTarget(p, x, s, t, at)
		}
	}
	p.addRates(all, accounts)
	return p
}

func (r *Run) addTarget(p *Report, x *standin.Target, s standin.Stats, t Timeline, at func(time.Duration) int64) {
	inEvacuatedZone := x.Zone == "z3"
	if inEvacuatedZone {
		for _, a := range s.Arrivals {
			if a.At > at(t.Evacuate+zoneGrace) && a.At < at(t.Restore) {
				p.ZoneLate++
			}
		}
	}
	switch x {
	case r.slow:
		p.DetectSlow = p.addTarget(s, at(0), at(t.SetFaults), at(t.Evacuate), inEvacuatedZone)
	case r.failing:
		p.DetectFailing = p.addTarget(s, at(0), at(t.SetFaults), at(t.Evacuate), inEvacuatedZone)
	default:
		p.addTarget(s, at(0), 0, at(t.End), inEvacuatedZone)
	}
}
