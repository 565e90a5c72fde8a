// Package lease decides which member of a shard's group of hosts is the
// leaseholder. A lease consists of a fencing term and of grants by a majority of
// the group; until its grant expires, a member grants no other process. Members
// store nothing on disk: a restarted member grants nothing until every grant
// that it may have made before the restart has expired.
package lease

import (
	"sort"

	"github.com/carawayrack/carawayrack/clock"
)

// Member is the state machine of one member of one group. Its methods must not
// be called concurrently. Messages to send are collected until TakeMessages.
// Times are in milliseconds of this member's clock.
type Member struct {
	Shard int
	// Self is the ID of the member's host, Incarnation that of its process.
	Self        string
	Incarnation string
	// Duration is the length of a lease by the leaseholder's clock.
	Duration clock.Millis
	// DriftPercent is the largest difference in speed between two clocks, in
	// percent.
	DriftPercent int
	// Random returns a number in [0, n).
	Random func(n int) int

	groups [][]string
	// mayGrantAt is when all grants of a previous process have expired.
	mayGrantAt clock.Millis

	// highestTerm is the highest term that the member knows.
	highestTerm uint64
	// grantedTo is the process (see holderID) that got the last grant.
	grantedTo    string
	grantedTerm  uint64
	grantedUntil clock.Millis

	// term is the term in which the member campaigns or holds the lease, 0 if it
	// does neither.
	term  uint64
	round uint64
	// roundSentAt is when the requests of each round were sent.
	roundSentAt map[uint64]clock.Millis
	// grantedRoundAt is, for each member, when the newest round that it granted
	// was sent.
	grantedRoundAt map[string]clock.Millis
	nextRequestAt  clock.Millis
	// campaignUntil is when the member gives up a term without a majority.
	campaignUntil clock.Millis
	outbox        []Message
}

// Run starts the member.
func (m *Member) Run(now clock.Millis) {
	m.mayGrantAt = now + m.grantDuration()
	m.roundSentAt = map[uint64]clock.Millis{}
	m.grantedRoundAt = map[string]clock.Millis{}
}

// SetGroups sets the groups of host IDs, each in order of preference. A lease
// needs a majority of every group: there is one, or two while the group changes.
func (m *Member) SetGroups(groups [][]string) { m.groups = groups }

// grantDuration returns how long a grant is valid by the clock of the granting
// member: the length of a lease, plus the time by which that clock may run ahead
// of the leaseholder's.
func (m *Member) grantDuration() clock.Millis {
	return m.Duration + m.Duration*clock.Millis(m.DriftPercent)/100 + 1
}

// Holds returns the term under which the member holds the lease, and whether it
// does.
func (m *Member) Holds(now clock.Millis) (uint64, bool) {
	if m.term == 0 || now >= m.heldUntil() {
		return 0, false
	}
	return m.term, true
}

// Leaseholder returns the host to which this member has granted the lease, empty
// if the grant has expired. That host may lack a majority.
func (m *Member) Leaseholder(now clock.Millis) string {
	if now >= m.grantedUntil {
		return ""
	}
	return hostOf(m.grantedTo)
}

// Term returns the highest term that the member knows.
func (m *Member) Term() uint64 { return m.highestTerm }

// heldUntil returns when the lease expires, 0 if a group has no majority of
// grants. A grant counts from the time at which its request was sent.
func (m *Member) heldUntil() clock.Millis {
	until := clock.Millis(-1)
	for _, g := range m.groups {
		var l []clock.Millis
		for _, id := range g {
			if at, ok := m.grantedRoundAt[id]; ok {
				l = append(l, at)
			}
		}
		if len(l) < len(g)/2+1 {
			return 0
		}
		sort.Slice(l, func(i, j int) bool { return l[i] > l[j] })
		u := l[len(g)/2] + m.Duration
		if until < 0 || u < until {
			until = u
		}
	}
	return max(until, 0)
}

// rank returns the member's position in the order of preference, -1 if it is not
// in the first group.
func (m *Member) rank() int {
	if len(m.groups) == 0 {
		return -1
	}
	for i, id := range m.groups[0] {
		if id == m.Self {
			return i
		}
	}
	return -1
}

// Tick gives up an expired lease or lost election, and sends requests for grants
// when they are due. A member campaigns for the lease and renews it only if it is
// in the first group and the caller considers it eligible.
func (m *Member) Tick(now clock.Millis, eligible bool) {
	if _, ok := m.Holds(now); m.term != 0 && !ok && now >= m.campaignUntil {
		m.dropTerm(now)
	}
	r := m.rank()
	if r < 0 || !eligible || now < m.mayGrantAt {
		return
	}
	if m.term != 0 {
		if now >= m.nextRequestAt {
			m.requestGrants(now)
		}
		return
	}
	if now < m.grantedUntil {
		// The wait grows with the rank, so that candidates do not collide.
		m.nextRequestAt = max(m.nextRequestAt, m.grantedUntil+m.backoff(r))
		return
	}
	if m.nextRequestAt == 0 {
		m.nextRequestAt = now + m.backoff(r)
	}
	if now >= m.nextRequestAt {
		m.campaign(now)
	}
}

// backoff returns the time to wait before a campaign: it grows with the rank and
// has a random part.
func (m *Member) backoff(rank int) clock.Millis {
	step := max(int(m.Duration/6), 1)
	return clock.Millis(rank*step + m.Random(step))
}

// campaign requests the lease under a new term.
func (m *Member) campaign(now clock.Millis) {
	m.highestTerm++
	m.term = m.highestTerm
	m.grantedRoundAt = map[string]clock.Millis{}
	m.roundSentAt = map[uint64]clock.Millis{}
	m.campaignUntil = now + m.Duration/2
	m.requestGrants(now)
}

// dropTerm gives up the term, for example because the lease expired or the
// campaign failed. The grants of the term, also its own, end at once: they would keep
// others from the lease, and the member never uses this term again.
func (m *Member) dropTerm(now clock.Millis) {
	for _, id := range m.memberIDs() {
		x := Message{Shard: m.Shard, Kind: Resign, From: m.Self, To: id, Incarnation: m.Incarnation, Term: m.term}
		if id == m.Self {
			m.endGrant(now, x)
			continue
		}
		m.outbox = append(m.outbox, x)
	}
	m.term = 0
	m.grantedRoundAt = map[string]clock.Millis{}
	m.roundSentAt = map[uint64]clock.Millis{}
	m.nextRequestAt = now + m.backoff(max(m.rank(), 0))
}

// requestGrants starts a round: it requests a grant from every member, itself
// included.
func (m *Member) requestGrants(now clock.Millis) {
	m.round++
	m.roundSentAt[m.round] = now
	m.nextRequestAt = now + m.Duration/4
	for r, at := range m.roundSentAt {
		if now-at > m.Duration {
			delete(m.roundSentAt, r)
		}
	}
	for _, id := range m.memberIDs() {
		x := Message{Shard: m.Shard, Kind: Request, From: m.Self, To: id, Incarnation: m.Incarnation, Term: m.term, Round: m.round}
		if id == m.Self {
			m.Step(now, m.respond(now, x))
			continue
		}
		m.outbox = append(m.outbox, x)
	}
}

// memberIDs returns the members of all groups, each once.
func (m *Member) memberIDs() []string {
	var l []string
	seen := map[string]bool{}
	for _, g := range m.groups {
		for _, id := range g {
			if !seen[id] {
				seen[id] = true
				l = append(l, id)
			}
		}
	}
	return l
}

// TakeMessages returns the messages to send and empties the outbox.
func (m *Member) TakeMessages() []Message {
	o := m.outbox
	m.outbox = nil
	return o
}

// Step handles a message from a member.
func (m *Member) Step(now clock.Millis, x Message) {
	if x.To != m.Self {
		return
	}
	switch x.Kind {
	case Request:
		m.outbox = append(m.outbox, m.respond(now, x))
	case Response:
		m.stepResponse(now, x)
	case Resign:
		if m.endGrant(now, x) {
			m.nextRequestAt = now + m.backoff(max(m.rank(), 0))/4
		}
	}
}

// endGrant ends the grant to a process that gives up its term. It returns false if this member
// has granted another one.
func (m *Member) endGrant(now clock.Millis, x Message) bool {
	if m.grantedTo != holderID(x) || m.grantedTerm != x.Term {
		return false
	}
	m.grantedUntil = now
	return true
}

// respond grants or rejects a request.
func (m *Member) respond(now clock.Millis, x Message) Message {
	r := Message{Shard: m.Shard, Kind: Response, From: m.Self, To: x.From, Incarnation: x.Incarnation, Term: x.Term, Round: x.Round}
	if now >= m.mayGrantAt && x.Term >= m.highestTerm && m.mayGrant(now, x) {
		m.highestTerm = x.Term
		m.grantedTo = holderID(x)
		m.grantedTerm = x.Term
		m.grantedUntil = now + m.grantDuration()
		r.Granted = true
	}
	r.Highest = m.highestTerm
	return r
}

// mayGrant reports whether a request renews the member's grant, or comes when no
// grant is valid. A term is never granted to two processes.
func (m *Member) mayGrant(now clock.Millis, x Message) bool {
	if m.grantedTo == holderID(x) {
		return x.Term >= m.grantedTerm
	}
	return now >= m.grantedUntil && x.Term > m.grantedTerm
}

func (m *Member) stepResponse(now clock.Millis, x Message) {
	m.highestTerm = max(m.highestTerm, x.Highest)
	if x.Term != m.term || x.Incarnation != m.Incarnation || m.term == 0 {
		return
	}
	at, known := m.roundSentAt[x.Round]
	if x.Granted && known {
		m.grantedRoundAt[x.From] = max(m.grantedRoundAt[x.From], at)
		return
	}
	if _, ok := m.Holds(now); x.Highest > m.term && !ok {
		m.dropTerm(now)
	}
}

// ObserveTerm records a term that a host has seen. If it is higher than all that
// the member knows, the member gives up its own term and campaigns again with a
// higher one.
func (m *Member) ObserveTerm(now clock.Millis, term uint64) {
	if term <= m.highestTerm {
		return
	}
	m.highestTerm = term
	if m.term != 0 {
		m.dropTerm(now)
	}
}

// Release gives up the lease and notifies the other members, for a planned stop.
func (m *Member) Release(now clock.Millis) {
	if m.term != 0 {
		m.dropTerm(now)
	}
}

// holderID identifies a process: its host and its incarnation.
func holderID(x Message) string { return x.From + "/" + x.Incarnation }

// hostOf returns the host of a holder ID.
func hostOf(h string) string {
	for i := range h {
		if h[i] == '/' {
			return h[:i]
		}
	}
	return h
}
