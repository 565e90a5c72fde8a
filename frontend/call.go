package frontend

import (
	"context"
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/carawayrack/carawayrack/apikey"
	"github.com/carawayrack/carawayrack/clock"
	"github.com/carawayrack/carawayrack/config"
	"github.com/carawayrack/carawayrack/journal"
	"github.com/carawayrack/carawayrack/refusal"
	"github.com/carawayrack/carawayrack/shardclient"
	"github.com/carawayrack/carawayrack/slots"
)

// Headers between callers, hosts and targets.
const (
	// RequestIDHeader identifies a request from end to end.
	RequestIDHeader = "X-Request-Id"
	// DeadlineHeader holds the time to the deadline in milliseconds.
	DeadlineHeader = "X-Deadline-Millis"
	// IdempotencyHeader holds a key chosen by the caller. A non-idempotent
	// request with such a key runs at most once while its record is kept.
	IdempotencyHeader = "Idempotency-Key"
	// NotRunHeader is set to true by targets that rejected a request without
	// running any part of it.
	NotRunHeader = "X-Not-Run"
)

// call is the handling of one request of a caller.
type call struct {
	handler  *Handler
	w        http.ResponseWriter
	r        *http.Request
	id       string
	context  context.Context
	cancel   context.CancelCauseFunc
	deadline time.Time

	state        *config.State
	route        config.Route
	service      config.Service
	account      string
	keyID        atomic.Pointer[string]
	body         *body
	fingerprint  string
	avoidTargets []string
	// reports are the releases of attempts whose targets died. They are sent
	// again with the next slot request.
	reports []slots.Release
	token   *shardclient.Reservation
	// mayHaveRun is set once a target may have run the request.
	mayHaveRun bool
	responded  bool
}

func newCall(f *Handler, w http.ResponseWriter, r *http.Request) *call {
	c := &call{handler: f, w: w, r: r, id: newRequestID()}
	c.context, c.cancel = context.WithCancelCause(r.Context())
	return c
}

func newRequestID() string {
	b := make([]byte, 12)
	// rand.Read never returns an error on supported platforms.
	_, _ = rand.Read(b)
	return hex.EncodeToString(b)
}

// run handles the request.
func (c *call) run() {
	defer c.returnToken()
	c.w.Header().Set(RequestIDHeader, c.id)
	steps := []func() *refusal.Refusal{c.admit, c.readBody, c.takeToken}
	for _, f := range steps {
		if x := f(); x != nil {
			c.refuse(x)
			return
		}
	}
	if k := c.r.Header.Get(IdempotencyHeader); k != "" && !c.idempotent() {
		c.runOnce(k)
		return
	}
	if x := c.attempts(c.deliver); x != nil {
		c.refuse(x)
	}
}

// admit finds the route and authenticates the caller.
func (c *call) admit() *refusal.Refusal {
	c.state = c.handler.Config()
	r, ok := c.state.Match(c.r.URL.Path)
	if !ok && !c.handler.Current() {
		// A newer configuration may have the route, as at a host that has just started.
		return refusal.New(refusal.ConfigStale, "this host cannot prove that its configuration is in force")
	}
	if !ok {
		return refusal.New(refusal.RouteUnknown, c.r.URL.Path)
	}
	c.route = r
	c.service = c.state.Services[r.Service].WithDefaults()
	if x := c.setDeadline(); x != nil {
		return x
	}
	return c.authenticate()
}

// authenticate sets the account by the API key. Requests on open routes need none, but a key
// that is sent must be valid there too: a withdrawn one must not become good as no key.
func (c *call) authenticate() *refusal.Refusal {
	key, ok := apikey.Bearer(c.r.Header)
	if !ok {
		return refusal.New(refusal.KeyUnknown, "the request has several different keys")
	}
	if key == "" && c.route.Open {
		return nil
	}
	if !c.handler.Current() {
		return refusal.New(refusal.ConfigStale, "this host cannot prove that its configuration is in force")
	}
	k, x := c.state.Authenticate(key)
	c.account = k.Account
	if x != nil {
		return x
	}
	c.keyID.Store(&k.ID)
	// The key may have been withdrawn before keyID was stored. CancelWithdrawn
	// then did not see this call, so the key is checked again.
	if n := c.handler.Config(); n != c.state {
		_, x = n.Authenticate(key)
	}
	return x
}

// setDeadline sets the deadline from the service, or from the header if that
// time is shorter.
func (c *call) setDeadline() *refusal.Refusal {
	d := c.service.Deadline
	if t := c.r.Header.Get(DeadlineHeader); t != "" {
		n, err := strconv.ParseInt(t, 10, 64)
		if err != nil || n <= 0 {
			return refusal.New(refusal.BadRequest, DeadlineHeader+" is not a number of milliseconds")
		}
		d = min(d, clock.Millis(n))
	}
	c.deadline = time.Now().Add(d.Duration())
	return nil
}

// timeLeft returns the time to the deadline.
func (c *call) timeLeft() clock.Millis {
	return clock.FromDuration(time.Until(c.deadline))
}

// idempotent reports whether the method is idempotent (RFC 9110, section 9.2.2).
// TRACE is treated as non-idempotent.
func (c *call) idempotent() bool {
	switch c.r.Method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodPut, http.MethodDelete:
		return true
	}
	return false
}

// readBody reads the head of the body and computes the fingerprint of the
// request, which covers only that part of the body.
func (c *call) readBody() *refusal.Refusal {
	b, err := readBody(c.r)
	if err != nil {
		return refusal.New(refusal.BadRequest, "the request ended early: "+err.Error())
	}
	c.body = b
	h := sha256.New()
	for _, s := range []string{c.account, c.r.Method, c.r.URL.RequestURI()} {
		h.Write([]byte(s))
		h.Write([]byte{0})
	}
	h.Write(b.head)
	c.fingerprint = hex.EncodeToString(h.Sum(nil)[:16])
	return nil
}

// takeToken reserves a token of the account's rate limit. Requests without a key, on open
// routes, need none.
func (c *call) takeToken() *refusal.Refusal {
	if c.account == "" {
		return nil
	}
	until, cancel := context.WithDeadline(c.context, c.deadline)
	defer cancel()
	t, x := c.handler.Tokens.Take(until, c.account)
	c.token = t
	return x
}

// useToken spends the token right before the request is sent. A token that has
// expired, or was spent by an earlier attempt, is replaced.
func (c *call) useToken() *refusal.Refusal {
	if c.account == "" {
		return nil
	}
	for {
		if c.token == nil {
			if x := c.takeToken(); x != nil {
				return x
			}
		}
		t := c.token
		c.token = nil
		if t.Use() {
			return nil
		}
	}
}

// returnToken returns a token that was not used.
func (c *call) returnToken() {
	if c.token != nil {
		c.token.Return()
	}
}

// refuse sends a refusal unless a response has been started.
func (c *call) refuse(x *refusal.Refusal) {
	if c.responded {
		return
	}
	c.responded = true
	x = c.withDetails(x)
	c.handler.Usage.Refused(c.account, c.route.Prefix, x.Code)
	c.handler.Journal(journal.Event{Kind: journal.RequestRefused, Subject: c.id + " " + c.account, Cause: x.Error()})
	x.Write(c.w)
}

// withDetails returns a copy of a refusal with the request ID, the cause of a
// cancellation and the addresses of other hosts.
func (c *call) withDetails(x *refusal.Refusal) *refusal.Refusal {
	n := *x
	n.RequestID = c.id
	switch context.Cause(c.context).(type) {
	case KeyWithdrawn:
		n.Code, n.Detail = refusal.KeyWithdrawn, "the key was withdrawn"
	case shardclient.ContactLost:
		n.Detail = "the slot could not be renewed"
	}
	if c.mayHaveRun {
		n.NotRun = false
	}
	switch n.Code {
	case refusal.ConfigStale, refusal.LeaseholderUnavailable, refusal.Stopping:
		n.Addresses = c.handler.otherAddresses(c.account)
	}
	return &n
}
