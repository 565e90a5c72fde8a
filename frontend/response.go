package frontend

import (
	"bytes"
	"io"
	"net/http"
	"strings"

	"github.com/pkg/errors"
)

// responseHeadSize is the number of bytes of a response body that are read
// before anything is sent to the caller. A response that fits is known to be
// complete by then.
const responseHeadSize = 64 << 10

// targetResponse is the response of a target.
type targetResponse struct {
	response *http.Response
	// complete is true if the whole body has been read.
	complete bool
}

// readHead reads the first responseHeadSize bytes of the body, or all of it if
// it is shorter.
func (w *targetResponse) readHead() error {
	r := w.response
	h := make([]byte, responseHeadSize)
	n, complete, err := readHead(r.Body, h)
	if err != nil {
		return errors.Wrap(err, "frontend.readHead")
	}
	w.complete = complete
	if !complete {
		r.Body = readCloser{io.MultiReader(bytes.NewReader(h), r.Body), r.Body}
		return nil
	}
	r.Body = io.NopCloser(bytes.NewReader(h[:n]))
	return nil
}

type readCloser struct {
	io.Reader
	io.Closer
}

// hopByHop lists the headers that apply to a single connection and are not
// forwarded (RFC 9110, section 7.6.1).
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// copyHeader copies all headers except the hop-by-hop ones and those that the
// Connection header names.
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

// deliver sends a response to the caller. It reports whether the whole body was
// sent.
func (c *call) deliver(_ *attempt, r *http.Response) bool {
	c.responded = true
	h := c.w.Header()
	copyHeader(h, r.Header)
	h.Set(RequestIDHeader, c.id)
	if c.body.rest != nil {
		// The target may still read the body, of which net/http would discard a part
		// before it sends the response. The error is that of a writer without a body.
		_ = http.NewResponseController(c.w).EnableFullDuplex()
	}
	c.w.WriteHeader(r.StatusCode)
	n, err := io.Copy(c.w, r.Body)
	c.handler.Usage.Served(c.account, c.route.Prefix, n)
	return err == nil
}

// targetRequest returns the request to send to a target. It does not contain
// the caller's API key.
func (c *call) targetRequest() *http.Request {
	o := &http.Request{
		Method: c.r.Method, URL: c.r.URL, Host: c.r.Host, Header: http.Header{},
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
	}
	copyHeader(o.Header, c.r.Header)
	o.Header.Del("Authorization")
	o.Header.Del("Expect")
	o.Header.Set(RequestIDHeader, c.id)
	o.Header.Set(DeadlineHeader, formatMillis(c.timeLeft()))
	if c.body.length != 0 || c.body.rest != nil {
		o.Body = c.body.reader()
		o.ContentLength = c.body.length
	}
	return o
}
