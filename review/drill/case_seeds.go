package main

import (
	"context"
	"time"
)

func init() { drills["seeds"] = playSeeds }

// darkFor is how long a core machine is without power: the dose of the site file for
// node_kill with power.
const darkFor = 3500 * time.Millisecond

// playSeeds has each of three core machines lose its power in turn, one after the other
// has caught up. Each starts with the settings of that moment, whose seeds are the
// operator's list.
func playSeeds(w *world, trouble bool) int {
	routes := []route{{"/status/", "safe", 1000}}
	o, instances, err := w.deployment(3, 3, 4, routes, nil)
	if err != nil {
		w.rec.note("cannot run: %v", err)
		return cannot
	}
	for _, i := range instances {
		defer i.end()
	}
	c := &client{world: w}
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	go c.traffic(ctx, 100*time.Millisecond, "/status/1")
	time.Sleep(3 * time.Second)
	if !o.put(2, routes, 4*time.Second) {
		w.rec.note("cannot run: the second configuration is not accepted")
		return cannot
	}
	before := time.Now()
	for _, m := range []*machine{w.cores[2], w.cores[1], w.cores[0]} {
		if trouble {
			m.kill()
		}
		time.Sleep(darkFor)
		if trouble {
			if err := m.start(w.operatorList(), false); err != nil {
				w.rec.note("cannot run: %v", err)
				return cannot
			}
		}
		time.Sleep(catchUp + contact)
	}
	last := time.Now().Add(-catchUp - contact)
	time.Sleep(time.Until(last.Add(recovery)))
	sent, ok := c.served(before.Add(-3*time.Second), before)
	w.rec.note("served before the power losses: %d of %d", ok, sent)
	from := time.Now()
	came, older := 0, 0
	for end := from.Add(3 * contact); time.Now().Before(end); time.Sleep(200 * time.Millisecond) {
		for _, m := range w.cores {
			switch v := o.read(m); {
			case v >= o.acked:
				came++
			case v > 0:
				older++
			}
		}
	}
	sent, ok = c.served(from, time.Now().Add(-time.Second))
	w.rec.note("served later than recoveryS after the last machine was back: %d of %d", ok, sent)
	w.rec.note("reads of the configuration in %v, all machines running: %d gave r%d, %d an older one", 3*contact, came, o.acked, older)
	if o.put(3, routes, 4*time.Second) {
		w.rec.note("a further configuration is acknowledged")
	} else {
		w.rec.note("a further configuration is not acknowledged in 4 s")
	}
	if came == 0 || older > 0 {
		w.rec.note("CONFIG is broken: the newest acknowledged configuration is not read back")
		return broken
	}
	return held
}
