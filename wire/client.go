// Package wire makes net/rpc calls between the fleet's processes over
// long-lived connections. Every call has a timeout, and a heartbeat closes
// connections on which the peer no longer responds.
package wire

import (
	"net/rpc"
	"reflect"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/carawayrack/carawayrack/clock"
	"github.com/carawayrack/carawayrack/refusal"
)

const (
	dialTimeout       = 300 * clock.Millis(1)
	heartbeatInterval = 500 * clock.Millis(1)
	heartbeatTimeout  = 1 * clock.Second
)

// Client calls one peer. It connects on first use and again after a failure.
type Client struct {
	Addr   string
	Secret string

	mu   sync.Mutex
	conn *rpc.Client
	// responses counts the calls that ended before their timeout: with a response,
	// or because the connection failed.
	responses atomic.Int64
}

// Call calls method and waits at most timeout for the response; connecting may
// take up to dialTimeout before that, or longer if other calls are connecting at
// the same time and fail. The error is a *refusal.Refusal with code Unreachable
// or TimedOut, or wraps an rpc.ServerError that the peer sent.
func (c *Client) Call(method string, args, reply any, timeout clock.Millis) error {
	r, err := c.connect()
	if err != nil {
		return err
	}
	t := time.NewTimer(timeout.Duration())
	defer t.Stop()
	// The call gets its own reply value, as a response after the timeout must not
	// change the caller's.
	result := reflect.New(reflect.TypeOf(reply).Elem())
	call := r.Go(method, args, result.Interface(), make(chan *rpc.Call, 1))
	select {
	case <-call.Done:
		c.responses.Add(1)
		if call.Error == nil {
			reflect.ValueOf(reply).Elem().Set(result.Elem())
		}
		return c.handleError(r, call.Error)
	case <-t.C:
		return refusal.NewMaybeRun(refusal.TimedOut, c.Addr+" "+method)
	}
}

// handleError converts the error of a call. It closes the connection unless the
// error was sent by the peer.
func (c *Client) handleError(r *rpc.Client, err error) error {
	if err == nil {
		return nil
	}
	if s, ok := err.(rpc.ServerError); ok {
		return errors.WithStack(s)
	}
	c.drop(r)
	return refusal.NewMaybeRun(refusal.Unreachable, c.Addr+": "+err.Error())
}

func (c *Client) connect() (*rpc.Client, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conn != nil {
		return c.conn, nil
	}
	conn, err := (&dialer{addr: c.Addr}).dial()
	if err != nil {
		return nil, dialRefusal(c.Addr, err)
	}
	if err := sendSecret(conn, c.Secret); err != nil {
		_ = conn.Close()
		return nil, refusal.New(refusal.Unreachable, err.Error())
	}
	c.conn = rpc.NewClient(countedConn{conn})
	h := &heartbeat{client: c, conn: c.conn}
	go h.run()
	return c.conn, nil
}

// drop closes r and makes the next call connect again.
func (c *Client) drop(r *rpc.Client) {
	c.mu.Lock()
	if c.conn == r {
		c.conn = nil
	}
	c.mu.Unlock()
	_ = r.Close()
}

// Close closes the connection. A later call connects again.
func (c *Client) Close() {
	c.mu.Lock()
	r := c.conn
	c.mu.Unlock()
	if r != nil {
		c.drop(r)
	}
}
