package main

import (
	"context"
	"net/http"
	"time"
)

func init() { cases["weights"] = weightsCase }

// weightsCase changes the weights of a route. The rule is broken if more than
// half of the requests that are unanswered at the timeout of their route still
// have no answer half a second later.
func weightsCase(r *run) (bool, error) {
	const (
		timeout = time.Second
		late    = 500 * time.Millisecond
	)
	routes := []route{
		{"/read/", "safe", timeout, map[string]int{"alpha": 1}},
		{"/split/", "safe", timeout, map[string]int{"alpha": 90, "beta": 10}},
	}
	w, err := newWorld(r, 2, map[string]int{"alpha": 2, "beta": 1}, routes)
	if err != nil {
		return false, err
	}
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	var loads []*load
	for _, z := range zones {
		for _, p := range []string{"/read/50", "/split/50"} {
			l := &load{clients: w.clients[z], method: http.MethodGet, path: p, pause: 200 * time.Millisecond, limit: 4 * time.Second}
			l.start(ctx)
			loads = append(loads, l)
		}
	}
	time.Sleep(contact)
	weights := map[string]int{"alpha": 60, "beta": 40}
	if r.trouble {
		// All but nothing goes to one service.
		weights = map[string]int{"alpha": 1<<63 - 1, "beta": 1}
	}
	routes[1].parts = weights
	at, err := w.operator.order(0, "configuration.replace", "", configuration(2, []string{"alpha", "beta"}, routes))
	if err != nil {
		// A refusal breaks no rule of this case.
		r.note("the configuration was refused: %v", err)
		return false, nil
	}
	from := at.Add(propagation)
	to := from.Add(5 * time.Second)
	time.Sleep(time.Until(to.Add(5 * time.Second)))
	unanswered, held, all := 0, 0, 0
	for _, l := range loads {
		for _, a := range l.since(from, to) {
			all++
			if a.took >= timeout {
				unanswered++
			}
			if a.took >= timeout+late {
				held++
			}
		}
	}
	ready := 0
	for _, m := range r.fleet.fronts {
		if r.fleet.ready(m) {
			ready++
		}
	}
	r.note("of %d requests, %d had no answer at their route's timeout and %d none %v later; %d of %d frontend machines say that they are ready",
		all, unanswered, held, late, ready, len(r.fleet.fronts))
	return unanswered >= 20 && 2*held > unanswered, nil
}
