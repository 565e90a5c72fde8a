package main

import (
	"context"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"
)

// clients is a stand-in for the clients of one zone.
type clients struct {
	*record
	fleet *fleet
	zone  string

	mu        sync.Mutex
	addresses []string
	until     time.Time
}

// resolve returns the addresses to use. Once the time of the last response is
// over it asks the directory again. Until there is a new response, the clients
// use the old one.
func (c *clients) resolve() []string {
	c.mu.Lock()
	l, over := c.addresses, !time.Now().Before(c.until)
	first := len(l) == 0
	if over && !first {
		// No other request asks meanwhile.
		c.until = time.Now().Add(retryDirectory)
		go c.refresh()
	}
	c.mu.Unlock()
	if !first {
		return l
	}
	c.refresh()
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.addresses
}

// retryDirectory is the pause after an attempt to ask the directory.
const retryDirectory = 4 * time.Second

// refresh asks up to three machines, the nearest first.
func (c *clients) refresh() {
	asked := 0
	for _, near := range []bool{true, false} {
		for _, m := range c.fleet.fronts {
			if (m.zone == c.zone) != near || asked == 3 {
				continue
			}
			asked++
			if l, ttl, err := c.ask(m); err == nil {
				c.mu.Lock()
				c.addresses, c.until = l, time.Now().Add(ttl)
				c.mu.Unlock()
				return
			}
		}
	}
}

// ask asks the directory of one machine.
func (c *clients) ask(m *machine) ([]string, time.Duration, error) {
	h := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	a, err := h.Get(fmt.Sprintf("http://%s/-/resolution?name=%s&region=%s&zone=%s", c.fleet.directory(m), hostName, region, c.zone))
	if err != nil {
		return nil, 0, err
	}
	defer a.Body.Close()
	var x struct {
		Addresses []string `json:"addresses"`
		TTL       float64  `json:"ttlS"`
	}
	if err := json.NewDecoder(a.Body).Decode(&x); err != nil {
		return nil, 0, err
	}
	if a.StatusCode != http.StatusOK || len(x.Addresses) == 0 {
		return nil, 0, fmt.Errorf("status %d, %d addresses", a.StatusCode, len(x.Addresses))
	}
	return x.Addresses, time.Duration(min(x.TTL, 5) * float64(time.Second)), nil
}

// answer is the end of one request. Status is 0 without a complete answer.
type answer struct {
	attempt string
	addr    string
	sent    time.Time
	took    time.Duration
	status  int
	err     error
}

// send sends one request on a connection of its own and waits for the answer up
// to the time limit.
func (c *clients) send(addr, method, path string, limit time.Duration) answer {
	x := answer{attempt: attemptID(), addr: addr, sent: time.Now()}
	ctx, stop := context.WithTimeout(context.Background(), limit)
	defer stop()
	var body io.Reader
	if method == http.MethodPost {
		body = strings.NewReader(strings.Repeat("x", 1200))
	}
	r, err := http.NewRequestWithContext(ctx, method, "http://"+addr+path, body)
	if err != nil {
		x.err = err
		return x
	}
	r.Host = hostName
	r.Header.Set("Attempt-Id", x.attempt)
	r.Header.Set("Deadline-Milliseconds", fmt.Sprint(limit.Milliseconds()))
	r.Header.Set("X-Api-Key", key)
	c.printf("client in %s sends %s %s %s to %s", c.zone, x.attempt, method, path, addr)
	t := &http.Transport{DisableKeepAlives: true, DisableCompression: true}
	a, err := t.RoundTrip(r)
	if err == nil {
		_, err = io.Copy(io.Discard, a.Body)
		_ = a.Body.Close()
	}
	x.took, x.err = time.Since(x.sent), err
	if err == nil {
		x.status = a.StatusCode
	}
	c.printf("client in %s: answer to %s after %v: status %d, error %v", c.zone, x.attempt, x.took.Round(time.Millisecond), x.status, x.err)
	return x
}

func attemptID() string {
	b := make([]byte, 8)
	for k := range b {
		b[k] = byte(rand.IntN(256))
	}
	return hex.EncodeToString(b)
}

// load is a steady stream of requests.
type load struct {
	clients      *clients
	method, path string
	// pause is the time between two requests, limit the time limit of each.
	pause, limit time.Duration

	mu      sync.Mutex
	answers []answer
}

// start sends requests until the context ends.
func (l *load) start(ctx context.Context) {
	go func() {
		t := time.NewTicker(l.pause)
		defer t.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-t.C:
				go l.one()
			}
		}
	}()
}

func (l *load) one() {
	a := l.clients.resolve()
	if len(a) == 0 {
		return
	}
	x := l.clients.send(a[rand.IntN(len(a))], l.method, l.path, l.limit)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.answers = append(l.answers, x)
}

// since returns the answers to requests that were sent in a span of time.
func (l *load) since(from, to time.Time) []answer {
	l.mu.Lock()
	defer l.mu.Unlock()
	var r []answer
	for _, x := range l.answers {
		if !x.sent.Before(from) && x.sent.Before(to) {
			r = append(r, x)
		}
	}
	return r
}
