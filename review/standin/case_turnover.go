package main

import (
	"context"
	"syscall"
	"time"
)

func init() { cases["turnover"] = turnoverCase }

const (
	// betweenStops is the time between two planned stops, stopsAtOnce the number
	// of machines that are stopped together, as in the days with roll_term of the
	// users' sites.
	betweenStops = 1300 * time.Millisecond
	stopsAtOnce  = 2
)

// turnoverCase is a variant of replaceCase without an unplanned disruption: all
// core machines are replaced as planned. The new ones start first, and the old
// ones are stopped in turn once the new ones have had catchUpS. Without the
// disruption the pause between two stops is longer than the time after which the
// leader removes a voter.
func turnoverCase(r *run) (bool, error) {
	routes := []route{{"/read/", "safe", 1500 * time.Millisecond, map[string]int{"alpha": 1}}}
	w, err := newWorld(r, 4, map[string]int{"alpha": 2}, routes)
	if err != nil {
		return false, err
	}
	f := r.fleet
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	loads := w.reads(ctx)
	for _, m := range f.spares {
		if err := f.start(m, false); err != nil {
			return false, err
		}
	}
	time.Sleep(catchUp + margin)
	w.useCores(f.spares[:3]...)
	if _, err := w.operator.order(0, "configuration.replace", "", configuration(2, []string{"alpha"}, routes)); err != nil {
		return false, err
	}
	pause := betweenStops
	if !r.trouble {
		pause = 10 * time.Second
	}
	for k, m := range f.cores {
		if err := f.signal(m, syscall.SIGTERM); err != nil {
			return false, err
		}
		if k%stopsAtOnce == stopsAtOnce-1 || !r.trouble {
			time.Sleep(pause)
		}
	}
	for _, m := range f.cores {
		<-m.ended
	}
	return !w.readsBack("r2", loads), nil
}
