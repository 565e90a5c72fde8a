package edge

import (
	"encoding/binary"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/carawayrack/carawayrack/balance"
	"github.com/carawayrack/carawayrack/clock"
	"github.com/carawayrack/carawayrack/poison"
)

// suspects finds requests that crash their targets, together with the other
// hosts.
type suspects struct {
	clock clock.Clock
	log   *zap.Logger
	// tell tells the other hosts.
	tell func(payload []byte)
	// reach tries to open a connection to a target.
	reach func(addr string) error

	// any is true if there are suspects.
	any      atomic.Bool
	mu       sync.Mutex
	register poison.Register
}

const (
	// reachAfter is the time after a broken connection at which a target that
	// crashed is surely down.
	reachAfter   = 50 * clock.Millis(1)
	reachTimeout = 300 * clock.Millis(1)
	// suspicionSize is the size of a message to other hosts: the fingerprint,
	// the target, and whether the request was cleared.
	suspicionSize = 13
)

func (s *suspects) run() {
	s.register.Run()
	if s.reach == nil {
		s.reach = reachTCP
	}
}

func reachTCP(addr string) error {
	n, err := net.DialTimeout("tcp", addr, reachTimeout.Duration())
	if err != nil {
		return err
	}
	return n.Close()
}

// check refuses a request in quarantine; nil if it may go on.
func (s *suspects) check(c *call) *refusal {
	if !s.any.Load() {
		return nil
	}
	s.mu.Lock()
	q := s.register.QuarantineLeft(s.clock.Now(), c.fingerprint())
	s.any.Store(!s.register.Empty())
	s.mu.Unlock()
	if q == 0 {
		return nil
	}
	return &refusal{Quarantined, http.StatusServiceUnavailable, q, "targets crashed under it"}
}

// broke finds out whether a target that broke off a request has crashed.
func (s *suspects) broke(f poison.Fingerprint, id, addr string) {
	x := &inquiry{suspects: s, fingerprint: f, target: id, addr: addr}
	go x.run()
}

// answered clears a request.
func (s *suspects) answered(c *call) {
	if !s.any.Load() {
		return
	}
	if f := c.fingerprint(); s.clear(f) {
		s.tell(encodeSuspicion(f, 0, true))
	}
}

// clear forgets a request and reports whether it was under suspicion.
func (s *suspects) clear(f poison.Fingerprint) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	known := s.register.RecordResponse(f)
	s.any.Store(!s.register.Empty())
	return known
}

// crashed notes a crash, also one that another host tells of.
func (s *suspects) crashed(f poison.Fingerprint, target uint32) {
	s.mu.Lock()
	held := s.register.RecordCrash(s.clock.Now(), f, target)
	s.any.Store(true)
	s.mu.Unlock()
	if held {
		s.log.Warn("quarantined", zap.Uint64("fingerprint", uint64(f)))
	}
}

// hear takes over what another host tells.
func (s *suspects) hear(b []byte) {
	if len(b) != suspicionSize {
		return
	}
	f := poison.Fingerprint(binary.LittleEndian.Uint64(b))
	if b[12] == 0 {
		s.crashed(f, binary.LittleEndian.Uint32(b[8:]))
		return
	}
	s.clear(f)
}

func encodeSuspicion(f poison.Fingerprint, target uint32, cleared bool) []byte {
	b := binary.LittleEndian.AppendUint64(make([]byte, 0, suspicionSize), uint64(f))
	b = binary.LittleEndian.AppendUint32(b, target)
	if cleared {
		return append(b, 1)
	}
	return append(b, 0)
}

// inquiry finds out whether a target has crashed.
type inquiry struct {
	suspects     *suspects
	fingerprint  poison.Fingerprint
	target, addr string
}

func (x *inquiry) run() {
	time.Sleep(reachAfter.Duration())
	if x.suspects.reach(x.addr) == nil {
		return
	}
	k := balance.Key(x.target)
	x.suspects.log.Info("target crashed", zap.String("target", x.target), zap.Uint64("fingerprint", uint64(x.fingerprint)))
	x.suspects.crashed(x.fingerprint, k)
	x.suspects.tell(encodeSuspicion(x.fingerprint, k, false))
}

// fingerprint identifies the request whoever sends it again.
func (c *call) fingerprint() poison.Fingerprint {
	account := ""
	if c.account != nil {
		account = c.account.Name
	}
	return poison.FingerprintOf(account, c.r.Method, c.r.Host, c.r.RequestURI, c.body)
}
