package edge

import (
	"math/rand/v2"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/carawayrack/carawayrack/catalog"
	"github.com/carawayrack/carawayrack/clock"
	"github.com/carawayrack/carawayrack/coordinator"
	"github.com/carawayrack/carawayrack/wire"
)

const (
	busyInterval = 100 * clock.Millis(1)
	idleInterval = 300 * clock.Millis(1)
	busyFor      = 2 * clock.Second
	callTimeout  = 600 * clock.Millis(1)
	// staleAnswer is the age of a control process's proof from which another
	// one is asked instead.
	staleAnswer = 1200 * clock.Millis(1)
	// homeAfter is the time after which a host goes back to a control
	// process of its own zone.
	homeAfter = 3 * clock.Second
)

// link keeps the host's exchange with a control process.
type link struct {
	settings  Settings
	clock     clock.Clock
	log       *zap.Logger
	view      *view
	tokens    *tokens
	pool      *wire.Pool
	translate func([]byte) (*catalog.Config, error)
	// leaving reports whether the host is about to stop.
	leaving func() bool

	state  *catalog.State
	digest uint64
	kicks  chan struct{}

	mu    sync.Mutex
	core  string
	since clock.Millis
	// heardAt is when a control process answered last.
	heardAt clock.Millis
	usedAt  clock.Millis
}

func (l *link) run() {
	l.state = catalog.New(l.translate)
	l.kicks = make(chan struct{}, 1)
	go l.loop()
}

// kick asks for an exchange at once.
func (l *link) kick() {
	select {
	case l.kicks <- struct{}{}:
	default:
	}
}

// used notes that a request came.
func (l *link) used(now clock.Millis) {
	l.mu.Lock()
	l.usedAt = now
	l.mu.Unlock()
}

func (l *link) heard() {
	l.mu.Lock()
	l.heardAt = l.clock.Now()
	l.mu.Unlock()
}

// silence is the time without an answer of a control process from which
// requests do not wait for one.
const silence = idleInterval + busyInterval

// reachable reports whether a control process has answered lately.
func (l *link) reachable() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.clock.Now()-l.heardAt < silence
}

func (l *link) interval() clock.Millis {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.clock.Now()-l.usedAt < busyFor {
		return busyInterval
	}
	return idleInterval
}

func (l *link) loop() {
	fails := 0
	for {
		if l.exchange() {
			fails = 0
		} else {
			fails++
			l.next()
		}
		wait := l.interval()
		if fails > 0 {
			wait = min(clock.Millis(fails)*20, busyInterval)
		}
		t := time.NewTimer(wait.Duration())
		select {
		case <-l.kicks:
			t.Stop()
		case <-t.C:
		}
	}
}

// address returns the control process to ask.
func (l *link) address() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	if l.core != "" && now-l.since < homeAfter {
		return l.core
	}
	home := l.home()
	if l.core == "" || (home != "" && !l.isHome(l.core)) {
		l.leave(l.core)
		l.core = home
		if home == "" {
			l.core = pickOne(l.candidates())
		}
	}
	l.since = now
	return l.core
}

// leave closes the connection to a control process that is not asked any more:
// it would be kept alive by pings.
func (l *link) leave(addr string) {
	if addr != "" {
		l.pool.Get(addr).Close()
	}
}

func pickOne(l []string) string {
	if len(l) == 0 {
		return ""
	}
	return l[rand.IntN(len(l))]
}

func (l *link) home() string {
	var h []string
	for _, c := range l.view.cores() {
		if c.Zone == l.settings.Zone {
			h = append(h, c.Addr)
		}
	}
	return pickOne(h)
}

func (l *link) isHome(addr string) bool {
	for _, c := range l.view.cores() {
		if c.Addr == addr && c.Zone == l.settings.Zone {
			return true
		}
	}
	return false
}

// candidates returns all control processes that may be there.
func (l *link) candidates() []string {
	a := l.settings.Cores()
	for _, c := range l.view.cores() {
		a = append(a, c.Addr)
	}
	return a
}

// next turns to another control process.
func (l *link) next() {
	l.mu.Lock()
	defer l.mu.Unlock()
	old := l.core
	var others []string
	for _, a := range l.candidates() {
		if a != old {
			others = append(others, a)
		}
	}
	if n := pickOne(others); n != "" {
		l.leave(old)
		l.core, l.since = n, l.clock.Now()
		l.log.Debug("control process changed", zap.String("from", old), zap.String("to", n))
	}
}

// exchange reports whether a control process that is current has answered.
func (l *link) exchange() bool {
	addr := l.address()
	if addr == "" {
		return false
	}
	sent := l.clock.Now()
	wants, surplus := l.tokens.wants(sent)
	a := coordinator.ExchangeArgs{
		Host: coordinator.Host{
			ID: l.settings.ID, Zone: l.settings.Zone, Callers: l.settings.Callers, Peer: l.settings.Peer,
			Leaving: l.leaving(), Narrow: l.settings.Narrow,
		},
		Sequence: l.state.Sequence, Hosts: l.digest, Wants: wants, Returns: surplus,
	}
	var p coordinator.ExchangeReply
	if err := l.pool.Get(addr).Call("Peer.Exchange", a, &p, callTimeout); err != nil {
		l.log.Debug("exchange failed", zap.String("core", addr), zap.Error(err))
		return false
	}
	l.heard()
	l.tokens.add(p.Grants)
	if !p.Known || !l.apply(p.Update) {
		return false
	}
	if p.Fleet != nil {
		l.digest = p.Fleet.Digest
		l.view.setFleet(p.Fleet)
	}
	l.view.proven(sent - p.Age)
	return p.Age < staleAnswer
}

// apply takes over an update. It reports false if the update does not fit.
func (l *link) apply(u coordinator.Update) bool {
	if u.Sequence == l.state.Sequence {
		return true
	}
	if u.State != nil {
		s, err := catalog.DecodeCompressed(u.State, l.translate)
		if err != nil || s.Sequence < l.state.Sequence {
			l.log.Error("unusable state", zap.Error(err), zap.Uint64("sequence", u.Sequence))
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
			l.log.Error("unusable change", zap.Error(err), zap.Uint64("sequence", u.Sequence))
		}
	}
	if _, err := l.state.UpdateConfig(); err != nil {
		l.log.Error("unreadable configuration", zap.Error(err), zap.Uint64("version", l.state.Version))
	}
	l.view.set(l.clock.Now(), l.state)
	l.log.Info("state", zap.Uint64("sequence", l.state.Sequence), zap.Uint64("version", l.state.Version), zap.Int("targets", len(l.state.Targets)))
	return l.state.Sequence == u.Sequence
}

// borrow asks the control process for tokens at once.
func (l *link) borrow(a coordinator.BorrowArgs) (coordinator.BorrowReply, error) {
	var r coordinator.BorrowReply
	err := l.pool.Get(l.address()).Call("Peer.Borrow", a, &r, borrowTimeout)
	return r, err
}
