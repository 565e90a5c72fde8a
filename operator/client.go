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

// Client talks to the control replicas.
type Client struct {
	// Replicas are the addresses of control replicas.
	Replicas []string
	Secret   string
	// LeaderTimeout bounds the search for the leader.
	LeaderTimeout clock.Millis

	pool   wire.Pool
	leader string
}

const (
	submitTimeout = 15 * clock.Second
	fetchTimeout  = 2 * clock.Second
	searchPause   = 100 * time.Millisecond
)

// NewChangeID returns a random change ID.
func NewChangeID() string {
	b := make([]byte, 12)
	// rand.Read never returns an error on supported platforms.
	_, _ = rand.Read(b)
	return hex.EncodeToString(b)
}

func (c *Client) candidates() []string {
	if c.leader != "" {
		return append([]string{c.leader}, c.Replicas...)
	}
	return c.Replicas
}

// search asks replicas until one that leads has answered. try reports the
// refusal of one replica and the leader that it names.
func (c *Client) search(try func(*wire.Client) (string, *refusal.Refusal, error)) error {
	c.pool.Secret = c.Secret
	end := time.Now().Add(c.LeaderTimeout.Duration())
	var last error = refusal.New(refusal.Unreachable, "no control replica answers")
	for {
		for _, a := range c.candidates() {
			l, x, err := try(c.pool.Get(a))
			if err != nil {
				last = err
				continue
			}
			if x == nil {
				c.leader = a
				return nil
			}
			if x.Code != refusal.NotLeader && x.Code != refusal.OutcomeUnknown {
				return x
			}
			last = x
			c.leader = l
		}
		if time.Now().After(end) {
			return last
		}
		time.Sleep(searchPause)
	}
}

// Submit proposes a change and waits until it is in force. It may be called
// again with the same change after an error: a change takes effect once. The
// error is a *refusal.Refusal.
func (c *Client) Submit(x config.Change) (api.SubmitReply, error) {
	b, err := x.Encode()
	if err != nil {
		return api.SubmitReply{}, err
	}
	var p api.SubmitReply
	err = c.search(func(w *wire.Client) (string, *refusal.Refusal, error) {
		p = api.SubmitReply{}
		err := w.Call("Operator.Submit", api.SubmitArgs{Change: b}, &p, submitTimeout)
		return p.Leader, p.Refusal, err
	})
	return p, err
}

// Fetch returns the configuration in force.
func (c *Client) Fetch() (*config.State, error) {
	var p api.FetchReply
	err := c.search(func(w *wire.Client) (string, *refusal.Refusal, error) {
		p = api.FetchReply{}
		err := w.Call("Operator.Fetch", api.FetchArgs{}, &p, fetchTimeout)
		return p.Leader, p.Refusal, err
	})
	if err != nil {
		return nil, err
	}
	return config.DecodeState(p.State)
}

// Status describes one replica.
func (c *Client) Status(addr string) (api.ReplicaStatus, error) {
	c.pool.Secret = c.Secret
	var p api.ReplicaStatus
	err := c.pool.Get(addr).Call("Operator.Status", wire.Nothing{}, &p, fetchTimeout)
	return p, err
}

// Edit submits edits against the configuration in force, and again if another
// change came first.
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
