// Package healthcheck sends health checks to unhealthy targets that no request probes.
package healthcheck

import (
	"context"
	"expvar"
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

// Headers are the names of the headers of health checks.
type Headers struct {
	// ExpectedTarget holds the ID of the target that may respond, Target the ID of the
	// target that does.
	ExpectedTarget, Target string
	// RequestID is a header that only responses to requests have.
	RequestID string
}

// Checker sends health checks to the targets that are due. The fields must be set before
// Run.
type Checker struct {
	Clock   clock.Clock
	Log     *zap.Logger
	Pool    *forward.Pool
	Headers Headers
	// Paused reports that no checks are to be sent for now.
	Paused func() bool
	// Due returns the checks to send now.
	Due func(now clock.Millis) []*Check
	// Wanted returns the reason why a target must not be sent a check, nil if there is
	// none. A target that wants a pause gets no checks either.
	Wanted func(now clock.Millis, service string, c balance.Choice) error
	// Heed gets each response of the right target, before its body is read.
	Heed func(service, id string, born int64, r *http.Response) balance.Notice
	// Done gets the result of each check.
	Done func(c *Check, passed bool)
	// Results counts the checks by service and result.
	Results *expvar.Map
}

// Check is one request to the health path of a target.
type Check struct {
	Service, Path string
	Target        balance.HealthCheck
	SentAt        clock.Millis
}

// InvalidResponse is the error of a response that does not say that the target is healthy.
type InvalidResponse struct{ Problem string }

// Error describes the problem.
func (e InvalidResponse) Error() string { return "invalid response: " + e.Problem }

// Run starts to send checks.
func (k *Checker) Run() { go k.loop() }

func (k *Checker) loop() {
	for {
		time.Sleep(checkInterval.Duration())
		if k.Paused() {
			continue
		}
		for _, c := range k.Due(k.Clock.Now()) {
			x := &running{k, c}
			go x.run()
		}
	}
}

// running is a check that has been started.
type running struct {
	checker *Checker
	check   *Check
}

func (x *running) run() { x.checker.Check(x.check) }

// Check sends a check, and records and logs its result.
func (k *Checker) Check(c *Check) {
	cause := "passed"
	err := k.Send(c)
	if err != nil {
		cause = err.Error()
	}
	k.Results.Add(c.Service+"."+passedOrFailed(err), 1)
	k.Done(c, err == nil)
	k.Log.Info("health check", zap.String("service", c.Service), zap.String("target", c.Target.ID),
		zap.String("cause", cause), zap.Int64("tookMs", int64(k.Clock.Now()-c.SentAt)))
}

func passedOrFailed(err error) string {
	if err != nil {
		return "failed"
	}
	return "passed"
}

// checkWanted is called right before the check is sent.
func (x *running) checkWanted() error {
	t := x.check.Target
	return x.checker.Wanted(x.checker.Clock.Now(), x.check.Service, balance.Choice{ID: t.ID, Born: t.Born})
}

// Send sends a check. The error is nil if the target responded within 800 ms that it is
// healthy. Otherwise it is InvalidResponse, that of reading the body, or a
// *forward.Failure, whose cause may be the error of Wanted.
func (k *Checker) Send(c *Check) error {
	x, n := &running{k, c}, k.Headers
	e := &forward.Exchange{
		Pool: k.Pool, Addr: c.Target.Addr, Deadline: time.Now().Add(checkTimeout.Duration()),
		Request: &http.Request{
			Method: http.MethodGet, URL: &url.URL{Opaque: c.Path}, Host: c.Target.Addr,
			Header: http.Header{n.ExpectedTarget: {c.Target.ID}, "User-Agent": {""}},
			Proto:  "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		},
		Check: x.checkWanted,
		// Responses to requests repeat the ID of the request.
		Mismatched: func(r *http.Response) bool { return r.Header.Get(n.RequestID) != "" },
	}
	r, err := e.Run(context.Background())
	if err != nil {
		e.Close()
		return err
	}
	if r.Header.Get(n.Target) == c.Target.ID {
		k.Heed(c.Service, c.Target.ID, c.Target.Born, r)
	}
	b, err := io.Copy(io.Discard, io.LimitReader(r.Body, maxHealthBody))
	if err == nil && b == maxHealthBody {
		err = InvalidResponse{"health response too large"}
	}
	if err != nil {
		e.Close()
		return err
	}
	e.Finish()
	if id := r.Header.Get(n.Target); r.StatusCode != http.StatusOK || id != c.Target.ID {
		return InvalidResponse{"health status " + r.Status + " of target " + id}
	}
	return nil
}
