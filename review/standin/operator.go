package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"time"
)

// operator is a stand-in for the operator. It sends an order to one control
// process and, without a clear response, to the next ones, after increasing
// pauses.
type operator struct {
	*record
	controls []string
	// acknowledgedBy is the address that acknowledged the last order.
	acknowledgedBy string
}

const (
	firstPause  = 50 * time.Millisecond
	orderWithin = 15 * time.Second
)

// order sends an order until it is acknowledged, first to the control process of
// the given rank, and returns when the acknowledgement arrived.
func (o *operator) order(first int, call, subject string, body []byte) (time.Time, error) {
	pause := firstPause
	end := time.Now().Add(orderWithin)
	for k := first; time.Now().Before(end); k++ {
		a := o.controls[k%len(o.controls)]
		o.printf("operator sends %s %s to %s", call, subject, a)
		_, err := post(a, call, subject, body)
		if err == nil {
			o.note("%s acknowledged %s %s", a, call, subject)
			o.acknowledgedBy = a
			return time.Now(), nil
		}
		o.note("%s did not acknowledge %s %s: %v", a, call, subject, err)
		var x refused
		if errors.As(err, &x) && x.status/100 == 4 {
			return time.Time{}, err
		}
		time.Sleep(pause)
		pause *= 2
	}
	return time.Time{}, fmt.Errorf("%s was not acknowledged", call)
}

// route is a route of a configuration. Parts holds the weights of its services.
type route struct {
	prefix, kind string
	timeout      time.Duration
	parts        map[string]int
}

const (
	hostName = "gateway.example"
	tenant   = "tenant-1"
	key      = "2b9wu3fexd9dnn2ctnfz"
)

// configuration returns a configuration with the given routes.
func configuration(version int, services []string, routes []route) []byte {
	var l, paths []any
	for _, s := range services {
		l = append(l, map[string]any{
			"name": s, "healthPath": healthPath, "maxConnections": 360, "protocol": "h1", "tls": false,
			"warmupS": 3.0, "warmupPerS": 6.7,
		})
	}
	for k, r := range routes {
		p := map[string]any{
			"name": fmt.Sprintf("r-%d", k+1), "pathPrefix": r.prefix, "kind": r.kind, "timeoutMs": r.timeout.Milliseconds(),
			"targetLatencyMs": 600, "priority": 1, "maxAttempts": 2, "allowAnonymous": false,
		}
		var split []any
		for _, s := range services {
			if w, ok := r.parts[s]; ok {
				split = append(split, map[string]any{"service": s, "weight": w})
			}
		}
		if len(split) == 1 {
			for s := range r.parts {
				p["service"] = s
			}
		} else {
			p["trafficSplit"] = split
		}
		paths = append(paths, p)
	}
	b, err := json.Marshal(map[string]any{
		"version": fmt.Sprintf("r%d", version), "services": l,
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 67108864, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []any{map[string]any{"name": tenant, "apiKeys": []string{key}, "priority": 1, "ratePerS": 500, "burst": 500}},
		"hosts":   []any{map[string]any{"host": hostName, "paths": paths}},
	})
	if err != nil {
		panic(err)
	}
	return b
}
