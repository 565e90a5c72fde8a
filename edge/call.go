package edge

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/carawayrack/carawayrack/catalog"
	"github.com/carawayrack/carawayrack/clock"
)

const (
	// bufferedBody is the size up to which bodies are read before they are
	// sent on.
	bufferedBody = 2 << 20
	// defaultDeadline bounds requests that give none.
	defaultDeadline = 30 * clock.Second
	// defaultBodyLimit holds where the configuration gives none.
	defaultBodyLimit = 64 << 20
)

// call is one request of a caller.
type call struct {
	host    *Host
	w       http.ResponseWriter
	r       *http.Request
	context context.Context

	id      string
	start   clock.Millis
	end     clock.Millis
	route   *catalog.Route
	account *catalog.Account
	service string
	body    []byte
	rest    io.Reader
	length  int64
	// sent counts the attempts and unsent those that found no connection;
	// mayHaveRun is true once a target may have begun to run the request.
	sent       int
	unsent     atomic.Int32
	mayHaveRun atomic.Bool
	tried      []string
}

// idempotent reports whether the request may run more than once.
func (c *call) idempotent() bool { return c.route.Kind == catalog.Idempotent }

// kind names the kind of the route in metrics.
func (c *call) kind() string {
	if c.route == nil {
		return "none"
	}
	return string(c.route.Kind)
}

// priority is the rank of the request: the account's goes before the route's.
func (c *call) priority() int {
	if c.account != nil && c.account.Priority >= 0 {
		return c.account.Priority
	}
	return c.route.Priority
}

func (c *call) left() clock.Millis { return c.end - c.host.Clock.Now() }

// admit decides whether the request may go on; nil if so.
func (c *call) admit() *refusal {
	f, age := c.host.view.current(c.start)
	if f == nil || age >= c.host.Settings.MaxConfigAge {
		if f = c.host.renew(); f == nil {
			return &refusal{ConfigNotCurrent, http.StatusServiceUnavailable, clock.Second, "no current configuration"}
		}
	}
	name, _, err := net.SplitHostPort(c.r.Host)
	if err != nil {
		name = c.r.Host
	}
	if c.route = f.Match(name, c.r.URL.Path); c.route == nil {
		return &refusal{NoRoute, http.StatusNotFound, 0, "version " + strconv.FormatUint(f.Version, 10)}
	}
	key := c.r.Header.Get(c.host.Headers.Key)
	c.account = f.AccountByKey(key)
	if c.account == nil && !c.route.Open && len(f.Accounts) > 0 {
		return &refusal{UnknownKey, http.StatusUnauthorized, 0, "version " + strconv.FormatUint(f.Version, 10)}
	}
	c.bound()
	if x := c.readBody(f.Limits.BodyBytes); x != nil {
		return x
	}
	if x := c.host.suspects.check(c); x != nil {
		return x
	}
	return c.spend()
}

// bound sets the end of the request.
func (c *call) bound() {
	d := defaultDeadline
	if n, err := strconv.ParseInt(c.r.Header.Get(c.host.Headers.Deadline), 10, 64); err == nil && n > 0 {
		d = clock.Millis(n)
	}
	if c.route.Timeout > 0 {
		d = min(d, c.route.Timeout)
	}
	c.end = c.start + d
}

// spend takes a token of the account.
func (c *call) spend() *refusal {
	if c.account == nil {
		return nil
	}
	ok, wait := c.host.tokens.take(c.account)
	if ok {
		return nil
	}
	return &refusal{OverQuota, http.StatusTooManyRequests, wait, "account " + c.account.Name}
}

func (c *call) readBody(limit int64) *refusal {
	if limit <= 0 {
		limit = defaultBodyLimit
	}
	c.length = c.r.ContentLength
	if c.length > limit {
		return &refusal{BodyTooLarge, http.StatusRequestEntityTooLarge, 0, strconv.FormatInt(c.length, 10)}
	}
	if c.length == 0 {
		return nil
	}
	b, err := io.ReadAll(io.LimitReader(c.r.Body, bufferedBody))
	if err != nil {
		return &refusal{BadRequest, http.StatusBadRequest, 0, "the body cannot be read: " + err.Error()}
	}
	c.body = b
	if len(b) < bufferedBody {
		c.length = int64(len(b))
		return nil
	}
	c.rest = c.r.Body
	return nil
}

// hopByHop are the headers that belong to one connection (RFC 9110, 7.6.1).
var hopByHop = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Authenticate": true, "Proxy-Authorization": true,
	"Proxy-Connection": true, "Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true,
	"Content-Length": true, "Expect": true,
}

// copyHeader copies the headers that do not belong to one connection.
func copyHeader(to, from http.Header) {
	named := from.Values("Connection")
	for k, v := range from {
		if !hopByHop[k] && !listed(named, k) {
			to[k] = v
		}
	}
}

// outgoing returns the request for a target.
func (c *call) outgoing(target string) *http.Request {
	h := make(http.Header, len(c.r.Header)+4)
	copyHeader(h, c.r.Header)
	n := c.host.Headers
	h.Del(n.Key)
	h.Del(n.Account)
	if c.account != nil {
		h.Set(n.Account, c.account.Name)
	}
	h.Set(n.ExpectedTarget, target)
	h.Set(n.Deadline, strconv.FormatInt(int64(max(c.left(), 1)), 10))
	if _, ok := h["User-Agent"]; !ok {
		// An empty value keeps the library from adding its own.
		h["User-Agent"] = []string{""}
	}
	o := &http.Request{
		Method: c.r.Method, URL: &url.URL{Opaque: c.r.RequestURI}, Host: c.r.Host, Header: h,
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
	}
	if len(c.body) > 0 {
		o.Body = io.NopCloser(bytes.NewReader(c.body))
		o.ContentLength = c.length
	}
	if c.rest != nil {
		o.Body = io.NopCloser(io.MultiReader(bytes.NewReader(c.body), c.rest))
		c.rest = nil
	}
	return o
}

func listed(connection []string, name string) bool {
	for _, l := range connection {
		for _, h := range bytes.Split([]byte(l), []byte{','}) {
			if http.CanonicalHeaderKey(string(bytes.TrimSpace(h))) == name {
				return true
			}
		}
	}
	return false
}

// repeatable reports whether the body can be sent once more.
func (c *call) repeatable() bool { return c.length >= 0 && len(c.body) < bufferedBody }

// deadline converts a time of the host's clock for the network.
func (c *call) deadline(at clock.Millis) time.Time {
	return time.Now().Add((at - c.host.Clock.Now()).Duration())
}
