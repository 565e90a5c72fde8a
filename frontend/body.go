package frontend

import (
	"bytes"
	"io"
	"net/http"

	"github.com/pkg/errors"
)

// maxBufferedBody is the number of bytes of a request body that are kept in
// memory. Bodies that fit are read before a slot is acquired and can be sent
// again.
const maxBufferedBody = 64 << 10

// body is the body of a caller's request.
type body struct {
	head []byte
	// rest is the part of the body after head, nil if there is none.
	rest io.Reader
	// length is the length in bytes, or -1 if it is unknown.
	length int64
	// used is true once rest has been passed to an attempt.
	used bool
}

// readBody reads up to maxBufferedBody bytes of the request body.
func readBody(r *http.Request) (*body, error) {
	if r.Body == nil || r.Body == http.NoBody {
		return &body{}, nil
	}
	h := make([]byte, maxBufferedBody)
	n, complete, err := readHead(r.Body, h)
	if err != nil {
		return nil, errors.Wrap(err, "frontend.readBody")
	}
	b := &body{head: h[:n], length: r.ContentLength}
	if complete {
		b.length = int64(n)
		return b, nil
	}
	b.rest = r.Body
	return b, nil
}

// readHead fills h from a body. complete is true if the body ended before h was
// full. A truncated body is an error.
func readHead(r io.Reader, h []byte) (n int, complete bool, err error) {
	for n < len(h) {
		k, err := r.Read(h[n:])
		n += k
		if err == io.EOF {
			return n, true, nil
		}
		if err != nil {
			return n, false, errors.WithStack(err)
		}
	}
	return n, false, nil
}

// replayable reports whether the body can be sent again.
func (b *body) replayable() bool { return b.rest == nil || !b.used }

// reader returns the body to send with an attempt.
func (b *body) reader() io.ReadCloser {
	if b.rest == nil {
		return io.NopCloser(bytes.NewReader(b.head))
	}
	b.used = true
	return io.NopCloser(io.MultiReader(bytes.NewReader(b.head), b.rest))
}
