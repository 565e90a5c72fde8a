package edge

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"os"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/carawayrack/carawayrack/apikey"
	"github.com/carawayrack/carawayrack/buffer"
	"github.com/carawayrack/carawayrack/catalog"
	"github.com/carawayrack/carawayrack/clock"
	"github.com/carawayrack/carawayrack/poison"
	"github.com/carawayrack/carawayrack/routing"
	"github.com/carawayrack/carawayrack/token"
)

const (
	// maxBufferedBody is the number of bytes of a request body that are read
	// before the request is sent to a target. Bodies of this size or more are
	// streamed and cannot be sent twice.
	maxBufferedBody = 2 << 20
	// defaultDeadline applies to requests without a deadline header.
	defaultDeadline = 30 * clock.Second
	// defaultBodyLimit applies if the configuration has no limit, in bytes.
	defaultBodyLimit = 64 << 20
)

// call is one request of a caller while the host serves it.
type call struct {
	host    *Host
	w       http.ResponseWriter
	r       *http.Request
	context context.Context

	id       string
	start    clock.Millis
	deadline clock.Millis
	// arrived is when the head was read, or the body if it was buffered.
	arrived clock.Millis
	route   *catalog.Route
	account *catalog.Account
	service string
	// body is the buffered part of the request body, unreadBody the rest, nil if
	// there is none. bodyLength is -1 if the length is unknown.
	body       []byte
	unreadBody io.Reader
	bodyLength int64
	// streamed is true if the body was not buffered as a whole. It cannot be sent
	// twice then.
	streamed bool
	// reserved is the number of bytes of the body taken from the host's budget.
	reserved int
	// attempts is the number of attempts, unsent the number of those in which
	// nothing was sent to the target. mayHaveRun is true once a target may have run
	// the request.
	attempts   int
	unsent     atomic.Int32
	mayHaveRun atomic.Bool
	// tried holds the IDs of the targets of all attempts.
	tried []string
	// stopCause holds the shutdown.Cause for which the call was refused last.
	stopCause atomic.Value
	// trial is set if the request is in quarantine and may be sent once.
	trial *poison.Trial
}

// idempotent reports whether the request may run more than once.
func (c *call) idempotent() bool { return c.route.Kind.Repeatable() }

// kind returns the kind of the route as metrics show it.
func (c *call) kind() string {
	if c.route == nil {
		return "none"
	}
	return string(c.route.Kind)
}

// priority returns the rank of the request, 0 being the most urgent. The
// priority of the account overrides that of the route.
func (c *call) priority() int {
	if c.account != nil && c.account.Priority >= 0 {
		return c.account.Priority
	}
	return c.route.Priority
}

func (c *call) remaining() clock.Millis { return c.deadline - c.host.Clock.Now() }

// admit checks whether the request may be sent to a target. It returns nil if
// so.
func (c *call) admit() *refusal {
	f, age := c.host.view.current(c.start)
	if f == nil || age >= c.host.Settings.MaxConfigAge {
		if f = c.host.waitForCurrentConfig(c.host.Settings.MaxConfigAge); f == nil {
			return notCurrent("no current configuration")
		}
	}
	x := c.findRoute(f)
	if x != nil && age >= c.host.Settings.MaxRefusalAge {
		// A newer configuration may allow the request.
		if f = c.host.waitForCurrentConfig(c.host.Settings.MaxRefusalAge); f == nil {
			return notCurrent(x.Error())
		}
		x = c.findRoute(f)
	}
	if x != nil {
		return x
	}
	c.setDeadline()
	if x := c.endsBefore(c.host.Clock.Now()); x != nil {
		return x
	}
	if x := c.readBody(f.Limits.BodyBytes); x != nil {
		return x
	}
	if x := c.checkQuarantine(); x != nil {
		return x
	}
	if x := c.takeToken(); x != nil {
		return x
	}
	return c.beginTrial()
}

// notCurrent returns the refusal of a request that a newer configuration may allow or
// refuse.
func notCurrent(cause string) *refusal {
	return &refusal{ConfigNotCurrent, http.StatusServiceUnavailable, clock.Second, cause}
}

// findRoute sets the route and the account. It returns a refusal if the
// configuration has no route for the request or does not have its key.
func (c *call) findRoute(f *catalog.Config) *refusal {
	version := "version " + strconv.FormatUint(f.Version, 10)
	if !routing.PathKept(c.r) {
		return &refusal{BadRequest, http.StatusBadRequest, 0, "the path cannot be forwarded unchanged"}
	}
	if c.route = routing.Match(f, c.r); c.route == nil {
		return &refusal{NoRoute, http.StatusNotFound, 0, version}
	}
	if !c.authenticate(f) {
		return &refusal{UnknownKey, http.StatusUnauthorized, 0, version}
	}
	return nil
}

// authenticate sets the account by the key of the request. It returns false if the request
// needs a key and has none, or has one that is not in the configuration: a key that was taken
// away must not become good as no key, on an open route or after the last account has gone.
func (c *call) authenticate(f *catalog.Config) bool {
	key, ok := apikey.Sole(c.r.Header.Values(c.host.Headers.Key))
	if !ok {
		return false
	}
	c.account = f.AccountByKey(key)
	if key == "" {
		return !f.NeedsKey(c.route)
	}
	return c.account != nil
}

// setDeadline sets the time at which the request times out.
func (c *call) setDeadline() {
	d := defaultDeadline
	if n, err := strconv.ParseInt(c.r.Header.Get(c.host.Headers.Deadline), 10, 64); err == nil && n > 0 {
		d = clock.Millis(n)
	}
	if c.route.Timeout > 0 {
		d = min(d, c.route.Timeout)
	}
	c.deadline = c.start + d
}

// takeToken takes a token of the account.
func (c *call) takeToken() *refusal {
	if c.account == nil {
		return nil
	}
	ok, wait, source := c.host.tokens.TakeFrom(c.account)
	if ok {
		return nil
	}
	return c.overQuota(wait, source)
}

func (c *call) overQuota(wait clock.Millis, s token.Source) *refusal {
	reason := OverQuota
	if s == token.SourceOwnPart {
		reason = LenderAway
	}
	return &refusal{reason, http.StatusTooManyRequests, wait, "account " + c.account.Name}
}

// readBody reads the body up to maxBufferedBody, or less if bodies of other
// requests occupy the memory; the rest is streamed. It refuses a body that exceeds
// the limit, and one that does not arrive before the deadline.
func (c *call) readBody(limit int64) *refusal {
	if limit <= 0 {
		limit = defaultBodyLimit
	}
	c.bodyLength = c.r.ContentLength
	if c.bodyLength > limit {
		return &refusal{BodyTooLarge, http.StatusRequestEntityTooLarge, 0, strconv.FormatInt(c.bodyLength, 10)}
	}
	if c.bodyLength == 0 {
		return nil
	}
	c.r.Body = http.MaxBytesReader(c.w, c.r.Body, limit)
	c.host.bodyReads.begin(c)
	b, err := c.host.requestBuffers.Read(c.r.Body, maxBufferedBody)
	c.host.bodyReads.end(c)
	c.reserved = b.Reserved
	var large *http.MaxBytesError
	switch {
	case err == nil, errors.As(err, &buffer.Full{}):
	case errors.As(err, &large):
		return &refusal{BodyTooLarge, http.StatusRequestEntityTooLarge, 0, "more than " + strconv.FormatInt(limit, 10)}
	case errors.Is(err, os.ErrDeadlineExceeded):
		if x := c.endsBefore(c.host.Clock.Now()); x != nil {
			return x
		}
		return &refusal{BodyTooLate, http.StatusRequestTimeout, 0, strconv.Itoa(len(b.Bytes)) + " bytes arrived"}
	default:
		return &refusal{BadRequest, http.StatusBadRequest, 0, "cannot read the request body: " + err.Error()}
	}
	c.body = b.Bytes
	c.arrived = c.host.Clock.Now()
	if b.Whole {
		c.bodyLength = int64(len(b.Bytes))
		return nil
	}
	c.unreadBody, c.streamed = c.r.Body, true
	c.setReadDeadline(c.deadline)
	return nil
}

// hopByHop are the headers that belong to one connection (RFC 9110, 7.6.1), and
// Content-Length and Expect, which the host handles itself.
var hopByHop = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Authenticate": true, "Proxy-Authorization": true,
	"Proxy-Connection": true, "Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true,
	"Content-Length": true, "Expect": true,
}

// copyHeader copies the headers, except for hopByHop and those that the
// Connection header names.
func copyHeader(to, from http.Header) {
	named := from.Values("Connection")
	for k, v := range from {
		if !hopByHop[k] && !namedInConnection(named, k) {
			to[k] = v
		}
	}
}

// outgoingRequest returns the request to send to a target.
func (c *call) outgoingRequest(target string) *http.Request {
	h := make(http.Header, len(c.r.Header)+4)
	copyHeader(h, c.r.Header)
	n := c.host.Headers
	h.Del(n.Key)
	h.Del(n.Account)
	if c.account != nil {
		h.Set(n.Account, c.account.Name)
	}
	h.Set(n.ExpectedTarget, target)
	h.Set(n.Deadline, strconv.FormatInt(int64(max(c.remaining(), 1)), 10))
	if _, ok := h["User-Agent"]; !ok {
		// An empty value prevents net/http from adding its own.
		h["User-Agent"] = []string{""}
	}
	o := &http.Request{
		Method: c.r.Method, URL: routing.OutgoingURL(c.r), Host: c.r.Host, Header: h,
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
	}
	if len(c.body) > 0 {
		o.Body = io.NopCloser(bytes.NewReader(c.body))
		o.ContentLength = c.bodyLength
	}
	if c.unreadBody != nil {
		o.Body = io.NopCloser(io.MultiReader(bytes.NewReader(c.body), c.unreadBody))
		c.unreadBody = nil
	}
	return o
}

func namedInConnection(connection []string, name string) bool {
	for _, l := range connection {
		for _, h := range bytes.Split([]byte(l), []byte{','}) {
			if http.CanonicalHeaderKey(string(bytes.TrimSpace(h))) == name {
				return true
			}
		}
	}
	return false
}

// replayable reports whether the body can be sent again.
func (c *call) replayable() bool { return !c.streamed }

// netDeadline converts a time of the host's clock to the wall clock, which the
// net package uses.
func (c *call) netDeadline(at clock.Millis) time.Time {
	return time.Now().Add((at - c.host.Clock.Now()).Duration())
}
