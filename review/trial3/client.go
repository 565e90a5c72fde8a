package trial3

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

var nextID atomic.Int64

// Answer is what a client got for one attempt. Status is 0 without an answer.
type Answer struct {
	ID     string
	Sent   time.Time
	Status int
	Seal   string
	Took   time.Duration
}

// Client sends requests on kept connections.
type Client struct {
	Fleet *Fleet
	http  *http.Client
}

// NewClient returns a client.
func (f *Fleet) NewClient() *Client {
	t := &http.Transport{
		MaxIdleConnsPerHost: 200, DisableCompression: true, IdleConnTimeout: 10 * time.Second,
		DialContext: (&net.Dialer{Timeout: time.Second}).DialContext,
	}
	return &Client{f, &http.Client{Transport: t}}
}

// Send sends one request to an entry host. The key is left out if it is empty.
func (c *Client) Send(p *Process, method, path, key string, body io.Reader, limit time.Duration) Answer {
	a := Answer{ID: fmt.Sprintf("%016x", nextID.Add(1)+1<<32), Sent: time.Now()}
	q, err := http.NewRequest(method, "http://"+c.Fleet.Callers(p)+path, body)
	if err != nil {
		return a
	}
	q.Host = Host
	q.Header.Set("Attempt-Id", a.ID)
	q.Header.Set("Deadline-Milliseconds", fmt.Sprint(limit.Milliseconds()))
	if key != "" {
		q.Header.Set("X-Api-Key", key)
	}
	h := *c.http
	h.Timeout = limit
	r, err := h.Do(q)
	if err == nil {
		_, _ = io.Copy(io.Discard, r.Body)
		_ = r.Body.Close()
		a.Status, a.Seal = r.StatusCode, r.Header.Get("Server-Seal")
	}
	a.Took = time.Since(a.Sent)
	cause := ""
	if err != nil {
		cause = " " + err.Error()
	}
	c.Fleet.Record.Note("client: %s %s at %s, sent at %.3f s: %d%s", a.ID, path, p.Name, a.Sent.Sub(c.Fleet.Record.start).Seconds(), a.Status, cause)
	return a
}

// Await sends requests until each entry host has answered one with a status, for up to
// 20 s.
func (c *Client) Await(method, path, key string, status int) error {
	end := time.Now().Add(20 * time.Second)
	for _, p := range c.Fleet.Edges {
		for c.Send(p, method, path, key, nil, time.Second).Status != status {
			if time.Now().After(end) {
				return fmt.Errorf("%s does not answer %s with %d", p.Name, path, status)
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	return nil
}
