// Package placement assigns shards to entry hosts.
package placement

import (
	"hash/fnv"
	"sort"
	"strconv"

	"github.com/carawayrack/carawayrack/config"
)

const (
	// Shards is the number of shards that accounts, services and idempotency
	// keys are spread over.
	Shards = 64
	// GroupSize is the number of hosts that share a shard.
	GroupSize = 3
)

// AccountShard returns the shard of a client account.
func AccountShard(name string) int { return shard("account/" + name) }

// ServiceShard returns the shard of a service.
func ServiceShard(name string) int { return shard("service/" + name) }

// IdempotencyShard returns the shard of an idempotency key.
func IdempotencyShard(account, key string) int { return shard("key/" + account + "/" + key) }

func shard(s string) int { return int(score(s) % Shards) }

func score(s string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(s))
	// FNV leaves neighbouring inputs close together; this mixes them.
	x := h.Sum64()
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

// Group returns the hosts of a shard in order of preference, by rendezvous
// hashing. They lie in different availability zones as far as there are
// enough.
func Group(hosts map[string]config.Host, shard int) []string {
	l := Rank(hosts, "shard/"+strconv.Itoa(shard))
	zones := map[string]bool{}
	var g, rest []string
	for _, id := range l {
		z := hosts[id].Zone
		if zones[z] {
			rest = append(rest, id)
			continue
		}
		zones[z] = true
		g = append(g, id)
	}
	g = append(g, rest...)
	return g[:min(GroupSize, len(g))]
}

// Rank orders hosts by rendezvous hashing for a key, best first.
func Rank(hosts map[string]config.Host, key string) []string {
	l := make([]string, 0, len(hosts))
	s := make(map[string]uint64, len(hosts))
	for id := range hosts {
		l = append(l, id)
		s[id] = score(id + "|" + key)
	}
	sort.Slice(l, func(i, j int) bool {
		if s[l[i]] != s[l[j]] {
			return s[l[i]] > s[l[j]]
		}
		return l[i] < l[j]
	})
	return l
}

// Groups returns a shard's group under each roster that must agree.
func Groups(s *config.State, shard int) [][]string {
	var g [][]string
	for _, m := range s.JointRoster() {
		g = append(g, Group(m, shard))
	}
	return g
}
