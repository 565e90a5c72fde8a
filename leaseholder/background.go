package leaseholder

import (
	"sync"
	"time"

	"github.com/asynkron/protoactor-go/actor"

	"github.com/carawayrack/carawayrack/clock"
	"github.com/carawayrack/carawayrack/idempotency"
)

// learner asks one host what it holds until it answers or is proved dead.
type learner struct {
	args  FenceArgs
	host  string
	probe bool
	links Transport
	root  *actor.RootContext
	pid   *actor.PID
	until time.Time
}

// learned is the result of a learner.
type learned struct {
	host  string
	term  uint64
	probe bool
	dead  bool
	reply FenceReply
}

func (l *learner) run() {
	for time.Now().Before(l.until) {
		r, err := l.links.Fence(l.host, l.args)
		if err == nil {
			l.root.Send(l.pid, &learned{host: l.host, term: l.args.Term, probe: l.probe, reply: r})
			return
		}
		if l.links.NoListener(err) {
			l.root.Send(l.pid, &learned{host: l.host, term: l.args.Term, probe: l.probe, dead: true})
			return
		}
		if l.probe {
			return
		}
		time.Sleep(fenceInterval.Duration())
	}
}

// recaller collects the records of a shard for a new keeper.
type recaller struct {
	shard  int
	term   uint64
	groups [][]string
	links  Transport
	root   *actor.RootContext
	pid    *actor.PID
}

// recalled is the result of a recaller.
type recalled struct {
	term    uint64
	records []idempotency.Record
	doubt   clock.Millis
	lost    bool
}

// recallRounds bounds the tries; a keeper that lost its lease starts anew.
const recallRounds = 600

func (r *recaller) run() {
	for k := 0; k < recallRounds; k++ {
		x, done := r.round()
		if done {
			r.root.Send(r.pid, x)
			return
		}
		time.Sleep(2 * fenceInterval.Duration())
	}
}

func (r *recaller) round() (*recalled, bool) {
	x := &recalled{term: r.term}
	complete := map[string]bool{}
	heard := map[string]bool{}
	for _, g := range r.groups {
		for _, h := range g {
			if heard[h] {
				continue
			}
			p, err := r.links.Recall(h, RecallArgs{Shard: r.shard, Term: r.term})
			if err != nil || !p.Accepted {
				continue
			}
			heard[h] = true
			complete[h] = p.Complete
			x.records = append(x.records, p.Records...)
			x.doubt = max(x.doubt, p.Doubt)
		}
	}
	if majorities(r.groups, complete) {
		return x, true
	}
	x.lost = true
	return x, everyone(r.groups, heard)
}

// majorities reports whether a majority of each group is in the set.
func majorities(groups [][]string, set map[string]bool) bool {
	for _, g := range groups {
		k := 0
		for _, h := range g {
			if set[h] {
				k++
			}
		}
		if 2*k <= len(g) {
			return false
		}
	}
	return true
}

func everyone(groups [][]string, set map[string]bool) bool {
	for _, g := range groups {
		for _, h := range g {
			if !set[h] {
				return false
			}
		}
	}
	return true
}

// replication stores the start of a request on the members of the group.
type replication struct {
	args   ReplicateArgs
	groups [][]string
	self   string
	links  Transport
	root   *actor.RootContext
	pid    *actor.PID
	asker  *actor.PID
	record idempotency.Record

	mu   sync.Mutex
	held map[string]bool
	left int
	sent bool
}

// replicated is the result of a replication.
type replicated struct {
	term   uint64
	held   bool
	asker  *actor.PID
	record idempotency.Record
}

func (r *replication) run() {
	r.held = map[string]bool{r.self: true}
	var others []string
	seen := map[string]bool{r.self: true}
	for _, g := range r.groups {
		for _, h := range g {
			if !seen[h] {
				seen[h] = true
				others = append(others, h)
			}
		}
	}
	r.left = len(others)
	if r.left == 0 {
		r.count("", true)
		return
	}
	for _, h := range others {
		c := &replicationCall{r, h}
		go c.run()
	}
}

// count takes in the answer of one member.
func (r *replication) count(host string, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.left--
	if host != "" {
		r.held[host] = ok
	}
	held := majorities(r.groups, r.held)
	if r.sent || (!held && r.left > 0) {
		return
	}
	r.sent = true
	r.root.Send(r.pid, &replicated{term: r.args.Term, held: held, asker: r.asker, record: r.record})
}

type replicationCall struct {
	replication *replication
	host        string
}

func (c *replicationCall) run() {
	p, err := c.replication.links.Replicate(c.host, c.replication.args)
	c.replication.count(c.host, err == nil && p.Accepted && p.Complete)
}

// sharer sends the keeper's state to one member.
type sharer struct {
	host  string
	args  ShadowArgs
	links Transport
	root  *actor.RootContext
	pid   *actor.PID
}

// memberState is what a member said of its records.
type memberState struct {
	host  string
	term  uint64
	reply MemberReply
}

func (x *sharer) run() {
	p, err := x.links.Shadow(x.host, x.args)
	if err == nil {
		x.root.Send(x.pid, &memberState{host: x.host, term: x.args.Term, reply: p})
	}
}

// spreader sends records to one member.
type spreader struct {
	host  string
	args  ReplicateArgs
	links Transport
	root  *actor.RootContext
	pid   *actor.PID
}

func (x *spreader) run() {
	p, err := x.links.Replicate(x.host, x.args)
	if err == nil && p.Complete {
		x.root.Send(x.pid, &memberState{host: x.host, term: x.args.Term, reply: p})
	}
}
