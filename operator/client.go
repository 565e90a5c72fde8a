package operator

import (
	"crypto/rand"
	"encoding/hex"
	"time"

	"github.com/carawayrack/carawayrack/api"
	"github.com/carawayrack/carawayrack/clock"
	"github.com/carawayrack/carawayrack/config"
	"github.com/carawayrack/carawayrack/refusal"
	"github.com/carawayrack/carawayrack/wire"
)

// Client submits changes to the control replicas and reads the configuration and
// their status. It is not safe for concurrent use.
type Client struct {
	// Replicas are the addresses of control replicas.
	Replicas []string
	// Secret is the fleet's shared secret.
	Secret string
	// LeaderTimeout bounds the time to find a leader that responds. It is checked
	// each time all replicas have been tried, and does not cancel calls.
	LeaderTimeout clock.Millis

	pool wire.Pool
	// leader is the address of the last known leader, empty if none is known.
	leader string
}

// Timeouts of calls, and the pause after all replicas have been tried.
const (
	submitTimeout = 15 * clock.Second
	fetchTimeout  = 2 * clock.Second
	retryInterval = 100 * time.Millisecond
)

// NewChangeID returns a random change ID.
func NewChangeID() string {
	b := make([]byte, 12)
	// rand.Read never returns an error on supported platforms.
	_, _ = rand.Read(b)
	return hex.EncodeToString(b)
}

// addresses returns the replicas to try, the last known leader first.
func (c *Client) addresses() []string {
	if c.leader != "" {
		return append([]string{c.leader}, c.Replicas...)
	}
	return c.Replicas
}

// callLeader calls one replica after the other until the leader has responded or
// LeaderTimeout has passed. If the leader's outcome is unknown, it calls again.
// call returns the leader's address according to the replica, the replica's
// refusal and the error of the call.
func (c *Client) callLeader(call func(*wire.Client) (string, *refusal.Refusal, error)) error {
	c.pool.Secret = c.Secret
	deadline := time.Now().Add(c.LeaderTimeout.Duration())
	var lastErr error = refusal.New(refusal.Unreachable, "no control replica answers")
	for {
		for _, addr := range c.addresses() {
			leader, refused, err := call(c.pool.Get(addr))
			if err != nil {
				lastErr = err
				continue
			}
			if refused == nil {
				c.leader = addr
				return nil
			}
			if refused.Code != refusal.NotLeader && refused.Code != refusal.OutcomeUnknown {
				return refused
			}
			lastErr = refused
			c.leader = leader
		}
		if time.Now().After(deadline) {
			return lastErr
		}
		time.Sleep(retryInterval)
	}
}

// Submit proposes a change and waits until it is in force. InForce is false in the
// reply if a majority of the hosts has acknowledged the change, but hosts without
// it may still serve when the leader stops waiting. After an error Submit may be
// called again with the same change: it is applied only once. The error is a
// *refusal.Refusal if the change was refused, no leader responded or the outcome
// is unknown.
func (c *Client) Submit(x config.Change) (api.SubmitReply, error) {
	b, err := x.Encode()
	if err != nil {
		return api.SubmitReply{}, err
	}
	var p api.SubmitReply
	err = c.callLeader(func(w *wire.Client) (string, *refusal.Refusal, error) {
		p = api.SubmitReply{}
		err := w.Call("Operator.Submit", api.SubmitArgs{Change: b}, &p, submitTimeout)
		return p.Leader, p.Refusal, err
	})
	return p, err
}

// Fetch returns the current configuration from the leader.
func (c *Client) Fetch() (*config.State, error) {
	var p api.FetchReply
	err := c.callLeader(func(w *wire.Client) (string, *refusal.Refusal, error) {
		p = api.FetchReply{}
		err := w.Call("Operator.Fetch", api.FetchArgs{}, &p, fetchTimeout)
		return p.Leader, p.Refusal, err
	})
	if err != nil {
		return nil, err
	}
	return config.DecodeState(p.State)
}

// Status returns the status of the replica at addr.
func (c *Client) Status(addr string) (api.ReplicaStatus, error) {
	c.pool.Secret = c.Secret
	var p api.ReplicaStatus
	err := c.pool.Get(addr).Call("Operator.Status", wire.Nothing{}, &p, fetchTimeout)
	return p, err
}

// Edit submits the edits that f returns for the current configuration. If another
// change was accepted in the meantime, it calls f again with the new
// configuration. If f returns no edits, nothing is submitted.
func (c *Client) Edit(author string, f func(*config.State) []config.Edit) (api.SubmitReply, error) {
	for {
		s, err := c.Fetch()
		if err != nil {
			return api.SubmitReply{}, err
		}
		e := f(s)
		if len(e) == 0 {
			return api.SubmitReply{InForce: true}, nil
		}
		p, err := c.Submit(config.Change{ID: NewChangeID(), Base: s.Version, Author: author, Edits: e})
		if x, ok := err.(*refusal.Refusal); ok && x.Code == refusal.VersionConflict {
			continue
		}
		return p, err
	}
}
