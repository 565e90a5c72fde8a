package coordinator

import (
	"github.com/asynkron/protoactor-go/actor"
	"go.uber.org/zap"

	"github.com/carawayrack/carawayrack/catalog"
	"github.com/carawayrack/carawayrack/clock"
	"github.com/carawayrack/carawayrack/replica"
	"github.com/carawayrack/carawayrack/wal"
)

// Process is a control process that a test drives without an actor or a network.
type Process struct{ r *Replica }

// NewProcess starts a process at the address of its settings with what its disk holds.
func NewProcess(s Settings, c clock.Clock, d replica.Storage, stored replica.PersistentState, random func(int) int,
	translate func([]byte) (*catalog.Config, error), send func([]replica.Message)) *Process {
	r := &Replica{
		ID: wal.BootstrapID(machineName(s.Peer)), Settings: s, Clock: c, Wall: c, Log: zap.NewNop(), Storage: d, Stored: stored, Translate: translate,
		Send: func(l []replica.Message, _ replica.Members) { send(l) }, Failed: func(err error) { panic(err) }, LeaderChanged: func() {},
		Respond: func(*actor.PID, any) {}, Random: random,
	}
	r.start(c.Now())
	r.afterMessage(c.Now())
	return &Process{r}
}

// ID returns the ID of the process's replica.
func (p *Process) ID() string { return p.r.ID }

// Leads reports whether the process leads.
func (p *Process) Leads() bool { return p.r.node.Role() == replica.Leader }

// Tick does what is due.
func (p *Process) Tick() { p.handle(func(now clock.Millis) { p.r.tick(now) }) }

// Deliver handles a message of another replica.
func (p *Process) Deliver(m replica.Message) {
	p.handle(func(now clock.Millis) { p.r.node.Step(now, m) })
}

// Propose appends a change if the process leads, and reports whether it does.
func (p *Process) Propose(c catalog.Change) (ok bool) {
	p.handle(func(now clock.Millis) {
		b, err := c.Encode()
		if err != nil {
			panic(err)
		}
		_, err = p.r.node.Propose(now, b)
		ok = err == nil
	})
	return ok
}

// Exchange handles the exchange of a host.
func (p *Process) Exchange(a ExchangeArgs) (x ExchangeReply) {
	p.r.checkLeadership(p.r.Clock.Now())
	p.handle(func(now clock.Millis) { x = p.r.exchange(now, a) })
	return x
}

// Borrow handles a request for tokens.
func (p *Process) Borrow(a BorrowArgs) (x BorrowReply) {
	p.handle(func(now clock.Millis) { x = p.r.handleBorrow(now, a) })
	return x
}

// AddLoan adds tokens that the leader has lent.
func (p *Process) AddLoan(account string, tokens int, wait clock.Millis) {
	p.handle(func(now clock.Millis) { p.r.lender.addLoan(now, &loan{account, tokens, wait}) })
}

// PrepareReport returns the next report and the addresses to try, none at the leader.
func (p *Process) PrepareReport() (a ReportArgs, to []string) {
	p.handle(func(now clock.Millis) { x := p.r.prepareReport(now); a, to = x.Args, x.To })
	return a, to
}

// Report handles the report of another process.
func (p *Process) Report(a ReportArgs) (x ReportReply) {
	p.r.checkLeadership(p.r.Clock.Now())
	p.handle(func(now clock.Millis) { x = p.r.report(now, a) })
	return x
}

// HandleReportResult handles the reply to a report.
func (p *Process) HandleReportResult(sentAt clock.Millis, x ReportReply) {
	p.handle(func(now clock.Millis) { p.r.handleReportResult(now, &reportResult{sentAt, x}) })
}

func (p *Process) handle(f func(now clock.Millis)) {
	now := p.r.Clock.Now()
	f(now)
	p.r.afterMessage(now)
}
