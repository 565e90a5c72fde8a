package leaseholder

import (
	"sync"
	"time"

	"github.com/asynkron/protoactor-go/actor"

	"github.com/carawayrack/carawayrack/clock"
	"github.com/carawayrack/carawayrack/idempotency"
)

// fenceCall fences one host. It retries until the host replies, its process is
// proved dead, or the time in until has passed. A probe is sent only once, to find
// out whether the process of a silent host is dead or has restarted.
type fenceCall struct {
	args      FenceArgs
	host      string
	probe     bool
	transport Transport
	root      *actor.RootContext
	pid       *actor.PID
	until     time.Time
}

// fenceResult is the result of a fenceCall.
type fenceResult struct {
	host  string
	term  uint64
	probe bool
	dead  bool
	reply FenceReply
}

func (l *fenceCall) run() {
	for time.Now().Before(l.until) {
		r, err := l.transport.Fence(l.host, l.args)
		if err == nil {
			l.root.Send(l.pid, &fenceResult{host: l.host, term: l.args.Term, probe: l.probe, reply: r})
			return
		}
		if l.transport.NoListener(err) {
			l.root.Send(l.pid, &fenceResult{host: l.host, term: l.args.Term, probe: l.probe, dead: true})
			return
		}
		if l.probe {
			return
		}
		time.Sleep(retryInterval.Duration())
	}
}

// recordRecovery collects the idempotency records of a shard from the members of
// its group for a new leaseholder.
type recordRecovery struct {
	shard     int
	term      uint64
	groups    [][]string
	transport Transport
	root      *actor.RootContext
	pid       *actor.PID
}

// recoveredRecords is the result of a recordRecovery. lost is true if all
// members replied and no majority held all acknowledged records.
type recoveredRecords struct {
	term         uint64
	records      []idempotency.Record
	uncertainFor clock.Millis
	lost         bool
}

// maxRecallRounds bounds the attempts, so that the goroutine ends. After the last
// one, the leaseholder refuses requests with an Idempotency-Key until the lease
// changes: a member that becomes leaseholder again starts another recovery.
const maxRecallRounds = 600

func (r *recordRecovery) run() {
	for k := 0; k < maxRecallRounds; k++ {
		x, done := r.round()
		if done {
			r.root.Send(r.pid, x)
			return
		}
		time.Sleep(2 * retryInterval.Duration())
	}
}

func (r *recordRecovery) round() (*recoveredRecords, bool) {
	x := &recoveredRecords{term: r.term}
	complete := map[string]bool{}
	replied := map[string]bool{}
	for _, g := range r.groups {
		for _, h := range g {
			if replied[h] {
				continue
			}
			p, err := r.transport.Recall(h, RecallArgs{Shard: r.shard, Term: r.term})
			if err != nil || !p.Accepted {
				continue
			}
			replied[h] = true
			complete[h] = p.Complete
			x.records = append(x.records, p.Records...)
			x.uncertainFor = max(x.uncertainFor, p.Doubt)
		}
	}
	if hasMajorities(r.groups, complete) {
		return x, true
	}
	x.lost = true
	return x, containsAll(r.groups, replied)
}

// hasMajorities reports whether set contains a majority of each group.
func hasMajorities(groups [][]string, set map[string]bool) bool {
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

// containsAll reports whether set contains all members of all groups.
func containsAll(groups [][]string, set map[string]bool) bool {
	for _, g := range groups {
		for _, h := range g {
			if !set[h] {
				return false
			}
		}
	}
	return true
}

// replication stores the start of a request on the members of the groups. It
// sends its result once a majority of each group has stored the start, or all
// members have replied or failed.
type replication struct {
	args      ReplicateArgs
	groups    [][]string
	self      string
	transport Transport
	root      *actor.RootContext
	pid       *actor.PID
	requester *actor.PID
	record    idempotency.Record

	mu      sync.Mutex
	stored  map[string]bool
	waiting int
	sent    bool
}

// replicationResult is the result of a replication.
type replicationResult struct {
	term      uint64
	stored    bool
	requester *actor.PID
	record    idempotency.Record
}

func (r *replication) run() {
	r.stored = map[string]bool{r.self: true}
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
	r.waiting = len(others)
	if r.waiting == 0 {
		r.addReply("", true)
		return
	}
	for _, h := range others {
		c := &replicationCall{r, h}
		go c.run()
	}
}

// addReply handles the reply of one member; host is empty if there are no other
// members.
func (r *replication) addReply(host string, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.waiting--
	if host != "" {
		r.stored[host] = ok
	}
	stored := hasMajorities(r.groups, r.stored)
	if r.sent || (!stored && r.waiting > 0) {
		return
	}
	r.sent = true
	r.root.Send(r.pid, &replicationResult{term: r.args.Term, stored: stored, requester: r.requester, record: r.record})
}

// replicationCall sends the record to one member. A member without all records does
// not count as having stored it, since a recovery needs members that have all.
type replicationCall struct {
	replication *replication
	host        string
}

func (c *replicationCall) run() {
	p, err := c.replication.transport.Replicate(c.host, c.replication.args)
	c.replication.addReply(c.host, err == nil && p.Accepted && p.Complete)
}

// snapshotSender sends the state of the leaseholder's pools to one member.
type snapshotSender struct {
	host      string
	args      ShadowArgs
	transport Transport
	root      *actor.RootContext
	pid       *actor.PID
}

// memberResult is a member's reply, which shows whether it holds all records.
type memberResult struct {
	host  string
	term  uint64
	reply MemberReply
}

func (x *snapshotSender) run() {
	p, err := x.transport.Shadow(x.host, x.args)
	if err == nil {
		x.root.Send(x.pid, &memberResult{host: x.host, term: x.args.Term, reply: p})
	}
}

// recordSender sends idempotency records to one member.
type recordSender struct {
	host      string
	args      ReplicateArgs
	transport Transport
	root      *actor.RootContext
	pid       *actor.PID
}

func (x *recordSender) run() {
	p, err := x.transport.Replicate(x.host, x.args)
	if err == nil && p.Complete {
		x.root.Send(x.pid, &memberResult{host: x.host, term: x.args.Term, reply: p})
	}
}
