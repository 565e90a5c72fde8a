package frontend

import (
	"bytes"
	"io"
	"net/http"

	"github.com/pkg/errors"
)

// headSize is the part of a body that is kept in memory. Bodies that fit are
// read before a slot is taken, and can be sent again.
const headSize = 64 << 10

// body is the body of a request.
type body struct {
	head []byte
	// rest is nil if head is the whole body.
	rest   io.Reader
	length int64
	used   bool
}

func readBody(r *http.Request) (*body, error) {
	if r.Body == nil || r.Body == http.NoBody {
		return &body{}, nil
	}
	h := make([]byte, headSize)
	n, whole, err := readHead(r.Body, h)
	if err != nil {
		return nil, errors.Wrap(err, "frontend.readBody")
	}
	b := &body{head: h[:n], length: r.ContentLength}
	if whole {
		b.length = int64(n)
		return b, nil
	}
	b.rest = r.Body
	return b, nil
}

// readHead fills h from a body. whole is true if the body ended cleanly
// before that; a body that was cut is an error.
func readHead(r io.Reader, h []byte) (n int, whole bool, err error) {
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

// repeatable reports whether the body can be sent again.
func (b *body) repeatable() bool { return b.rest == nil || !b.used }

// reader returns the body for sending.
func (b *body) reader() io.ReadCloser {
	if b.rest == nil {
		return io.NopCloser(bytes.NewReader(b.head))
	}
	b.used = true
	return io.NopCloser(io.MultiReader(bytes.NewReader(b.head), b.rest))
}
