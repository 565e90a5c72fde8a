package soak

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand"
	"net/http"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/carawayrack/carawayrack/platform"
)

const (
	host          = "orders.example"
	safePath      = "/read/"
	unsafePath    = "/file/"
	callTimeout   = 3 * time.Second
	callPause     = 30 * time.Millisecond
	addressMaxAge = 2 * time.Second
)

// caller sends requests over keep-alive connections until it is stopped.
type caller struct {
	name   string
	seed   int64
	ledger *Ledger
	zones  []string
	// directory holds the addresses at which hosts return the addresses of all
	// hosts that callers can use.
	directory []string
	// keys returns the keys to send requests with; some may be withdrawn.
	keys func() []string
	// extended is true for a caller that makes the requests of extended seeds.
	extended bool
	// sent counts the requests sent, served the complete responses with status
	// 200.
	served, sent atomic.Int64

	http       *http.Client
	addresses  []string
	resolvedAt time.Time
	stopped    chan struct{}
	ended      chan struct{}
}

func (c *caller) run() {
	defer close(c.ended)
	r := rand.New(rand.NewSource(c.seed))
	c.http = &http.Client{Timeout: callTimeout}
	for n := 0; ; n++ {
		select {
		case <-c.stopped:
			return
		case <-time.After(time.Duration(r.Int63n(int64(2 * callPause)))):
		}
		c.resolve(r)
		if len(c.addresses) == 0 {
			continue
		}
		k := c.keys()
		call := c.call
		if c.extended {
			call = c.callExtended
		}
		call(r, fmt.Sprintf("%s-%d", c.name, n), k[r.Intn(len(k))])
	}
}

// resolve requests the addresses of hosts if the known ones are older than
// addressMaxAge. It keeps the old ones if the request fails.
func (c *caller) resolve(r *rand.Rand) {
	if time.Since(c.resolvedAt) < addressMaxAge {
		return
	}
	x := platform.Client{HTTP: &http.Client{Timeout: time.Second}}
	l, err := x.Addresses(c.directory[r.Intn(len(c.directory))], c.zones[r.Intn(len(c.zones))])
	if err == nil && len(l) > 0 {
		c.addresses, c.resolvedAt = l, time.Now()
	}
}

func (c *caller) call(r *rand.Rand, id, key string) {
	path, body := safePath, ""
	if r.Intn(2) == 0 {
		path, body = unsafePath, "order "+id
	}
	x, stop := context.WithTimeout(context.Background(), callTimeout)
	defer stop()
	q := c.request(c.addresses[r.Intn(len(c.addresses))], path, id, key, []byte(body), callTimeout).WithContext(x)
	c.sent.Add(1)
	h := platform.Headers()
	a, err := c.http.Do(q)
	if err != nil {
		return
	}
	defer a.Body.Close()
	b, err := io.ReadAll(a.Body)
	if err != nil {
		return
	}
	c.ledger.setStatus(id, a.StatusCode)
	if a.Header.Get(h.Leaving) != "" {
		c.ledger.tellLeaving(id, a.Header.Get(targetHeader))
	}
	if a.StatusCode != http.StatusOK {
		return
	}
	c.served.Add(1)
	if string(b) != bodyOf(id) || a.Header.Get(h.RequestID) != id || a.Header.Get(h.Seal) != "seal-"+id {
		c.ledger.violate("answer", "request %s got the response %q", id, b)
	}
}

// request records and returns a request. It has no GetBody, so that net/http can't send
// it again by itself.
func (c *caller) request(addr, path, id, key string, body []byte, timeout time.Duration) *http.Request {
	h := platform.Headers()
	q := &http.Request{Method: http.MethodGet, URL: &url.URL{Scheme: "http", Host: addr, Path: path + id}, Host: host, Header: http.Header{}}
	if len(body) > 0 {
		q.Method, q.Body, q.ContentLength = http.MethodPost, io.NopCloser(bytes.NewReader(body)), int64(len(body))
	}
	q.Header.Set(h.RequestID, id)
	q.Header.Set(h.Key, key)
	q.Header.Set(h.Deadline, fmt.Sprint(timeout.Milliseconds()))
	q.Header.Set(sizeHeader, strconv.Itoa(len(body)))
	c.ledger.send(id, addr, len(body) > 0, key)
	return q
}
