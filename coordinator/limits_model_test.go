package coordinator_test

import (
	"encoding/json"
	"fmt"
	"math/rand"
	"slices"

	"github.com/pkg/errors"

	"github.com/carawayrack/carawayrack/catalog"
	"github.com/carawayrack/carawayrack/clock"
	"github.com/carawayrack/carawayrack/coordinator"
	"github.com/carawayrack/carawayrack/replica"
	"github.com/carawayrack/carawayrack/token"
)

// The users' bounds of a limit: in each window an account may have
// (rate x window + burst) x (1 + overshoot) + slack requests.
const (
	quotaWindow    = 5 * clock.Second
	quotaOvershoot = 0.1
	quotaSlack     = 20
	// maxConfigAge is the age of a proof from which a host takes no requests.
	maxConfigAge = 4300
	modelStep    = 5
)

var errLost = errors.New("lost")

// limitsModel runs control processes and hosts without a network, with a clock of its own.
type limitsModel struct {
	r     *rand.Rand
	now   clock.Millis
	cores []*modelCore
	hosts []*modelHost
	// queue holds what is under way, in the order of its arrival.
	queue []delivery
	// cut holds the pairs of machines whose messages are lost, by direction.
	cut map[[2]string]int
	// delay is the longest time that a message takes, loss the share of those that are lost.
	delay clock.Millis
	loss  float64
	// limits are the limits in force, with the time at which they were sent.
	limits  []limitsAt
	version uint64
	// accounts are those of the first configuration.
	accounts []catalog.Account
	// load is the demand of each account in requests a second, and of hosts that get none.
	load    map[string]float64
	spent   map[string][]clock.Millis
	refused map[string][]clock.Millis
}

type delivery struct {
	at clock.Millis
	to *modelCore
	do func()
}

type limitsAt struct {
	at       clock.Millis
	accounts []catalog.Account
}

// modelCore is a control process; it runs unless process is nil.
type modelCore struct {
	m           *limitsModel
	addr, zone  string
	process     *coordinator.Process
	disk        replica.PersistentState
	frozenUntil clock.Millis
	downUntil   clock.Millis
	reportAt    clock.Millis
}

// modelHost is an entry host.
type modelHost struct {
	m          *limitsModel
	id, zone   string
	tokens     *token.Borrower
	core       *modelCore
	repliedAt  clock.Millis
	currentAt  clock.Millis
	exchangeAt clock.Millis
	state      uint64
	instance   uint64
	// due is the part of the next request of the account steady.
	due         float64
	frozenUntil clock.Millis
	downUntil   clock.Millis
}

func newLimitsModel(seed int64, zones, coreCount, hostsPerZone int, accounts ...catalog.Account) *limitsModel {
	m := &limitsModel{
		r: rand.New(rand.NewSource(seed)), now: 1_000_000, cut: map[[2]string]int{}, delay: 6,
		accounts: accounts, load: map[string]float64{}, spent: map[string][]clock.Millis{}, refused: map[string][]clock.Millis{},
	}
	for i := range coreCount {
		m.cores = append(m.cores, &modelCore{m: m, addr: fmt.Sprintf("core%d:1", i), zone: fmt.Sprintf("z%d", i%zones)})
	}
	for _, c := range m.cores {
		c.start()
	}
	for i := range zones * hostsPerZone {
		h := &modelHost{m: m, id: fmt.Sprintf("host%d", i), zone: fmt.Sprintf("z%d", i%zones)}
		h.start()
		m.hosts = append(m.hosts, h)
	}
	m.run(3 * clock.Second)
	m.configure(accounts...)
	m.run(1 * clock.Second)
	return m
}

func (m *limitsModel) clock() clock.Clock {
	return clock.Clock{Read: func() clock.Millis { return m.now }}
}

func (c *modelCore) start() {
	var seeds []string
	for _, x := range c.m.cores {
		seeds = append(seeds, x.addr)
	}
	s := replica.Storage{
		Save: func(v replica.Vote, l []replica.Entry) error {
			c.disk.Vote = v
			if len(l) > 0 {
				k := int(l[0].Index - c.disk.Snapshot.Index - 1)
				c.disk.Entries = append(slices.Clone(c.disk.Entries[:k]), l...)
			}
			return nil
		},
		SaveSnapshot: func(s replica.Snapshot, v replica.Vote, l []replica.Entry) error {
			c.disk = replica.PersistentState{Vote: v, Snapshot: s, Entries: slices.Clone(l)}
			return nil
		},
	}
	d := c.disk
	d.Entries = slices.Clone(d.Entries)
	c.process = coordinator.NewProcess(
		coordinator.Settings{Zone: c.zone, Peer: c.addr, Seeds: seeds, Bootstrap: true, MaxConfigAge: maxConfigAge},
		c.m.clock(), s, d, c.m.r.Intn, modelTranslate, c.send)
	c.reportAt = c.m.now + clock.Millis(c.m.r.Intn(200))
}

func modelTranslate(b []byte) (*catalog.Config, error) {
	var c catalog.Config
	err := json.Unmarshal(b, &c)
	return &c, err
}

func (c *modelCore) runs() bool { return c.process != nil && c.m.now >= c.frozenUntil }

func (m *limitsModel) core(addr string) *modelCore {
	for _, c := range m.cores {
		if c.addr == addr {
			return c
		}
	}
	return nil
}

// passes reports whether a message passes from one machine to another.
func (m *limitsModel) passes(from, to string) bool {
	return m.cut[[2]string{from, to}] == 0 && m.r.Float64() >= m.loss
}

// later delivers something to a control process, or to a host if c is nil.
func (m *limitsModel) later(c *modelCore, do func()) {
	m.queue = append(m.queue, delivery{m.now + 1 + clock.Millis(m.r.Intn(int(m.delay))), c, do})
}

func (c *modelCore) send(l []replica.Message) {
	for _, x := range l {
		for _, to := range c.m.cores {
			if to.process != nil && to.process.ID() == x.To && c.m.passes(c.addr, to.addr) {
				c.m.later(to, func() { to.process.Deliver(x) })
			}
		}
	}
}

func (h *modelHost) start() {
	h.tokens = &token.Borrower{
		Clock: h.m.clock(), Borrow: h.borrow, Reachable: func() bool { return h.m.now-h.repliedAt < 400 },
		Hosts: func() int { return len(h.m.hosts) }, Random: h.m.r.Float64, Self: h.id,
	}
	h.tokens.Run()
	h.core, h.state, h.currentAt = nil, 0, 0
	h.instance++
	h.due = h.m.r.Float64()
	h.exchangeAt = h.m.now + clock.Millis(h.m.r.Intn(100))
}

func (h *modelHost) runs() bool { return h.m.now >= h.frozenUntil && h.m.now >= h.downUntil }

// call passes a request and its reply between two machines. It reports whether the reply
// arrived.
func (m *limitsModel) call(from string, to *modelCore, do func()) bool {
	if to == nil || !to.runs() || !m.passes(from, to.addr) {
		return false
	}
	do()
	return m.passes(to.addr, from)
}

func (h *modelHost) borrow(a coordinator.BorrowArgs) (r coordinator.BorrowReply, err error) {
	ok := h.m.call(h.id, h.core, func() {
		c := h.core
		r = c.process.Borrow(a)
		if r.Known || r.Leader == "" || r.Leader == c.addr {
			return
		}
		var l coordinator.BorrowReply
		if x := h.m.core(r.Leader); !h.m.call(c.addr, x, func() { l = x.process.Borrow(a) }) {
			err = errLost
			return
		}
		r = coordinator.BorrowReply{}
		if l.Known {
			r = coordinator.BorrowReply{Tokens: min(l.Tokens, a.Tokens+a.Ahead), Wait: l.Wait, Known: true}
			c.process.AddLoan(a.Account, l.Tokens-r.Tokens, l.Wait)
		}
	})
	if !ok {
		err = errLost
	}
	return r, err
}

func (h *modelHost) exchange() {
	m := h.m
	h.exchangeAt = m.now + 100
	if h.core == nil || !h.core.runs() && m.r.Intn(3) == 0 {
		h.pickCore()
	}
	wants, returns := h.tokens.Wants(m.now)
	sent, c := m.now, h.core
	spent, round := h.tokens.Spent()
	a := coordinator.ExchangeArgs{Host: coordinator.Host{ID: h.id, Zone: h.zone}, Sequence: h.state, Wants: wants, Returns: returns, Spent: spent, SpentRound: round, SpentFor: m.now - h.repliedAt, Instance: h.instance}
	var r coordinator.ExchangeReply
	if !m.call(h.id, c, func() { r = c.process.Exchange(a) }) {
		if m.r.Intn(5) == 0 {
			h.pickCore()
		}
		return
	}
	h.exchangeAt = m.now + 600
	instance := h.instance
	m.later(nil, func() {
		if !h.runs() || h.instance != instance {
			return
		}
		h.exchangeAt = m.now + 100
		h.repliedAt = m.now
		h.tokens.Settle(spent)
		h.tokens.Add(r.Grants, r.LenderAge)
		if r.Known {
			h.state = r.Update.Sequence
			h.currentAt = max(h.currentAt, sent-r.Age)
		}
	})
}

// pickCore picks a control process, one of the host's zone if there is one that runs.
func (h *modelHost) pickCore() {
	l := slices.Clone(h.m.cores)
	h.m.r.Shuffle(len(l), func(i, j int) { l[i], l[j] = l[j], l[i] })
	h.core = l[0]
	for _, c := range l {
		if c.zone == h.zone && c.runs() && h.m.cut[[2]string{h.id, c.addr}] == 0 {
			h.core = c
		}
	}
}

func (c *modelCore) report() {
	m := c.m
	c.reportAt = m.now + 200
	a, to := c.process.PrepareReport()
	sent := m.now
	for _, addr := range to {
		x := m.core(addr)
		var r coordinator.ReportReply
		if !m.call(c.addr, x, func() { r = x.process.Report(a) }) {
			continue
		}
		if !r.Led && r.Leader != "" && r.Leader != addr && r.Leader != c.addr {
			x = m.core(r.Leader)
			if !m.call(c.addr, x, func() { r = x.process.Report(a) }) {
				continue
			}
		}
		m.later(c, func() { c.process.HandleReportResult(sent, r) })
		if r.Led {
			return
		}
	}
}

// run lets time pass.
func (m *limitsModel) run(d clock.Millis) {
	for end := m.now + d; m.now < end; m.now += modelStep {
		m.deliver()
		for _, c := range m.cores {
			if c.process == nil && m.now >= c.downUntil {
				c.start()
			}
			if !c.runs() {
				continue
			}
			if m.now%25 == 0 {
				c.process.Tick()
			}
			if m.now >= c.reportAt {
				c.report()
			}
		}
		for _, h := range m.hosts {
			if !h.runs() {
				continue
			}
			if m.now >= h.exchangeAt {
				h.exchange()
			}
			h.serve()
		}
	}
}

func (m *limitsModel) deliver() {
	l := m.queue
	m.queue = nil
	for _, x := range l {
		switch {
		case x.at > m.now || x.to != nil && x.to.process != nil && !x.to.runs():
			m.queue = append(m.queue, x)
		case x.to == nil || x.to.process != nil:
			x.do()
		}
	}
}

// serve takes the requests that arrive at a host within a step.
func (h *modelHost) serve() {
	m := h.m
	if m.now-h.currentAt >= maxConfigAge || len(m.limits) == 0 {
		return
	}
	for _, a := range m.limits[len(m.limits)-1].accounts {
		n := m.load[a.Name] * modelStep / 1000 / float64(len(m.hosts))
		if a.Name == "steady" {
			// Even arrivals: others are above the rate for moments.
			h.due += n
			n = float64(int(h.due))
			h.due -= n
		}
		for n > 0 && m.r.Float64() < n {
			n--
			if ok, _ := h.tokens.Take(&a); ok {
				m.spent[a.Name] = append(m.spent[a.Name], m.now)
			} else {
				m.refused[a.Name] = append(m.refused[a.Name], m.now)
			}
		}
	}
}

// configure sends a configuration to the leader until it takes it.
func (m *limitsModel) configure(accounts ...catalog.Account) {
	m.version++
	b, err := json.Marshal(catalog.Config{Version: m.version, Accounts: accounts})
	if err != nil {
		panic(err)
	}
	d, err := catalog.Compress(b)
	if err != nil {
		panic(err)
	}
	for range 1000 {
		for _, c := range m.cores {
			if c.runs() && c.process.Leads() && c.process.Propose(catalog.Change{Document: d, Version: m.version}) {
				m.limits = append(m.limits, limitsAt{m.now, accounts})
				m.run(100)
				return
			}
		}
		m.run(modelStep)
	}
}

// excess returns by how much the worst window of an account exceeds what it may have, and
// the start of that window. Of several limits the highest of the window counts, and of one
// that was in force up to a window before.
func (m *limitsModel) excess(account string) (worst float64, at clock.Millis) {
	l := m.spent[account]
	worst = -1e9
	for i, j := 0, 0; i < len(l); i++ {
		for j < len(l) && l[j] < l[i]+quotaWindow {
			j++
		}
		if x := float64(j-i) - m.allowed(account, l[i]); x > worst {
			worst, at = x, l[i]
		}
	}
	return worst, at
}

func (m *limitsModel) allowed(account string, from clock.Millis) float64 {
	allowed := 0.0
	for k, x := range m.limits {
		until := m.now
		if k+1 < len(m.limits) {
			until = m.limits[k+1].at + quotaWindow + 2*clock.Second
		}
		if x.at >= from+quotaWindow || until <= from {
			continue
		}
		for _, a := range x.accounts {
			if a.Name == account {
				allowed = max(allowed, (a.Rate*float64(quotaWindow)/1000+a.Burst)*(1+quotaOvershoot)+quotaSlack)
			}
		}
	}
	return allowed
}

// leader returns the control process that leads, nil if none does.
func (m *limitsModel) leader() *modelCore {
	for _, c := range m.cores {
		if c.runs() && c.process.Leads() {
			return c
		}
	}
	return nil
}

// cutOff cuts the machines for which side is true off from the others, from one side only
// if it is not both; a negative count joins them again.
func (m *limitsModel) cutOff(side func(name, zone string) bool, both bool, count int) {
	type machine struct{ name, zone string }
	var l []machine
	for _, c := range m.cores {
		l = append(l, machine{c.addr, c.zone})
	}
	for _, h := range m.hosts {
		l = append(l, machine{h.id, h.zone})
	}
	for _, a := range l {
		for _, b := range l {
			if x, y := side(a.name, a.zone), side(b.name, b.zone); x && !y || both && y && !x {
				m.cut[[2]string{a.name, b.name}] += count
			}
		}
	}
}
