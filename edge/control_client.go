package edge

import (
	"math/rand/v2"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/carawayrack/carawayrack/catalog"
	"github.com/carawayrack/carawayrack/clock"
	"github.com/carawayrack/carawayrack/coordinator"
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
	// staleProof is the age of the leadership proof of a control process from
	// which the host switches to another one.
	staleProof = 1200 * clock.Millis(1)
	// returnToLocalAfter is the time after which a host that uses a control
	// process of another zone returns to one of the local zone.
	returnToLocalAfter = 3 * clock.Second
)

// controlClient exchanges state and tokens with a control process.
type controlClient struct {
	settings  Settings
	clock     clock.Clock
	log       *zap.Logger
	view      *fleetView
	tokens    *token.Borrower
	pool      *wire.Pool
	translate func([]byte) (*catalog.Config, error)
	// leaving reports whether the host is about to stop.
	leaving func() bool

	// instance tells the runs of this host apart.
	instance uint64
	state    *catalog.State
	fleet    *coordinator.Fleet
	triggers chan struct{}

	mu       sync.Mutex
	core     string
	chosenAt clock.Millis
	// repliedAt is the time of the last reply of a control process.
	repliedAt clock.Millis
	// requestAt is the arrival of the last request.
	requestAt clock.Millis
}

func (l *controlClient) run() {
	l.state = catalog.New(l.translate)
	l.instance = rand.Uint64()
	l.fleet = &coordinator.Fleet{}
	l.triggers = make(chan struct{}, 1)
	go l.loop()
}

// trigger starts an exchange without waiting for the end of the interval.
func (l *controlClient) trigger() {
	select {
	case l.triggers <- struct{}{}:
	default:
	}
}

// noteRequest records the arrival of a request. Exchanges are more frequent
// for a while after it.
func (l *controlClient) noteRequest(now clock.Millis) {
	l.mu.Lock()
	l.requestAt = now
	l.mu.Unlock()
}

func (l *controlClient) noteReply() {
	l.mu.Lock()
	l.repliedAt = l.clock.Now()
	l.mu.Unlock()
}

// unreachableAfter is the time without a reply of a control process after
// which requests do not wait for one.
const unreachableAfter = idleInterval + busyInterval

// reachable reports whether a control process has replied recently.
func (l *controlClient) reachable() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.clock.Now()-l.repliedAt < unreachableAfter
}

func (l *controlClient) interval() clock.Millis {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.clock.Now()-l.requestAt < busyFor {
		return busyInterval
	}
	return idleInterval
}

func (l *controlClient) loop() {
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
func (l *controlClient) address() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
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
func (l *controlClient) disconnect(addr string) {
	if addr != "" {
		l.pool.Get(addr).Close()
	}
}

func pickRandom(l []string) string {
	if len(l) == 0 {
		return ""
	}
	return l[rand.IntN(len(l))]
}

func (l *controlClient) pickLocal() string {
	var h []string
	for _, c := range l.view.cores() {
		if c.Zone == l.settings.Zone {
			h = append(h, c.Addr)
		}
	}
	return pickRandom(h)
}

func (l *controlClient) isLocal(addr string) bool {
	for _, c := range l.view.cores() {
		if c.Addr == addr && c.Zone == l.settings.Zone {
			return true
		}
	}
	return false
}

// candidates returns the addresses of all control processes that may exist.
func (l *controlClient) candidates() []string {
	a := l.settings.Cores()
	for _, c := range l.view.cores() {
		a = append(a, c.Addr)
	}
	return a
}

// switchCore switches to another control process, if one is known.
func (l *controlClient) switchCore() {
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
		l.core, l.chosenAt = n, l.clock.Now()
		l.log.Debug("control process changed", zap.String("from", old), zap.String("to", n))
	}
}

// exchange sends the host's state to a control process and applies the reply.
// It reports whether the control process replied and is current.
func (l *controlClient) exchange() bool {
	addr := l.address()
	if addr == "" {
		return false
	}
	sent := l.clock.Now()
	wants, returns := l.tokens.Wants(sent)
	a := coordinator.ExchangeArgs{
		Host: coordinator.Host{
			ID: l.settings.ID, Zone: l.settings.Zone, Callers: l.settings.Callers, Peer: l.settings.Peer,
			Leaving: l.leaving(), Narrow: l.settings.Narrow,
		},
		Sequence: l.state.Sequence, Hosts: l.fleet.Digest, Deltas: true, Wants: wants, Returns: returns,
		Rollouts: l.view.rolloutReports(sent), Instance: l.instance,
	}
	var p coordinator.ExchangeReply
	if err := l.pool.Get(addr).Call("Peer.Exchange", a, &p, exchangeTimeout); err != nil {
		l.log.Debug("exchange failed", zap.String("core", addr), zap.Error(err))
		return false
	}
	l.noteReply()
	l.tokens.Add(p.Grants)
	if !p.Known || !l.apply(p.Update) {
		return false
	}
	l.adoptFleet(p.Fleet, p.FleetChange)
	l.view.confirmCurrent(sent - p.Age)
	return p.Age < staleProof
}

// adoptFleet takes over a list of the fleet or a change of it. A change that does
// not follow the list makes the control process send the whole list.
func (l *controlClient) adoptFleet(f *coordinator.Fleet, c *coordinator.FleetChange) {
	if c != nil {
		var ok bool
		if f, ok = l.fleet.Apply(c); !ok {
			l.fleet = &coordinator.Fleet{}
			return
		}
	}
	if f != nil {
		l.fleet = f
		l.view.setFleet(f)
	}
}

// apply applies an update to the state. It reports whether the state has
// reached the sequence of the update.
func (l *controlClient) apply(u coordinator.Update) bool {
	if u.Sequence == l.state.Sequence {
		return true
	}
	if u.State != nil {
		s, err := catalog.DecodeCompressed(u.State, l.translate)
		if err != nil || s.Sequence < l.state.Sequence {
			l.log.Error("cannot use the received state", zap.Error(err), zap.Uint64("sequence", u.Sequence))
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
			l.log.Error("cannot apply a received change", zap.Error(err), zap.Uint64("sequence", u.Sequence))
			// The next exchange brings the whole state.
			l.state.Sequence = 0
			return false
		}
	}
	if _, err := l.state.UpdateConfig(); err != nil {
		l.log.Error("cannot parse the configuration", zap.Error(err), zap.Uint64("version", l.state.Version))
	}
	l.view.setState(l.clock.Now(), l.state)
	l.log.Info("state", zap.Uint64("sequence", l.state.Sequence), zap.Uint64("version", l.state.Version), zap.Int("targets", len(l.state.Targets)))
	return l.state.Sequence == u.Sequence
}

// borrow requests tokens from the control process at once, instead of with the
// next exchange.
func (l *controlClient) borrow(a coordinator.BorrowArgs) (coordinator.BorrowReply, error) {
	var r coordinator.BorrowReply
	err := l.pool.Get(l.address()).Call("Peer.Borrow", a, &r, borrowTimeout)
	return r, err
}
