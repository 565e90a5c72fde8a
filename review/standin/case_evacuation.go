package main

import (
	"context"
	"syscall"
	"time"
)

func init() { cases["evacuation"] = evacuationCase }

const (
	// frozenFor is how long the core machine stands still.
	frozenFor = 4 * time.Second
	// evacuationRounds is how often the case tries, watched how long it counts
	// requests each time.
	evacuationRounds = 3
	watched          = 4 * time.Second
)

// evacuationCase evacuates a zone, takes it back and evacuates it again while one
// core machine, which does not lead, stands still. It was the first to get the
// second order. The rule is broken if the zone's instances get requests although
// the last order that the operator sent evacuates the zone and was acknowledged.
func evacuationCase(r *run) (bool, error) {
	routes := []route{{"/read/", "safe", 1500 * time.Millisecond, map[string]int{"alpha": 1}}}
	w, err := newWorld(r, 2, map[string]int{"alpha": 3}, routes)
	if err != nil {
		return false, err
	}
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	w.reads(ctx)
	time.Sleep(contact)
	for range evacuationRounds {
		if b, err := w.evacuationRound("zone-b"); b || err != nil {
			return b, err
		}
	}
	return false, nil
}

// evacuationRound makes one try. The zone is evacuated at its end.
func (w *world) evacuationRound(zone string) (bool, error) {
	first, err := w.fleet.follower()
	if err != nil {
		return false, err
	}
	frozen := w.fleet.cores[first]
	if _, err := w.operator.order(first+1, "evacuations.start", zone, nil); err != nil {
		return false, err
	}
	time.Sleep(contact)
	if w.trouble {
		if err := w.fleet.signal(frozen, syscall.SIGSTOP); err != nil {
			return false, err
		}
	}
	frozenAt := time.Now()
	// The operator picks the machine that stands still, and then another one.
	if _, err := w.operator.order(first, "evacuations.finish", zone, nil); err != nil {
		return false, err
	}
	time.Sleep(time.Second)
	evacuated, err := w.operator.order(first+1, "evacuations.start", zone, nil)
	if err != nil {
		return false, err
	}
	time.Sleep(time.Until(frozenAt.Add(frozenFor)))
	if w.trouble {
		if err := w.fleet.signal(frozen, syscall.SIGCONT); err != nil {
			return false, err
		}
	}
	// From here on all machines are in touch and the evacuation binds.
	from := time.Now().Add(contact + margin)
	if t := evacuated.Add(evacuation + margin); t.After(from) {
		from = t
	}
	time.Sleep(time.Until(from.Add(watched)))
	n, all := 0, 0
	for _, a := range w.servers.runs(from) {
		all++
		if a.instance.zone == zone {
			n++
		}
	}
	w.note("%d of %d requests ran in %s later than %v after its evacuation was acknowledged", n, all, zone, from.Sub(evacuated).Round(time.Millisecond))
	return n > 0, nil
}
