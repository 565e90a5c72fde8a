// Package controlplane connects a host with the control processes of its fleet.
package controlplane

import (
	"math/rand/v2"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/carawayrack/carawayrack/catalog"
	"github.com/carawayrack/carawayrack/clock"
	"github.com/carawayrack/carawayrack/coordinator"
	"github.com/carawayrack/carawayrack/rollout"
	"github.com/carawayrack/carawayrack/token"
	"github.com/carawayrack/carawayrack/wire"
)

const (
	// busyInterval is the time between exchanges for busyFor after a request,
	// idleInterval the time between them otherwise.
	busyInterval    = 100 * clock.Millis(1)
	idleInterval    = 300 * clock.Millis(1)
	busyFor         = 2 * clock.Second
	exchangeTimeout = 600 * clock.Millis(1)
	borrowTimeout   = 350 * clock.Millis(1)
	// suspectTimeout covers a change of the state that another control process leads.
	suspectTimeout = 1 * clock.Second
	// staleProof is the age of the leadership proof of a control process from
	// which the host switches to another one.
	staleProof = 1200 * clock.Millis(1)
	// returnToLocalAfter is the time after which a host that uses a control
	// process of another zone returns to one of the local zone.
	returnToLocalAfter = 3 * clock.Second
)

// Client exchanges state and tokens with a control process. The fields must be set before
// Run; the client may then be used from several goroutines.
type Client struct {
	// Host is what the host tells of itself. Leaving is set for each exchange.
	Host   coordinator.Host
	Clock  clock.Clock
	Log    *zap.Logger
	Tokens *token.Borrower
	Pool   *wire.Pool
	// Translate parses a configuration document.
	Translate func([]byte) (*catalog.Config, error)
	// Leaving reports whether the host is about to stop.
	Leaving func() bool
	// Addresses returns the addresses of control processes that may exist, Cores the
	// control processes of the list set last.
	Addresses func() []string
	Cores     func() []coordinator.Core
	// Reports returns the counts of the running roll-outs.
	Reports func(now clock.Millis) []rollout.ServiceReport
	// SetState, SetFleet and ConfirmCurrent get what control processes reply: the state
	// of the catalog, the list of the fleet, and the time at which the state was proven to
	// be current.
	SetState       func(now clock.Millis, s *catalog.State)
	SetFleet       func(*coordinator.Fleet)
	ConfirmCurrent func(at clock.Millis)

	// instance tells the runs of this host apart.
	instance uint64
	state    *catalog.State
	fleet    *coordinator.Fleet
	triggers chan struct{}

	mu       sync.Mutex
	core     string
	chosenAt clock.Millis
	// repliedAt is the time of the last reply of a control process, startedAt that of Run.
	repliedAt, startedAt clock.Millis
	// requestAt is the arrival of the last request.
	requestAt clock.Millis
}

// Run starts the exchanges.
func (l *Client) Run() {
	l.state = catalog.New(l.Translate)
	l.instance = rand.Uint64()
	l.startedAt = l.Clock.Now()
	l.fleet = &coordinator.Fleet{}
	l.triggers = make(chan struct{}, 1)
	go l.loop()
}

// Trigger starts an exchange without waiting for the end of the interval.
func (l *Client) Trigger() {
	select {
	case l.triggers <- struct{}{}:
	default:
	}
}

// NoteRequest records the arrival of a request. Exchanges are more frequent
// for a while after it.
func (l *Client) NoteRequest(now clock.Millis) {
	l.mu.Lock()
	l.requestAt = now
	l.mu.Unlock()
}

func (l *Client) noteReply() {
	l.mu.Lock()
	l.repliedAt = l.Clock.Now()
	l.mu.Unlock()
}

// lastReplyAt returns when a control process last replied, the start of the host before.
func (l *Client) lastReplyAt() clock.Millis {
	l.mu.Lock()
	defer l.mu.Unlock()
	return max(l.repliedAt, l.startedAt)
}

// unreachableAfter is the time without a reply of a control process after
// which requests do not wait for one.
const unreachableAfter = idleInterval + busyInterval

// Reachable reports whether a control process has replied recently.
func (l *Client) Reachable() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.Clock.Now()-l.repliedAt < unreachableAfter
}

func (l *Client) interval() clock.Millis {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.Clock.Now()-l.requestAt < busyFor {
		return busyInterval
	}
	return idleInterval
}

func (l *Client) loop() {
	fails := 0
	for {
		if l.exchange() {
			fails = 0
		} else {
			fails++
			l.switchCore()
		}
		wait := l.interval()
		if fails > 0 {
			wait = min(clock.Millis(fails)*20, busyInterval)
		}
		t := time.NewTimer(wait.Duration())
		select {
		case <-l.triggers:
			t.Stop()
		case <-t.C:
		}
	}
}

// address returns the address of the control process to use, empty if none is
// known.
func (l *Client) address() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.Clock.Now()
	if l.core != "" && now-l.chosenAt < returnToLocalAfter {
		return l.core
	}
	local := l.pickLocal()
	if l.core == "" || (local != "" && !l.isLocal(l.core)) {
		l.disconnect(l.core)
		l.core = local
		if local == "" {
			l.core = pickRandom(l.candidates())
		}
	}
	l.chosenAt = now
	return l.core
}

// disconnect closes the connection to a control process that is no longer
// used. Pings would keep it open otherwise.
func (l *Client) disconnect(addr string) {
	if addr != "" {
		l.Pool.Get(addr).Close()
	}
}

func pickRandom(l []string) string {
	if len(l) == 0 {
		return ""
	}
	return l[rand.IntN(len(l))]
}

func (l *Client) pickLocal() string {
	var h []string
	for _, c := range l.Cores() {
		if c.Zone == l.Host.Zone {
			h = append(h, c.Addr)
		}
	}
	return pickRandom(h)
}

func (l *Client) isLocal(addr string) bool {
	for _, c := range l.Cores() {
		if c.Addr == addr && c.Zone == l.Host.Zone {
			return true
		}
	}
	return false
}

// candidates returns the addresses of all control processes that may exist.
func (l *Client) candidates() []string {
	a := l.Addresses()
	for _, c := range l.Cores() {
		a = append(a, c.Addr)
	}
	return a
}

// switchCore switches to another control process, if one is known.
func (l *Client) switchCore() {
	l.mu.Lock()
	defer l.mu.Unlock()
	old := l.core
	var others []string
	for _, a := range l.candidates() {
		if a != old {
			others = append(others, a)
		}
	}
	if n := pickRandom(others); n != "" {
		l.disconnect(old)
		l.core, l.chosenAt = n, l.Clock.Now()
		l.Log.Debug("control process changed", zap.String("from", old), zap.String("to", n))
	}
}

// host returns what the host tells of itself now.
func (l *Client) host() coordinator.Host {
	h := l.Host
	h.Leaving = l.Leaving()
	return h
}

// exchange sends the host's state to a control process and applies the reply.
// It reports whether the control process replied and is current.
func (l *Client) exchange() bool {
	addr := l.address()
	if addr == "" {
		return false
	}
	sent := l.Clock.Now()
	wants, returns := l.Tokens.Wants(sent)
	spent, round := l.Tokens.Spent()
	a := coordinator.ExchangeArgs{
		Host:     l.host(),
		Sequence: l.state.Sequence, Hosts: l.fleet.Digest, Deltas: true, Wants: wants, Returns: returns,
		Spent: spent, SpentRound: round, SpentFor: sent - l.lastReplyAt(),
		Rollouts: l.Reports(sent), Instance: l.instance,
	}
	var p coordinator.ExchangeReply
	if err := l.Pool.Get(addr).Call("Peer.Exchange", a, &p, exchangeTimeout); err != nil {
		l.Log.Debug("exchange failed", zap.String("core", addr), zap.Error(err))
		return false
	}
	l.noteReply()
	l.Tokens.Settle(spent)
	l.Tokens.Add(p.Grants, p.LenderAge)
	if !p.Known || !l.apply(p.Update) {
		return false
	}
	l.adoptFleet(p.Fleet, p.FleetChange)
	l.ConfirmCurrent(sent - p.Age)
	return p.Age < staleProof
}

// adoptFleet takes over a list of the fleet or a change of it. A change that does
// not follow the list makes the control process send the whole list.
func (l *Client) adoptFleet(f *coordinator.Fleet, c *coordinator.FleetChange) {
	if c != nil {
		var ok bool
		if f, ok = l.fleet.Apply(c); !ok {
			l.fleet = &coordinator.Fleet{}
			return
		}
	}
	if f != nil {
		l.fleet = f
		l.SetFleet(f)
	}
}

// apply applies an update to the state. It reports whether the state has
// reached the sequence of the update.
func (l *Client) apply(u coordinator.Update) bool {
	if u.Sequence == l.state.Sequence {
		return true
	}
	if u.State != nil {
		s, err := catalog.DecodeCompressed(u.State, l.Translate)
		if err != nil || s.Sequence < l.state.Sequence {
			l.Log.Error("cannot use the received state", zap.Error(err), zap.Uint64("sequence", u.Sequence))
			return false
		}
		l.state = s
	}
	for _, b := range u.Changes {
		c, err := catalog.DecodeChange(b)
		if err == nil {
			err = l.state.Apply(c)
		}
		if err != nil {
			l.Log.Error("cannot apply a received change", zap.Error(err), zap.Uint64("sequence", u.Sequence))
			// The next exchange brings the whole state.
			l.state.Sequence = 0
			return false
		}
	}
	if _, err := l.state.UpdateConfig(); err != nil {
		l.Log.Error("cannot parse the configuration", zap.Error(err), zap.Uint64("version", l.state.Version))
	}
	l.SetState(l.Clock.Now(), l.state)
	l.Log.Info("state", zap.Uint64("sequence", l.state.Sequence), zap.Uint64("version", l.state.Version), zap.Int("targets", len(l.state.Targets)))
	return l.state.Sequence == u.Sequence
}

// Borrow requests tokens from the control process at once, instead of with the next
// exchange. The error is that of the call, which takes at most 350 ms.
func (l *Client) Borrow(a coordinator.BorrowArgs) (coordinator.BorrowReply, error) {
	var r coordinator.BorrowReply
	err := l.Pool.Get(l.address()).Call("Peer.Borrow", a, &r, borrowTimeout)
	return r, err
}

// Unreachable is the error of a request while no control process replies.
type Unreachable struct{}

// Error says that no control process replies.
func (Unreachable) Error() string { return "no control process replies" }

// Suspect sends a request about a request that may crash its targets. The error is
// Unreachable, or that of the call, which takes at most a second; the control processes
// may have decided then.
func (l *Client) Suspect(a coordinator.SuspectArgs) (coordinator.SuspectReply, error) {
	var r coordinator.SuspectReply
	if !l.Reachable() {
		// A caller waits for the reply.
		return r, Unreachable{}
	}
	err := l.Pool.Get(l.address()).Call("Peer.Suspect", a, &r, suspectTimeout)
	return r, err
}
