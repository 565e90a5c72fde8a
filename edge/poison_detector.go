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

// poisonDetector detects requests that crash their targets. Hosts share what
// they see.
type poisonDetector struct {
	clock clock.Clock
	log   *zap.Logger
	// broadcast sends a message to the other hosts.
	broadcast func(payload []byte)
	// dial opens and closes a connection to a target.
	dial func(addr string) error

	// hasSuspects is true if the register is not empty.
	hasSuspects atomic.Bool
	mu          sync.Mutex
	register    poison.Register
}

const (
	// crashCheckDelay is the time after a broken connection after which a
	// crashed target no longer accepts connections.
	crashCheckDelay  = 50 * clock.Millis(1)
	crashDialTimeout = 300 * clock.Millis(1)
	// suspicionSize is the size of a message to other hosts in bytes: the
	// fingerprint, the target, and whether the request was cleared.
	suspicionSize = 13
)

func (s *poisonDetector) run() {
	s.register.Run()
	if s.dial == nil {
		s.dial = dialTCP
	}
}

func dialTCP(addr string) error {
	n, err := net.DialTimeout("tcp", addr, crashDialTimeout.Duration())
	if err != nil {
		return err
	}
	return n.Close()
}

// check refuses a quarantined request. It returns nil if the request may be
// sent to a target.
func (s *poisonDetector) check(c *call) *refusal {
	if !s.hasSuspects.Load() {
		return nil
	}
	s.mu.Lock()
	q := s.register.QuarantineLeft(s.clock.Now(), c.fingerprint())
	s.hasSuspects.Store(!s.register.Empty())
	s.mu.Unlock()
	if q == 0 {
		return nil
	}
	return &refusal{Quarantined, http.StatusServiceUnavailable, q, "targets crashed while they ran it"}
}

// checkCrash starts to check whether a target has crashed, after it closed the
// connection during a request or sent an invalid response.
func (s *poisonDetector) checkCrash(f poison.Fingerprint, id, addr string) {
	x := &crashCheck{detector: s, fingerprint: f, target: id, addr: addr}
	go x.run()
}

// clearRequest clears a request that a target has answered, and notifies the
// other hosts if it was suspected.
func (s *poisonDetector) clearRequest(c *call) {
	if !s.hasSuspects.Load() {
		return
	}
	if f := c.fingerprint(); s.clear(f) {
		s.broadcast(encodeSuspicion(f, 0, true))
	}
}

// clear removes a request from the register and reports whether it was
// suspected.
func (s *poisonDetector) clear(f poison.Fingerprint) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	known := s.register.RecordResponse(f)
	s.hasSuspects.Store(!s.register.Empty())
	return known
}

// recordCrash records a crash that this host or another one has detected.
func (s *poisonDetector) recordCrash(f poison.Fingerprint, target uint32) {
	s.mu.Lock()
	quarantined := s.register.RecordCrash(s.clock.Now(), f, target)
	s.hasSuspects.Store(true)
	s.mu.Unlock()
	if quarantined {
		s.log.Warn("quarantined", zap.Uint64("fingerprint", uint64(f)))
	}
}

// receive handles a message of another host.
func (s *poisonDetector) receive(b []byte) {
	if len(b) != suspicionSize {
		return
	}
	f := poison.Fingerprint(binary.LittleEndian.Uint64(b))
	if b[12] == 0 {
		s.recordCrash(f, binary.LittleEndian.Uint32(b[8:]))
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

// crashCheck checks whether a target has crashed: it counts as crashed if it
// accepts no connection.
type crashCheck struct {
	detector     *poisonDetector
	fingerprint  poison.Fingerprint
	target, addr string
}

func (x *crashCheck) run() {
	time.Sleep(crashCheckDelay.Duration())
	if x.detector.dial(x.addr) == nil {
		return
	}
	k := balance.Key(x.target)
	x.detector.log.Info("target crashed", zap.String("target", x.target), zap.Uint64("fingerprint", uint64(x.fingerprint)))
	x.detector.recordCrash(x.fingerprint, k)
	x.detector.broadcast(encodeSuspicion(x.fingerprint, k, false))
}

// fingerprint identifies the request by its content and account: it is the same
// whenever the request is sent again. Of a long body it covers only the buffered
// part.
func (c *call) fingerprint() poison.Fingerprint {
	account := ""
	if c.account != nil {
		account = c.account.Name
	}
	return poison.FingerprintOf(account, c.r.Method, c.r.Host, c.r.RequestURI, c.body)
}
