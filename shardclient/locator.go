// Package shardclient obtains tokens, slots and idempotency records from the
// keepers of shards on behalf of a host, and keeps account of what the host
// holds.
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

// Locator finds the keeper of a shard. It remembers the last one and tries
// the members of the group otherwise.
type Locator struct {
	Config func() *config.State
	Clock  clock.Clock
	// Call calls a method on a host.
	Call func(host, method string, args, reply any, timeout clock.Millis) error
	// SearchTimeout bounds the search for a keeper.
	SearchTimeout clock.Millis

	mu      sync.Mutex
	keepers map[int]string
	// groups are the groups of the shards under the roster placed.
	groups map[int][][]string
	placed uint64
}

// groupsOf returns the groups of a shard. Ranking all hosts costs too much for
// every request.
func (l *Locator) groupsOf(shard int) [][]string {
	s := l.Config()
	l.mu.Lock()
	defer l.mu.Unlock()
	if s.RosterSequence != l.placed || l.groups == nil {
		l.placed = s.RosterSequence
		l.groups = map[int][][]string{}
	}
	g, ok := l.groups[shard]
	if !ok {
		g = placement.Groups(s, shard)
		l.groups[shard] = g
	}
	return g
}

const searchPause = 25 * clock.Millis(1)

// reply is an answer of a keeper.
type reply interface {
	GetStatus() *leaseholder.Status
}

// candidates returns the hosts to ask for a shard, the likeliest first.
func (l *Locator) candidates(shard int) []string {
	l.mu.Lock()
	k := l.keepers[shard]
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

// Remember notes who is keeper of a shard.
func (l *Locator) Remember(shard int, host string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.keepers == nil {
		l.keepers = map[int]string{}
	}
	l.keepers[shard] = host
}

// ask calls a method of the shard's keeper, and searches for it until the
// patience has run out. lost is told of calls whose answer stayed away.
func (l *Locator) ask(shard int, method string, args any, fresh func() reply, timeout clock.Millis, lost func(host string)) (reply, *refusal.Refusal) {
	end := l.Clock.Now() + l.SearchTimeout
	for {
		if r, x, done := l.round(shard, method, args, fresh, timeout, lost); done {
			return r, x
		}
		if l.Clock.Now() >= end {
			return nil, refusal.New(refusal.LeaseholderUnavailable, "no keeper answers for the shard")
		}
		time.Sleep(searchPause.Duration())
	}
}

func (l *Locator) round(shard int, method string, args any, fresh func() reply, timeout clock.Millis, lost func(host string)) (reply, *refusal.Refusal, bool) {
	for _, h := range l.candidates(shard) {
		r := fresh()
		if err := l.Call(h, method, args, r, timeout); err != nil {
			if lost != nil {
				lost(h)
			}
			continue
		}
		s := r.GetStatus()
		if s.Refusal == nil {
			l.Remember(shard, h)
			return r, nil, true
		}
		if s.Refusal.Code == refusal.LeaseholderUnavailable {
			// The keeper is not ready yet: the search goes on.
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
