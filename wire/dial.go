package wire

import (
	"net"
	"os"
	"strings"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/carawayrack/carawayrack/clock"
	"github.com/carawayrack/carawayrack/refusal"
)

// NoListener ends the detail of an Unreachable refusal if the peer's machine
// rejected the connection because no process listens on the port.
const NoListener = "connection refused"

func dialRefusal(addr string, err error) error {
	if errors.Is(err, syscall.ECONNREFUSED) {
		return refusal.New(refusal.Unreachable, addr+": "+NoListener)
	}
	return refusal.New(refusal.Unreachable, err.Error())
}

// ProvesNoListener reports whether err is an Unreachable refusal that proves
// that no process listened on the peer's port.
func ProvesNoListener(err error) bool {
	var r *refusal.Refusal
	return errors.As(err, &r) && r.Code == refusal.Unreachable && strings.HasSuffix(r.Detail, NoListener)
}

// dialInterval is the time between attempts to open a connection. The kernel
// retransmits the first packet only after a second; a machine that had no power
// at the first attempt may have been up for much of that time.
const dialInterval = 75 * clock.Millis(1)

// dialer opens a connection by overlapping attempts.
type dialer struct {
	addr string
	// open opens a connection. If it is nil, openTCP is used.
	open    func(addr string) (net.Conn, error)
	results chan dialResult
	done    chan struct{}
}

type dialResult struct {
	conn net.Conn
	err  error
}

func openTCP(addr string) (net.Conn, error) {
	return net.DialTimeout("tcp", addr, dialTimeout.Duration())
}

// dial starts an attempt every dialInterval. It returns the first connection, or
// the first error that proves that no process listens. After dialTimeout the
// error is os.ErrDeadlineExceeded.
func (x *dialer) dial() (net.Conn, error) {
	if x.open == nil {
		x.open = openTCP
	}
	x.results, x.done = make(chan dialResult), make(chan struct{})
	defer close(x.done)
	t := time.NewTicker(dialInterval.Duration())
	defer t.Stop()
	timeout := time.NewTimer(dialTimeout.Duration())
	defer timeout.Stop()
	go x.run()
	for {
		select {
		case r := <-x.results:
			if r.err == nil || errors.Is(r.err, syscall.ECONNREFUSED) {
				return r.conn, r.err
			}
		case <-t.C:
			go x.run()
		case <-timeout.C:
			return nil, os.ErrDeadlineExceeded
		}
	}
}

// run makes one attempt.
func (x *dialer) run() {
	conn, err := x.open(x.addr)
	select {
	case x.results <- dialResult{conn, err}:
	case <-x.done:
		if conn != nil {
			_ = conn.Close()
		}
	}
}

// sendSecret sends the secret, padded or cut to secretSize bytes.
func sendSecret(c net.Conn, secret string) error {
	b := make([]byte, secretSize)
	copy(b, secret)
	_, err := c.Write(b)
	return err
}
