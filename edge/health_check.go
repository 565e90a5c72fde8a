package edge

import (
	"context"
	"io"
	"net/http"
	"net/url"
	"time"

	"go.uber.org/zap"

	"github.com/carawayrack/carawayrack/balance"
	"github.com/carawayrack/carawayrack/clock"
	"github.com/carawayrack/carawayrack/forward"
)

const (
	// checkInterval is the time between searches for targets to check.
	checkInterval = 200 * clock.Millis(1)
	// checkTimeout bounds a health check: a target that takes longer is of no use
	// to requests.
	checkTimeout = 800 * clock.Millis(1)
	// maxHealthBody is the number of bytes of a health response that are read.
	maxHealthBody = 4 << 10
)

// healthChecker sends health checks to unhealthy targets that no request probes.
type healthChecker struct {
	host *Host
}

func (h *healthChecker) loop() {
	for {
		time.Sleep(checkInterval.Duration())
		if h.host.leaving.Load() {
			continue
		}
		for _, c := range h.host.view.dueHealthChecks(h.host.Clock.Now()) {
			c.host = h.host
			go c.run()
		}
	}
}

// healthCheck is one request to the health path of a target.
type healthCheck struct {
	host          *Host
	service, path string
	target        balance.HealthCheck
	sentAt        clock.Millis
}

func (c *healthCheck) run() {
	cause := "passed"
	err := c.send()
	if err != nil {
		cause = err.Error()
	}
	h := c.host
	h.metrics.checks.Add(c.service+"."+passedOrFailed(err), 1)
	if h.view.healthCheckDone(c, err == nil) {
		h.gossip.broadcastHealth(c.service, c.target.ID, true)
	}
	h.Log.Info("health check", zap.String("service", c.service), zap.String("target", c.target.ID),
		zap.String("cause", cause), zap.Int64("tookMs", int64(h.Clock.Now()-c.sentAt)))
}

func passedOrFailed(err error) string {
	if err != nil {
		return "failed"
	}
	return "passed"
}

// checkWanted is called right before the check is sent: a target that wants a pause
// gets no checks either.
func (c *healthCheck) checkWanted() error {
	return c.host.view.wanted(c.host.Clock.Now(), c.service, balance.Choice{ID: c.target.ID, Born: c.target.Born})
}

// send sends the check. The error is nil if the target responded in time that it
// is healthy.
func (c *healthCheck) send() error {
	n := c.host.Headers
	e := &forward.Exchange{
		Pool: c.host.targetConns, Addr: c.target.Addr, Deadline: time.Now().Add(checkTimeout.Duration()),
		Request: &http.Request{
			Method: http.MethodGet, URL: &url.URL{Opaque: c.path}, Host: c.target.Addr,
			Header: http.Header{n.ExpectedTarget: {c.target.ID}, "User-Agent": {""}},
			Proto:  "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		},
		Check: c.checkWanted,
		// Responses to requests repeat the ID of the request.
		Mismatched: func(r *http.Response) bool { return r.Header.Get(n.RequestID) != "" },
	}
	r, err := e.Run(context.Background())
	if err != nil {
		e.Close()
		return err
	}
	if r.Header.Get(n.Target) == c.target.ID {
		c.host.heed(c.service, c.target.ID, c.target.Born, r)
	}
	k, err := io.Copy(io.Discard, io.LimitReader(r.Body, maxHealthBody))
	if err == nil && k == maxHealthBody {
		err = InvalidResponse{"health response too large"}
	}
	if err != nil {
		e.Close()
		return err
	}
	e.Finish()
	if id := r.Header.Get(n.Target); r.StatusCode != http.StatusOK || id != c.target.ID {
		return InvalidResponse{"health status " + r.Status + " of target " + id}
	}
	return nil
}
