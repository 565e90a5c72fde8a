// Package shardclient obtains tokens, slots and idempotency records from the
// leaseholders of shards for a host, and records what the host holds.
package shardclient

import (
	"sync"
	"time"

	"github.com/carawayrack/carawayrack/clock"
	"github.com/carawayrack/carawayrack/config"
	"github.com/carawayrack/carawayrack/leaseholder"
	"github.com/carawayrack/carawayrack/placement"
	"github.com/carawayrack/carawayrack/refusal"
)

// Locator finds the leaseholder of a shard. It tries the last known one first, then
// the members of the shard's groups.
type Locator struct {
	Config func() *config.State
	Clock  clock.Clock
	// Call calls a net/rpc method of a host.
	Call func(host, method string, args, reply any, timeout clock.Millis) error
	// SearchTimeout is the longest time to search for a leaseholder.
	SearchTimeout clock.Millis

	mu           sync.Mutex
	leaseholders map[int]string
	// groups caches the groups of the shards under the roster of
	// rosterSequence.
	groups         map[int][][]string
	rosterSequence uint64
}

// groupsOf returns the groups of a shard. It caches them, since ranking all hosts
// for every request costs too much.
func (l *Locator) groupsOf(shard int) [][]string {
	s := l.Config()
	l.mu.Lock()
	defer l.mu.Unlock()
	if s.RosterSequence != l.rosterSequence || l.groups == nil {
		l.rosterSequence = s.RosterSequence
		l.groups = map[int][][]string{}
	}
	g, ok := l.groups[shard]
	if !ok {
		g = placement.Groups(s, shard)
		l.groups[shard] = g
	}
	return g
}

// searchInterval is the pause after all candidates have been tried.
const searchInterval = 25 * clock.Millis(1)

// reply is the reply of a leaseholder.
type reply interface {
	GetStatus() *leaseholder.Status
}

// candidates returns the hosts that may be leaseholder of a shard, the likeliest
// first.
func (l *Locator) candidates(shard int) []string {
	l.mu.Lock()
	k := l.leaseholders[shard]
	l.mu.Unlock()
	var c []string
	seen := map[string]bool{"": true}
	add := func(id string) {
		if !seen[id] {
			seen[id] = true
			c = append(c, id)
		}
	}
	add(k)
	for _, g := range l.groupsOf(shard) {
		for _, id := range g {
			add(id)
		}
	}
	return c
}

// Remember records the leaseholder of a shard.
func (l *Locator) Remember(shard int, host string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.leaseholders == nil {
		l.leaseholders = map[int]string{}
	}
	l.leaseholders[shard] = host
}

// callLeaseholder calls a method of the shard's leaseholder, and searches for it
// for up to SearchTimeout. newReply makes an empty reply before each call.
// onFailure, unless nil, is called with each host from which no reply came.
func (l *Locator) callLeaseholder(shard int, method string, args any, newReply func() reply, timeout clock.Millis, onFailure func(host string)) (reply, *refusal.Refusal) {
	end := l.Clock.Now() + l.SearchTimeout
	for {
		if r, x, done := l.tryMembers(shard, method, args, newReply, timeout, onFailure); done {
			return r, x
		}
		if l.Clock.Now() >= end {
			return nil, refusal.New(refusal.LeaseholderUnavailable, "no keeper answers for the shard")
		}
		time.Sleep(searchInterval.Duration())
	}
}

// tryMembers calls each candidate once until one handles the call. It reports
// false if none did.
func (l *Locator) tryMembers(shard int, method string, args any, newReply func() reply, timeout clock.Millis, onFailure func(host string)) (reply, *refusal.Refusal, bool) {
	for _, h := range l.candidates(shard) {
		r := newReply()
		if err := l.Call(h, method, args, r, timeout); err != nil {
			if onFailure != nil {
				onFailure(h)
			}
			continue
		}
		s := r.GetStatus()
		if s.Refusal == nil {
			l.Remember(shard, h)
			return r, nil, true
		}
		if s.Refusal.Code == refusal.LeaseholderUnavailable {
			// The leaseholder is not ready yet, so the search continues.
			l.Remember(shard, h)
			continue
		}
		if s.Refusal.Code != refusal.NotLeaseholder {
			return nil, s.Refusal, true
		}
		if s.Keeper != "" {
			l.Remember(shard, s.Keeper)
		}
	}
	return nil, nil, false
}
