// Package placement maps client accounts, services and idempotency keys to
// shards, and shards to groups of entry hosts.
package placement

import (
	"hash/fnv"
	"sort"
	"strconv"

	"github.com/carawayrack/carawayrack/config"
)

const (
	// Shards is the number of shards among which accounts, services and
	// idempotency keys are distributed.
	Shards = 64
	// GroupSize is the number of hosts in the group of a shard.
	GroupSize = 3
)

// AccountShard returns the shard of a client account.
func AccountShard(name string) int { return shardOf("account/" + name) }

// ServiceShard returns the shard of a service.
func ServiceShard(name string) int { return shardOf("service/" + name) }

// IdempotencyShard returns the shard of an idempotency key.
func IdempotencyShard(account, key string) int { return shardOf("key/" + account + "/" + key) }

func shardOf(s string) int { return int(hash(s) % Shards) }

func hash(s string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(s))
	// FNV maps similar inputs to similar values; this final mix spreads them.
	x := h.Sum64()
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

// Group returns the IDs of the hosts of a shard, at most GroupSize, in order of
// preference by rendezvous hashing. They are in different availability zones if
// there are enough zones.
func Group(hosts map[string]config.Host, shard int) []string {
	ranked := Rank(hosts, "shard/"+strconv.Itoa(shard))
	zones := map[string]bool{}
	var group, rest []string
	for _, id := range ranked {
		zone := hosts[id].Zone
		if zones[zone] {
			rest = append(rest, id)
			continue
		}
		zones[zone] = true
		group = append(group, id)
	}
	group = append(group, rest...)
	return group[:min(GroupSize, len(group))]
}

// Rank returns the IDs of hosts in the order of their rendezvous hashes for
// key, highest first.
func Rank(hosts map[string]config.Host, key string) []string {
	ids := make([]string, 0, len(hosts))
	scores := make(map[string]uint64, len(hosts))
	for id := range hosts {
		ids = append(ids, id)
		scores[id] = hash(id + "|" + key)
	}
	sort.Slice(ids, func(i, j int) bool {
		if scores[ids[i]] != scores[ids[j]] {
			return scores[ids[i]] > scores[ids[j]]
		}
		return ids[i] < ids[j]
	})
	return ids
}

// Groups returns the group of a shard under each roster that must agree: the
// current one and, while a roster change is in progress, the previous one.
func Groups(s *config.State, shard int) [][]string {
	var groups [][]string
	for _, hosts := range s.JointRoster() {
		groups = append(groups, Group(hosts, shard))
	}
	return groups
}
