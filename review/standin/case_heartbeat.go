package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"
)

func init() { cases["heartbeat"] = heartbeatCase }

// heartbeatCase sends heartbeats of another writer that name a service that no
// configuration has, at the addresses of some instances. The rule is broken if
// then, for two seconds, some but less than minimumShare of the sound instances
// get requests, while more than a tenth of the requests and under half are not
// served.
func heartbeatCase(r *run) (bool, error) {
	const (
		minimumShare = 0.7
		window       = 2 * time.Second
		limit        = time.Second
		// foreign is the number of instances in each zone whose address another
		// writer announces.
		foreign = 2
	)
	routes := []route{{"/read/", "safe", limit, map[string]int{"alpha": 1}}}
	w, err := newWorld(r, 2, map[string]int{"alpha": 3}, routes)
	if err != nil {
		return false, err
	}
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	var loads []*load
	for _, z := range zones {
		l := &load{clients: w.clients[z], method: http.MethodGet, path: "/read/100", pause: 38 * time.Millisecond, limit: limit}
		l.start(ctx)
		loads = append(loads, l)
	}
	time.Sleep(contact)
	if r.trouble {
		for k, i := range w.instances {
			if k%3 >= foreign {
				continue
			}
			b, err := json.Marshal(map[string]any{
				"service": "another-fleet", "address": i.addr, "zone": i.zone, "version": "v1", "capacity": w.servers.capacity, "state": "ready",
				"warmupRemainingMs": 0, "sequence": 1, "born": time.Now().UnixMilli(),
			})
			if err != nil {
				return false, err
			}
			_, err = post(w.operator.controls[0], "instances.heartbeat", fmt.Sprintf("another-%d", k), b)
			r.note("heartbeat of another writer at the address of %s: error %v", i.id, err)
		}
	}
	from := time.Now().Add(2 * contact)
	to := from.Add(4 * window)
	time.Sleep(time.Until(to.Add(2 * limit)))
	for at := from; at.Before(to); at = at.Add(window) {
		all, unserved := 0, 0
		for _, l := range loads {
			for _, a := range l.since(at, at.Add(window)) {
				all++
				if a.status != http.StatusOK {
					unserved++
				}
			}
		}
		used := map[string]bool{}
		for _, a := range w.servers.runs(at) {
			if a.at.Before(at.Add(window)) {
				used[a.instance.id] = true
			}
		}
		share := float64(len(used)) / float64(len(w.instances))
		part := float64(unserved) / float64(max(all, 1))
		r.note("in %v: %d of %d instances got requests; %d of %d requests were not served", window, len(used), len(w.instances), unserved, all)
		if len(used) > 0 && share < minimumShare && part > 0.1 && part < 0.5 {
			return true, nil
		}
	}
	return false, nil
}
