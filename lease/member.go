// Package lease decides which member of a shard's group of hosts is its
// keeper. The keeper holds a majority lease: a term, and a promise by a
// majority of the group to support nobody else for a while. Members keep
// nothing on disk; a member that restarts grants nothing until every promise
// it may have forgotten has run out.
package lease

import (
	"sort"

	"github.com/carawayrack/carawayrack/clock"
)

// Member is the decision state of one member of one group. Its methods must
// not be called concurrently. Messages are collected until Take.
type Member struct {
	Shard       int
	Self        string
	Incarnation string
	// Duration is the length of a lease by the holder's clock.
	Duration clock.Millis
	// DriftPercent bounds how much two clocks may differ in speed.
	DriftPercent int
	// Random returns a number in [0, n).
	Random func(n int) int

	groups [][]string
	// readyAt is when promises of a former process have run out.
	readyAt clock.Millis

	highest       uint64
	promisedTo    string
	promisedTerm  uint64
	promisedUntil clock.Millis

	term    uint64
	round   uint64
	sent    map[uint64]clock.Millis
	support map[string]clock.Millis
	askAt   clock.Millis
	waitTo  clock.Millis
	outbox  []Message
}

// Run starts the member.
func (m *Member) Run(now clock.Millis) {
	m.readyAt = now + m.promise()
	m.sent = map[uint64]clock.Millis{}
	m.support = map[string]clock.Millis{}
}

// SetGroups sets the groups whose majorities must agree: one, or two while the
// roster changes. Each is in order of preference.
func (m *Member) SetGroups(groups [][]string) { m.groups = groups }

// promise is the length of a voter's promise: a lease and what its clock may
// run ahead of the holder's.
func (m *Member) promise() clock.Millis {
	return m.Duration + m.Duration*clock.Millis(m.DriftPercent)/100 + 1
}

// Holds returns the term under which the member is the keeper.
func (m *Member) Holds(now clock.Millis) (uint64, bool) {
	if m.term == 0 || now >= m.heldUntil() {
		return 0, false
	}
	return m.term, true
}

// Leaseholder returns the host that this member supports, empty if none.
func (m *Member) Leaseholder(now clock.Millis) string {
	if now >= m.promisedUntil {
		return ""
	}
	return hostOf(m.promisedTo)
}

// Term returns the highest term known.
func (m *Member) Term() uint64 { return m.highest }

// heldUntil is when the lease ends by this member's clock: it counts from the
// time at which the supported ask was sent.
func (m *Member) heldUntil() clock.Millis {
	until := clock.Millis(-1)
	for _, g := range m.groups {
		var l []clock.Millis
		for _, id := range g {
			if at, ok := m.support[id]; ok {
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

// Tick lets time pass. May tells whether the member may be keeper at all.
func (m *Member) Tick(now clock.Millis, may bool) {
	if _, ok := m.Holds(now); m.term != 0 && !ok && now >= m.waitTo {
		m.drop(now)
	}
	r := m.rank()
	if r < 0 || !may || now < m.readyAt {
		return
	}
	if m.term != 0 {
		if now >= m.askAt {
			m.ask(now)
		}
		return
	}
	if now < m.promisedUntil {
		// The next in line waits longer, so that candidates do not collide.
		m.askAt = max(m.askAt, m.promisedUntil+m.backoff(r))
		return
	}
	if m.askAt == 0 {
		m.askAt = now + m.backoff(r)
	}
	if now >= m.askAt {
		m.stand(now)
	}
}

func (m *Member) backoff(rank int) clock.Millis {
	step := max(int(m.Duration/6), 1)
	return clock.Millis(rank*step + m.Random(step))
}

func (m *Member) stand(now clock.Millis) {
	m.highest++
	m.term = m.highest
	m.support = map[string]clock.Millis{}
	m.sent = map[uint64]clock.Millis{}
	m.waitTo = now + m.Duration/2
	m.ask(now)
}

// drop gives up the term, after a lapse or a lost election.
func (m *Member) drop(now clock.Millis) {
	m.term = 0
	m.support = map[string]clock.Millis{}
	m.sent = map[uint64]clock.Millis{}
	m.askAt = now + m.backoff(max(m.rank(), 0))
}

// ask asks every member for support, the own vote included.
func (m *Member) ask(now clock.Millis) {
	m.round++
	m.sent[m.round] = now
	m.askAt = now + m.Duration/4
	for r, at := range m.sent {
		if now-at > m.Duration {
			delete(m.sent, r)
		}
	}
	for _, id := range m.peers() {
		x := Message{Shard: m.Shard, Kind: Request, From: m.Self, To: id, Incarnation: m.Incarnation, Term: m.term, Round: m.round}
		if id == m.Self {
			m.Step(now, m.answer(now, x))
			continue
		}
		m.outbox = append(m.outbox, x)
	}
}

func (m *Member) peers() []string {
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

// TakeMessages returns the messages to send and forgets them.
func (m *Member) TakeMessages() []Message {
	o := m.outbox
	m.outbox = nil
	return o
}

// Step handles a message.
func (m *Member) Step(now clock.Millis, x Message) {
	if x.To != m.Self {
		return
	}
	switch x.Kind {
	case Request:
		m.outbox = append(m.outbox, m.answer(now, x))
	case Response:
		m.stepAnswer(now, x)
	case Resign:
		if m.promisedTo == holder(x) && m.promisedTerm == x.Term {
			m.promisedUntil = now
			m.askAt = now + m.backoff(max(m.rank(), 0))/4
		}
	}
}

// answer votes on an ask.
func (m *Member) answer(now clock.Millis, x Message) Message {
	r := Message{Shard: m.Shard, Kind: Response, From: m.Self, To: x.From, Incarnation: x.Incarnation, Term: x.Term, Round: x.Round}
	if now >= m.readyAt && x.Term >= m.highest && m.mayPromise(now, x) {
		m.highest = x.Term
		m.promisedTo = holder(x)
		m.promisedTerm = x.Term
		m.promisedUntil = now + m.promise()
		r.Granted = true
	}
	r.Highest = m.highest
	return r
}

// mayPromise reports whether an ask renews the promise given, or comes when
// none is outstanding. A term is never promised to two processes.
func (m *Member) mayPromise(now clock.Millis, x Message) bool {
	if m.promisedTo == holder(x) {
		return x.Term >= m.promisedTerm
	}
	return now >= m.promisedUntil && x.Term > m.promisedTerm
}

func (m *Member) stepAnswer(now clock.Millis, x Message) {
	m.highest = max(m.highest, x.Highest)
	if x.Term != m.term || x.Incarnation != m.Incarnation || m.term == 0 {
		return
	}
	at, known := m.sent[x.Round]
	if x.Granted && known {
		m.support[x.From] = max(m.support[x.From], at)
		return
	}
	if _, ok := m.Holds(now); x.Highest > m.term && !ok {
		m.drop(now)
	}
}

// ObserveTerm makes the member stand again above a term that a host has seen.
func (m *Member) ObserveTerm(now clock.Millis, term uint64) {
	if term <= m.highest {
		return
	}
	m.highest = term
	if m.term != 0 {
		m.drop(now)
	}
}

// Release gives the lease up and tells the others, for a planned stop.
func (m *Member) Release(now clock.Millis) {
	if m.term == 0 {
		return
	}
	for _, id := range m.peers() {
		if id != m.Self {
			m.outbox = append(m.outbox, Message{
				Shard: m.Shard, Kind: Resign, From: m.Self, To: id, Incarnation: m.Incarnation, Term: m.term,
			})
		}
	}
	m.drop(now)
}

func holder(x Message) string { return x.From + "/" + x.Incarnation }

func hostOf(h string) string {
	for i := range h {
		if h[i] == '/' {
			return h[:i]
		}
	}
	return h
}
