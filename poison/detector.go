package poison

import (
	"encoding/binary"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/carawayrack/carawayrack/catalog"
	"github.com/carawayrack/carawayrack/clock"
	"github.com/carawayrack/carawayrack/coordinator"
)

// Detector detects requests that crash their targets. Hosts share what they see, and the
// control processes list the requests that are quarantined and grant the trials of them.
// The fields must be set before Run; the detector may then be used from several
// goroutines.
type Detector struct {
	Clock clock.Clock
	Log   *zap.Logger
	// Broadcast sends an encoded Message to the other hosts.
	Broadcast func(payload []byte)
	// Dial opens and closes a connection to a target, within CrashDialTimeout. An error
	// means that the target has crashed.
	Dial func(addr string) error
	// Control sends a request to a control process. The error is that of the call.
	Control func(coordinator.SuspectArgs) (coordinator.SuspectReply, error)

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
	// unavailableWait is the time after which a trial may be asked for again if no control
	// process has decided.
	unavailableWait = 1 * clock.Second
	// messageSize is the size of an encoded Message in bytes.
	messageSize = 13
)

// Run initializes the detector.
func (d *Detector) Run() { d.register.Run() }

// Suspects reports whether there are any suspects. As long as there are none, nothing
// needs the fingerprints of requests.
func (d *Detector) Suspects() bool { return d.hasSuspects.Load() }

// Quarantined reports whether a request may be sent only as a trial, and the time until
// one may be asked for.
func (d *Detector) Quarantined(f Fingerprint) (quarantined bool, wait clock.Millis) {
	d.mu.Lock()
	defer d.mu.Unlock()
	quarantined, wait = d.register.Quarantined(d.Clock.Now(), f)
	d.hasSuspects.Store(!d.register.Empty())
	return quarantined, wait
}

// Trial is the right to send a quarantined request to one target.
type Trial struct {
	fingerprint Fingerprint
	// sequence is that of the state of the control processes in which the trial began.
	sequence uint64
}

// BeginTrial asks for a trial of a quarantined request that takes at most timeLeft. It
// returns nil and the time until the next try if there is none: one trial runs at a time
// in the fleet.
func (d *Detector) BeginTrial(f Fingerprint, timeLeft clock.Millis) (*Trial, clock.Millis) {
	d.mu.Lock()
	crashed := d.register.hasCrashed(f)
	d.mu.Unlock()
	p, err := d.Control(coordinator.SuspectArgs{Fingerprint: uint64(f), Crashed: crashed, Trial: true, TimeLeft: timeLeft})
	if err != nil {
		p.Wait = unavailableWait
	}
	d.mu.Lock()
	d.register.Hold(d.Clock.Now(), f, p.Wait)
	d.mu.Unlock()
	d.Log.Info("trial of a quarantined request", zap.Uint64("fingerprint", uint64(f)), zap.Bool("granted", p.Granted),
		zap.Int64("waitMs", int64(p.Wait)), zap.Error(err))
	if !p.Granted {
		return nil, p.Wait
	}
	return &Trial{f, p.Sequence}, 0
}

// CheckCrash starts to check whether the target of an attempt has crashed, after it closed
// the connection or sent an invalid response. It does not wait for the result.
func (d *Detector) CheckCrash(a Attempt) {
	x := &crashCheck{detector: d, attempt: a}
	go x.run()
}

// RecordResponse clears a request that a target has answered, and notifies the other
// hosts if it was suspected. Trial is nil unless the request was sent as one; the control
// processes are then asked to end the quarantine, without waiting for it.
func (d *Detector) RecordResponse(f Fingerprint, t *Trial) {
	if t != nil {
		x := &answeredTrial{d, t}
		go x.run()
	}
	if d.clear(f) {
		d.Broadcast(Message{Fingerprint: f, Cleared: true}.Encode())
	}
}

// SetListed replaces the requests that the control processes list as quarantined.
func (d *Detector) SetListed(listed map[uint64]catalog.Suspect) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.register.SetListed(d.Clock.Now(), listed)
	d.hasSuspects.Store(!d.register.Empty())
}

// clear records the response to a request and reports whether it was suspected.
func (d *Detector) clear(f Fingerprint) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	known := d.register.RecordResponse(f)
	d.hasSuspects.Store(!d.register.Empty())
	return known
}

// recordCrash records a crash that another host has detected.
func (d *Detector) recordCrash(f Fingerprint, key uint32) {
	d.mu.Lock()
	quarantined := d.register.RecordCrash(d.Clock.Now(), f, key)
	d.hasSuspects.Store(true)
	d.mu.Unlock()
	d.logQuarantine(f, quarantined)
}

// recordAttemptCrash records a crash that this host has detected; see
// Register.RecordAttemptCrash.
func (d *Detector) recordAttemptCrash(a Attempt, refused bool) (key uint32, quarantined bool) {
	d.mu.Lock()
	key, quarantined = d.register.RecordAttemptCrash(d.Clock.Now(), a, refused)
	d.hasSuspects.Store(true)
	d.mu.Unlock()
	d.logQuarantine(a.Fingerprint, quarantined)
	return key, quarantined
}

func (d *Detector) logQuarantine(f Fingerprint, quarantined bool) {
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
	// Target is the key of the incarnation that crashed, 0 if none did; see
	// Register.RecordAttemptCrash.
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
	detector *Detector
	attempt  Attempt
}

func (x *crashCheck) run() {
	time.Sleep(crashCheckDelay.Duration())
	d, a := x.detector, x.attempt
	err := d.Dial(a.Addr)
	if err == nil {
		return
	}
	k, quarantined := d.recordAttemptCrash(a, errors.Is(err, syscall.ECONNREFUSED))
	d.Log.Info("target crashed", zap.String("target", a.Target), zap.Int64("born", a.Born),
		zap.Uint64("fingerprint", uint64(a.Fingerprint)), zap.Error(err))
	d.Broadcast(Message{Fingerprint: a.Fingerprint, Target: k}.Encode())
	if !quarantined {
		return
	}
	if _, err := d.Control(coordinator.SuspectArgs{Fingerprint: uint64(a.Fingerprint), Crashed: true}); err != nil {
		// The next host that asks for a trial reports the crashes as well.
		d.Log.Warn("the control processes do not know of a quarantine", zap.Uint64("fingerprint", uint64(a.Fingerprint)), zap.Error(err))
	}
}

// answeredTrial asks the control processes to end the quarantine of a request.
type answeredTrial struct {
	detector *Detector
	trial    *Trial
}

func (x *answeredTrial) run() {
	a := coordinator.SuspectArgs{Fingerprint: uint64(x.trial.fingerprint), Answered: true, Sequence: x.trial.sequence}
	if _, err := x.detector.Control(a); err != nil {
		// The request stays in quarantine until its next trial.
		x.detector.Log.Warn("ending a quarantine failed", zap.Uint64("fingerprint", a.Fingerprint), zap.Error(err))
	}
}
