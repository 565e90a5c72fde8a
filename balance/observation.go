package balance

import (
	"encoding/binary"

	"github.com/carawayrack/carawayrack/catalog"
	"github.com/carawayrack/carawayrack/clock"
)

// Observation is what one host tells others of a target. Ages are in
// milliseconds; never stands for no such event.
type Observation struct {
	Key             uint32
	InFlight        uint8
	SuccessesNeeded uint8
	OKAge, FailAge  uint16
}

const (
	// secondHandSuccessesNeeded is the number of answers that clear a target which only another
	// host cannot reach.
	secondHandSuccessesNeeded = 1
	never                     = 0xffff
	// ageTolerance is the difference of ages below which two hosts may have seen
	// the same moment.
	ageTolerance = 5 * clock.Millis(1)
	// ObservationSize is the size of one encoded Evidence in bytes.
	ObservationSize = 10
)

// EncodeObservations appends the binary form of l to b.
func EncodeObservations(b []byte, l []Observation) []byte {
	for _, e := range l {
		b = binary.LittleEndian.AppendUint32(b, e.Key)
		b = append(b, e.InFlight, e.SuccessesNeeded)
		b = binary.LittleEndian.AppendUint16(b, e.OKAge)
		b = binary.LittleEndian.AppendUint16(b, e.FailAge)
	}
	return b
}

// DecodeObservations reads what EncodeEvidence wrote; a torn rest is left out.
func DecodeObservations(b []byte) []Observation {
	var l []Observation
	for len(b) >= ObservationSize {
		l = append(l, Observation{
			Key: binary.LittleEndian.Uint32(b), InFlight: b[4], SuccessesNeeded: b[5],
			OKAge: binary.LittleEndian.Uint16(b[6:]), FailAge: binary.LittleEndian.Uint16(b[8:]),
		})
		b = b[ObservationSize:]
	}
	return l
}

func age(now, at clock.Millis) uint16 {
	if at == 0 || now-at >= never {
		return never
	}
	return uint16(max(now-at, 0))
}

// TakeChanges returns evidence on the targets whose state has changed since the
// last call, by the hosts to tell: the owners, or all hosts of a small zone.
func (p *Pool) TakeChanges(now clock.Millis) map[string][]Observation {
	m := map[string][]Observation{}
	for _, t := range p.order {
		if !t.changed {
			continue
		}
		t.changed = false
		to := t.owners
		if !p.LargeZone() {
			to = p.hosts
		}
		for _, h := range to {
			if h != p.Self {
				m[h] = append(m[h], t.observation(now))
			}
		}
	}
	return m
}

// remoteReportDelay is how long a target must be sick before other zones are told:
// they use it rarely, and most failures are over soon.
const remoteReportDelay = 1 * clock.Second

// TakeHealthChanges returns evidence on the targets that this host owns first and on
// which other zones must change their mind since the last call.
func (p *Pool) TakeHealthChanges(now clock.Millis) []Observation {
	var l []Observation
	for _, t := range p.order {
		sick := t.successesNeeded > 0
		if !p.isFirstOwner(t) || sick == t.reportedUnhealthy || sick && now-t.healthChangedAt < remoteReportDelay {
			continue
		}
		t.reportedUnhealthy = sick
		l = append(l, t.observation(now))
	}
	return l
}

// FirstOwned returns the evidence on the targets that this host owns first, with
// the number of requests that they are known to hold.
func (p *Pool) FirstOwned(now clock.Millis) []Observation {
	return p.summary(now, p.isFirstOwner)
}

// Digest returns the evidence on all targets of the own zone, with the number
// of requests that they are known to hold.
func (p *Pool) Digest(now clock.Millis) []Observation {
	return p.summary(now, func(t *target) bool { return t.Zone == p.Zone })
}

func (p *Pool) summary(now clock.Millis, of func(*target) bool) []Observation {
	var l []Observation
	for _, t := range p.order {
		if t.Phase == catalog.Serving && of(t) {
			e := t.observation(now)
			e.InFlight = uint8(min(t.totalInFlight(now), 255))
			l = append(l, e)
		}
	}
	return l
}

// Authoritative reports whether hosts of a zone know the target of some evidence
// better than this one: it is theirs, and this host does not own it.
func (p *Pool) Authoritative(e Observation, zone string) bool {
	t := p.byKey[e.Key]
	return t != nil && t.Zone == zone && !t.owned
}

// Overwrite takes over what another host says of a target that this one does not
// own: it sees more of it.
func (p *Pool) Overwrite(now clock.Millis, host string, e Observation) bool {
	t := p.byKey[e.Key]
	if t == nil || t.owned {
		return t != nil
	}
	defer p.notifyHealthChange(now, t, t.successesNeeded == 0, Broken, host)
	t.peerInFlight[host] = peerCount{int(e.InFlight), now}
	t.successesNeeded = int(e.SuccessesNeeded)
	if e.OKAge != never {
		t.okAt = max(t.okAt, now-clock.Millis(e.OKAge))
	}
	if e.FailAge != never {
		t.failAt = max(t.failAt, now-clock.Millis(e.FailAge))
	}
	return true
}

// ObservationOf returns the evidence on one target.
func (p *Pool) ObservationOf(now clock.Millis, id string) (Observation, bool) {
	t := p.targets[id]
	if t == nil {
		return Observation{}, false
	}
	return t.observation(now), true
}

func (t *target) observation(now clock.Millis) Observation {
	lacks := t.successesNeeded
	if t.pathSuspected {
		lacks = min(lacks, secondHandSuccessesNeeded)
	}
	return Observation{
		Key: t.key, InFlight: uint8(min(t.inFlight, 255)), SuccessesNeeded: uint8(lacks),
		OKAge: age(now, t.lastSuccessAt(now)), FailAge: age(now, t.failAt),
	}
}

// Merge takes over evidence of another host. It reports whether the target
// belongs to this pool.
func (p *Pool) Merge(now clock.Millis, host string, e Observation) bool {
	t := p.byKey[e.Key]
	if t == nil {
		return false
	}
	t.peerInFlight[host] = peerCount{int(e.InFlight), now}
	defer p.notifyHealthChange(now, t, t.successesNeeded == 0, Broken, host)
	if e.FailAge != never {
		if at := now - clock.Millis(e.FailAge); at > t.failAt && at > t.okAt {
			t.recordFailure(at, max(int(e.SuccessesNeeded), 1))
		}
	}
	if e.OKAge != never {
		if at := now - clock.Millis(e.OKAge); at > t.okAt && at > t.failAt+ageTolerance {
			t.okAt = at
			if t.successesNeeded > 0 {
				t.successesNeeded--
			}
		}
	}
	return true
}
