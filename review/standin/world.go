package main

import (
	"fmt"
	"net/http"
	"time"
)

// world is a deployment in use.
type world struct {
	*run
	operator *operator
	servers  *servers
	// clients holds the clients of each zone.
	clients map[string]*clients
	// instances holds all instances.
	instances []*instance
}

// newWorld starts the deployment and the instances, with the given number of
// them for each service and zone, and sends the first configuration. Each
// instance runs as many requests at a time as capacity says.
func newWorld(r *run, capacity int, perZone map[string]int, routes []route) (*world, error) {
	var controls, services []string
	for _, m := range r.fleet.cores {
		controls = append(controls, r.fleet.control(m))
	}
	w := &world{
		run: r, operator: &operator{record: r.record, controls: controls}, servers: &servers{record: r.record, controls: controls, capacity: capacity},
		clients: map[string]*clients{},
	}
	if err := r.fleet.startAll(); err != nil {
		return nil, err
	}
	for _, z := range zones {
		w.clients[z] = &clients{record: r.record, fleet: r.fleet, zone: z}
	}
	for _, s := range []string{"alpha", "beta"} {
		if perZone[s] == 0 {
			continue
		}
		services = append(services, s)
		for _, z := range zones {
			for k := range perZone[s] {
				i, err := w.servers.startInstance(fmt.Sprintf("i-%s-%s-%d", s, z, k+1), s, z)
				if err != nil {
					return nil, err
				}
				w.instances = append(w.instances, i)
			}
		}
	}
	if _, err := w.operator.order(0, "configuration.replace", "", configuration(1, services, routes)); err != nil {
		return nil, err
	}
	if err := r.fleet.awaitReady(); err != nil {
		return nil, err
	}
	// The time until the platform's traffic begins.
	time.Sleep(contact)
	return w, w.check(routes[0])
}

// check sends one request in each zone before the case begins.
func (w *world) check(x route) error {
	for _, z := range zones {
		a := w.clients[z].resolve()
		if len(a) == 0 {
			return fmt.Errorf("the directory names no address in %s", z)
		}
		method := http.MethodPost
		if x.kind == "safe" {
			method = http.MethodGet
		}
		if r := w.clients[z].send(a[0], method, x.prefix+"50", x.timeout); r.status != http.StatusOK {
			return fmt.Errorf("a request before the case got status %d: %v", r.status, r.err)
		}
	}
	return nil
}
