package poison

import (
	"encoding/binary"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/carawayrack/carawayrack/balance"
	"github.com/carawayrack/carawayrack/clock"
)

// Detector detects requests that crash their targets. Hosts share what they see. The
// fields must be set before Run; the detector may then be used from several goroutines.
type Detector struct {
	Clock clock.Clock
	Log   *zap.Logger
	// Broadcast sends an encoded Message to the other hosts.
	Broadcast func(payload []byte)
	// Dial opens and closes a connection to a target, within CrashDialTimeout. An error
	// means that the target has crashed.
	Dial func(addr string) error

	// hasSuspects is true if the register is not empty.
	hasSuspects atomic.Bool
	mu          sync.Mutex
	register    Register
}

const (
	// crashCheckDelay is the time after a broken connection after which a
	// crashed target no longer accepts connections.
	crashCheckDelay = 50 * clock.Millis(1)
	// CrashDialTimeout bounds the connection to a target that may have crashed.
	CrashDialTimeout = 300 * clock.Millis(1)
	// messageSize is the size of an encoded Message in bytes.
	messageSize = 13
)

// Run initializes the detector.
func (d *Detector) Run() { d.register.Run() }

// Suspects reports whether there are any suspects. As long as there are none, nothing
// needs the fingerprints of requests.
func (d *Detector) Suspects() bool { return d.hasSuspects.Load() }

// QuarantineLeft returns the time until a request may be sent to a target, 0 if it may be
// sent now.
func (d *Detector) QuarantineLeft(f Fingerprint) clock.Millis {
	d.mu.Lock()
	defer d.mu.Unlock()
	q := d.register.QuarantineLeft(d.Clock.Now(), f)
	d.hasSuspects.Store(!d.register.Empty())
	return q
}

// CheckCrash starts to check whether a target has crashed, after it closed the
// connection during a request or sent an invalid response. It takes the ID and the
// address of the target and does not wait for the result.
func (d *Detector) CheckCrash(f Fingerprint, id, addr string) {
	x := &crashCheck{detector: d, fingerprint: f, target: id, addr: addr}
	go x.run()
}

// RecordResponse clears a request that a target has answered, and notifies the other
// hosts if it was suspected.
func (d *Detector) RecordResponse(f Fingerprint) {
	if d.clear(f) {
		d.Broadcast(Message{Fingerprint: f, Cleared: true}.Encode())
	}
}

// clear removes a request from the register and reports whether it was
// suspected.
func (d *Detector) clear(f Fingerprint) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	known := d.register.RecordResponse(f)
	d.hasSuspects.Store(!d.register.Empty())
	return known
}

// recordCrash records a crash that this host or another one has detected.
func (d *Detector) recordCrash(f Fingerprint, target uint32) {
	d.mu.Lock()
	quarantined := d.register.RecordCrash(d.Clock.Now(), f, target)
	d.hasSuspects.Store(true)
	d.mu.Unlock()
	if quarantined {
		d.Log.Warn("quarantined", zap.Uint64("fingerprint", uint64(f)))
	}
}

// Receive handles an encoded Message of another host. It drops messages of another
// length.
func (d *Detector) Receive(b []byte) {
	if len(b) != messageSize {
		return
	}
	f := Fingerprint(binary.LittleEndian.Uint64(b))
	if b[12] == 0 {
		d.recordCrash(f, binary.LittleEndian.Uint32(b[8:]))
		return
	}
	d.clear(f)
}

// Message tells other hosts that a target crashed while it ran a request, or that a
// suspected request was answered.
type Message struct {
	Fingerprint Fingerprint
	// Target is the balance.Key of the target that crashed, 0 if none did.
	Target uint32
	// Cleared is true if the request was answered.
	Cleared bool
}

// Encode returns the message in 13 bytes: the fingerprint, the target, and whether the
// request was cleared.
func (m Message) Encode() []byte {
	b := binary.LittleEndian.AppendUint64(make([]byte, 0, messageSize), uint64(m.Fingerprint))
	b = binary.LittleEndian.AppendUint32(b, m.Target)
	if m.Cleared {
		return append(b, 1)
	}
	return append(b, 0)
}

// crashCheck checks whether a target has crashed: it counts as crashed if it
// accepts no connection.
type crashCheck struct {
	detector     *Detector
	fingerprint  Fingerprint
	target, addr string
}

func (x *crashCheck) run() {
	time.Sleep(crashCheckDelay.Duration())
	if x.detector.Dial(x.addr) == nil {
		return
	}
	k := balance.Key(x.target)
	x.detector.Log.Info("target crashed", zap.String("target", x.target), zap.Uint64("fingerprint", uint64(x.fingerprint)))
	x.detector.recordCrash(x.fingerprint, k)
	x.detector.Broadcast(Message{Fingerprint: x.fingerprint, Target: k}.Encode())
}
