package frontend

import (
	"bytes"
	"io"
	"net/http"
	"strconv"

	"github.com/carawayrack/carawayrack/clock"
	"github.com/carawayrack/carawayrack/idempotency"
	"github.com/carawayrack/carawayrack/refusal"
)

const (
	// maxKeyLength is the greatest length of an idempotency key in bytes.
	maxKeyLength = 200
	// maxStoredBody is the largest response body in bytes that is stored for
	// replay.
	maxStoredBody = 16 << 10
)

// formatMillis formats a time in milliseconds, at least 1.
func formatMillis(m clock.Millis) string {
	return strconv.FormatInt(int64(max(m, 1)), 10)
}

// runOnce runs a non-idempotent request that carries an Idempotency-Key.
func (c *call) runOnce(key string) {
	if len(key) > maxKeyLength {
		c.refuse(refusal.New(refusal.BadRequest, IdempotencyHeader+" is too long"))
		return
	}
	k := idempotency.Key{Account: c.account, Key: key}
	v, rec, x := c.handler.Records.Begin(idempotency.Record{
		Key: k, Fingerprint: c.fingerprint, Host: c.handler.Host, Incarnation: c.handler.Incarnation,
		Attempt: c.id, Running: c.timeLeft() + clock.Second,
	})
	if x != nil {
		c.refuse(x)
		return
	}
	if v != idempotency.Run {
		c.respondToDuplicate(v, rec)
		return
	}
	x = c.attempts(func(a *attempt, r *http.Response) bool { return c.storeAndDeliver(k, a, r) })
	if x == nil {
		return
	}
	c.handler.Records.Finish(k, idempotency.Unknown, idempotency.Response{}, !c.mayHaveRun)
	c.refuse(x)
}

// respondToDuplicate responds to a request whose idempotency key was used
// before.
func (c *call) respondToDuplicate(v idempotency.Verdict, rec idempotency.Record) {
	switch v {
	case idempotency.Replay:
		c.replay(rec.Answer)
	case idempotency.Running:
		x := refusal.NewMaybeRun(refusal.InProgress, "the request with this key is running")
		x.RetryAfter = clock.Second
		c.refuse(x)
	case idempotency.Reused:
		c.refuse(refusal.New(refusal.IdempotencyKeyReused, "the key came with another request before"))
	default:
		c.refuse(refusal.NewMaybeRun(refusal.OutcomeUnknown, "a request with this key may have run before"))
	}
}

// replay sends a stored response.
func (c *call) replay(a idempotency.Response) {
	if a.Omitted {
		c.refuse(refusal.NewMaybeRun(refusal.ResponseOmitted, "the request ran and was answered with status "+strconv.Itoa(a.Status)))
		return
	}
	c.responded = true
	h := c.w.Header()
	for k, l := range a.Header {
		h[k] = l
	}
	h.Set(RequestIDHeader, c.id)
	c.w.WriteHeader(a.Status)
	n, _ := c.w.Write(a.Body)
	c.handler.Usage.Served(c.account, c.route.Prefix, int64(n))
}

// storeAndDeliver stores the response and sends it to the caller.
func (c *call) storeAndDeliver(k idempotency.Key, a *attempt, r *http.Response) bool {
	s := idempotency.Response{Status: r.StatusCode, Header: http.Header{}}
	copyHeader(s.Header, r.Header)
	b, err := io.ReadAll(io.LimitReader(r.Body, maxStoredBody+1))
	if err != nil {
		c.handler.Records.Finish(k, idempotency.Unknown, idempotency.Response{}, false)
		return false
	}
	if len(b) > maxStoredBody {
		s.Omitted = true
	} else {
		s.Body = b
	}
	c.handler.Records.Finish(k, idempotency.Done, s, false)
	r.Body = readCloser{io.MultiReader(bytes.NewReader(b), r.Body), r.Body}
	return c.deliver(a, r)
}
