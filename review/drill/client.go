package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"
)

// client is the stand-in for the clients.
type client struct {
	world *world
	// zones are the zones of the clients, za if there are none.
	zones []string

	mu   sync.Mutex
	next int
	// results holds when requests were sent and the statuses that they got.
	results []result
}

type result struct {
	at     time.Time
	status int
}

// id returns a new attempt ID.
func (c *client) id() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.next++
	return fmt.Sprintf("%08x%08d", rand.Uint32(), c.next)
}

// send sends a request to an entry host on a new connection and returns the status, 0
// without a response.
func (c *client) send(m *machine, method, path string, body []byte) int {
	return c.sendAs(c.id(), m, method, path, body)
}

// sendAs is send with a given attempt ID.
func (c *client) sendAs(id string, m *machine, method, path string, body []byte) int {
	const limit = 1 * time.Second
	ctx, stop := context.WithTimeout(context.Background(), limit)
	defer stop()
	r, err := http.NewRequestWithContext(ctx, method, "http://"+m.addr(m.world.ports.callers)+path, bytes.NewReader(body))
	if err != nil {
		return 0
	}
	r.Host = hostName
	r.Header.Set("Attempt-Id", id)
	r.Header.Set("Deadline-Milliseconds", fmt.Sprint(limit.Milliseconds()))
	r.Header.Set("X-Api-Key", key)
	t := &http.Transport{DisableKeepAlives: true, DisableCompression: true}
	defer t.CloseIdleConnections()
	at, status := time.Now(), 0
	if p, err := t.RoundTrip(r); err == nil {
		if _, err := io.ReadAll(p.Body); err == nil {
			status = p.StatusCode
		}
		_ = p.Body.Close()
	}
	c.world.rec.line("client: %s %s %s to %s: %d after %d ms", id, method, path, m.name, status, time.Since(at).Milliseconds())
	c.mu.Lock()
	defer c.mu.Unlock()
	c.results = append(c.results, result{at, status})
	return status
}

// lookUp asks the directory where to connect and returns one of the hosts, nil if there
// is none.
func (c *client) lookUp() *machine {
	l := append([]*machine(nil), c.world.edges...)
	rand.Shuffle(len(l), func(a, b int) { l[a], l[b] = l[b], l[a] })
	for _, m := range l[:min(3, len(l))] {
		if a, _ := c.resolve(m); len(a) > 0 {
			return a[rand.IntN(len(a))]
		}
	}
	return nil
}

// resolve returns the hosts that the directory at a machine names, and for how many
// seconds.
func (c *client) resolve(m *machine) ([]*machine, float64) {
	h := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	p, err := h.Get(c.resolution(m))
	if err != nil {
		return nil, 0
	}
	defer p.Body.Close()
	var a struct {
		Addresses []string
		TTL       float64 `json:"ttlS"`
	}
	if json.NewDecoder(p.Body).Decode(&a) != nil {
		return nil, 0
	}
	var l []*machine
	for _, e := range c.world.edges {
		if slices.Contains(a.Addresses, e.addr(c.world.ports.callers)) {
			l = append(l, e)
		}
	}
	return l, a.TTL
}

// traffic sends requests on a path at a steady pace until ctx ends.
func (c *client) traffic(ctx context.Context, every time.Duration, path string) {
	for ctx.Err() == nil {
		go func() {
			if m := c.lookUp(); m != nil {
				c.send(m, http.MethodGet, path, nil)
				return
			}
			c.mu.Lock()
			c.results = append(c.results, result{time.Now(), 0})
			c.mu.Unlock()
		}()
		time.Sleep(every)
	}
}

// served returns how many requests were sent between two times, and how many of them
// were served.
func (c *client) served(from, to time.Time) (sent, ok int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, r := range c.results {
		if r.at.Before(from) || r.at.After(to) {
			continue
		}
		sent++
		if r.status == http.StatusOK {
			ok++
		}
	}
	return sent, ok
}

// zone returns the zone of a client, drawn anew for each request.
func (c *client) zone() string {
	if len(c.zones) == 0 {
		return "za"
	}
	return c.zones[rand.IntN(len(c.zones))]
}

// resolution returns the URL of the directory at a machine.
func (c *client) resolution(m *machine) string {
	return fmt.Sprintf("http://%s/-/resolution?name=%s&region=r&zone=%s", m.addr(c.world.ports.directory), hostName, c.zone())
}
