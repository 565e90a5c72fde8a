package forward

import (
	"io"
	"sync/atomic"

	"github.com/pkg/errors"
)

// requestBody records the error of reading the body of a request, for which the
// target is not to blame.
type requestBody struct {
	io.ReadCloser
	failure atomic.Pointer[error]
}

// Read reads from the body.
func (b *requestBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != nil && !errors.Is(err, io.EOF) {
		b.failure.Store(&err)
	}
	return n, err
}

// err returns the error that ended the body early, nil if there was none.
func (b *requestBody) err() error {
	if p := b.failure.Load(); p != nil {
		return *p
	}
	return nil
}

// BodyFailed is the cause of an exchange that ended because the body of the
// request could not be read to its end. The target did not get the whole
// request.
type BodyFailed struct{ Cause error }

// Error describes the cause.
func (b BodyFailed) Error() string { return "cannot read the request body: " + b.Cause.Error() }

// Unwrap returns the error of the body.
func (b BodyFailed) Unwrap() error { return b.Cause }
