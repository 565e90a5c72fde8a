package main

import (
	"fmt"
	"time"
)

// deployment starts a small deployment: cores, entry hosts and instances, and puts the
// first configuration into force.
func (w *world) deployment(cores, edges, instances int, routes []route, prepare func(*instance)) (*operator, []*instance, error) {
	for k := range cores {
		w.addCore(fmt.Sprintf("z%c", 'a'+k%3))
	}
	for range edges {
		w.addEdge("za")
	}
	for _, m := range append(append([]*machine(nil), w.cores...), w.edges...) {
		if err := m.start(w.cores[:min(3, len(w.cores))], true); err != nil {
			return nil, nil, err
		}
	}
	o := &operator{world: w}
	if !o.put(1, routes, 20*time.Second) {
		return nil, nil, fmt.Errorf("the first configuration is not accepted")
	}
	// The operator's list, which instances use, lags.
	time.Sleep(seedLag)
	var l []*instance
	for k := range instances {
		i := w.newInstance(k + 1)
		if prepare != nil {
			prepare(i)
		}
		if err := i.start(); err != nil {
			return nil, nil, err
		}
		l = append(l, i)
	}
	time.Sleep(seedLag)
	return o, l, nil
}
