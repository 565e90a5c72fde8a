package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"
)

// callTimeout is how long a caller of the control plane waits for a response.
const callTimeout = 1 * time.Second

// operator is the stand-in for the operator.
type operator struct {
	world *world
	// acked is the newest version that was acknowledged.
	acked int
}

// call sends one call to a core and returns the status, 0 without a response.
func call(m *machine, name, of string, body []byte) (int, []byte) {
	u := fmt.Sprintf("http://%s/-/rpc?call=%s", m.addr(m.world.ports.control), name)
	if of != "" {
		u += "&of=" + of
	}
	ctx, stop := context.WithTimeout(context.Background(), callTimeout)
	defer stop()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, u, bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	r.Header.Set("Content-Type", "application/json")
	t := &http.Transport{DisableKeepAlives: true}
	defer t.CloseIdleConnections()
	p, err := (&http.Client{Transport: t}).Do(r)
	if err != nil {
		return 0, nil
	}
	defer p.Body.Close()
	b, err := io.ReadAll(p.Body)
	if err != nil {
		return 0, nil
	}
	return p.StatusCode, b
}

// put sends a configuration to the cores in turn until one acknowledges it, for at most
// the given time.
func (o *operator) put(version int, routes []route, most time.Duration) bool {
	b, err := json.Marshal(config(version, routes))
	if err != nil {
		return false
	}
	pause := 50 * time.Millisecond
	for end := time.Now().Add(most); time.Now().Before(end); time.Sleep(pause) {
		for _, m := range o.world.cores {
			s, _ := call(m, "configuration.replace", "", b)
			o.world.rec.line("operator: configuration r%d to %s: %d", version, m.name, s)
			if s == http.StatusOK {
				o.acked = max(o.acked, version)
				return true
			}
		}
		pause = min(2*pause, time.Second)
	}
	return false
}

// read reads the configuration at a core and returns its version, 0 if it does not come.
func (o *operator) read(m *machine) int {
	s, b := call(m, "configuration.read", "", nil)
	var d struct{ Version string }
	v := 0
	if s == http.StatusOK && json.Unmarshal(b, &d) == nil {
		_, _ = fmt.Sscanf(d.Version, "r%d", &v)
	}
	o.world.rec.line("operator: read at %s: status %d, version r%d", m.name, s, v)
	return v
}

// route is a route of the configuration.
type route struct {
	prefix, kind string
	// timeout is the longest time that a request may take, in milliseconds.
	timeout int
}

const (
	hostName   = "gate.example"
	service    = "desk"
	key        = "key-of-club"
	tenant     = "club"
	healthPath = "/health"
)

// config returns a configuration in the form that operators send.
func config(version int, routes []route) any {
	type object = map[string]any
	var paths []object
	for i, r := range routes {
		paths = append(paths, object{
			"name": fmt.Sprintf("route-%d", i), "pathPrefix": r.prefix, "kind": r.kind, "timeoutMs": r.timeout, "targetLatencyMs": r.timeout * 2 / 5,
			"priority": 1, "service": service, "maxAttempts": 2, "allowAnonymous": false,
		})
	}
	return object{
		"version":  fmt.Sprintf("r%d", version),
		"services": []object{{"name": service, "healthPath": healthPath, "maxConnections": 360, "protocol": "h1", "tls": false, "warmupS": 1.0, "warmupPerS": 50.0}},
		"limits":   object{"maxHeaderBytes": 16384, "maxBodyBytes": 67108864, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants":  []object{{"name": tenant, "apiKeys": []string{key}, "priority": 1, "ratePerS": 5000, "burst": 5000}},
		"hosts":    []object{{"host": hostName, "paths": paths}},
	}
}
