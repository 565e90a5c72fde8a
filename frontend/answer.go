package frontend

import (
	"bytes"
	"io"
	"net/http"
	"strings"

	"github.com/pkg/errors"
)

// answerHead is the part of an answer that is read before anything is passed
// on. Answers that fit are known to be whole before the caller sees them.
const answerHead = 64 << 10

// answer is the answer of a target.
type answer struct {
	response *http.Response
	whole    bool
}

// readHead reads the start of the body, or all of it.
func (w *answer) readHead() error {
	r := w.response
	h := make([]byte, answerHead)
	n, whole, err := readHead(r.Body, h)
	if err != nil {
		return errors.Wrap(err, "frontend.readHead")
	}
	w.whole = whole
	if !whole {
		r.Body = joined{io.MultiReader(bytes.NewReader(h), r.Body), r.Body}
		return nil
	}
	r.Body = io.NopCloser(bytes.NewReader(h[:n]))
	return nil
}

type joined struct {
	io.Reader
	io.Closer
}

// hopByHop are the headers that belong to one connection (RFC 9110, 7.6.1).
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

func copyHeader(to, from http.Header) {
	drop := map[string]bool{}
	for _, h := range hopByHop {
		drop[h] = true
	}
	for _, l := range from.Values("Connection") {
		for _, h := range strings.Split(l, ",") {
			drop[http.CanonicalHeaderKey(strings.TrimSpace(h))] = true
		}
	}
	for k, v := range from {
		if !drop[k] {
			to[k] = append([]string(nil), v...)
		}
	}
}

// deliver passes an answer on to the caller. It reports whether all of it
// arrived.
func (c *call) deliver(_ *attempt, r *http.Response) bool {
	c.answered = true
	h := c.w.Header()
	copyHeader(h, r.Header)
	h.Set(RequestIDHeader, c.id)
	c.w.WriteHeader(r.StatusCode)
	n, err := io.Copy(c.w, r.Body)
	c.front.Usage.Served(c.account, c.route.Prefix, n)
	return err == nil
}

// outgoing returns the request for a target. The key stays here.
func (c *call) outgoing() *http.Request {
	o := &http.Request{
		Method: c.r.Method, URL: c.r.URL, Host: c.r.Host, Header: http.Header{},
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
	}
	copyHeader(o.Header, c.r.Header)
	o.Header.Del("Authorization")
	o.Header.Del("Expect")
	o.Header.Set(RequestIDHeader, c.id)
	o.Header.Set(DeadlineHeader, clockText(c.left()))
	if c.body.length != 0 || c.body.rest != nil {
		o.Body = c.body.reader()
		o.ContentLength = c.body.length
	}
	return o
}
