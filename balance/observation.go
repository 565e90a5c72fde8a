package balance

import (
	"encoding/binary"

	"github.com/carawayrack/carawayrack/catalog"
	"github.com/carawayrack/carawayrack/clock"
)

// Observation is a host's report on the health and load of a target for other
// hosts.
type Observation struct {
	// Key identifies the target; see the function Key.
	Key uint32
	// InFlight is the number of requests at the target that the reporting host
	// sent; in a digest, those of all hosts that it knows of. It is at most 255.
	InFlight uint8
	// SuccessesNeeded is the number of successful responses after which the
	// target is healthy again; 0 if it is healthy.
	SuccessesNeeded uint8
	// OKAge is the time in milliseconds since the target last accepted a
	// request that succeeded or is still in flight; FailAge is the time since
	// the last failure. Each is never (0xffff) if its event has not happened or
	// is too old for the encoding.
	OKAge, FailAge uint16
}

const (
	// secondHandSuccessesNeeded is the largest number of successes that this
	// host reports as needed if only its path to the target may have failed: the
	// target may be healthy for other hosts.
	secondHandSuccessesNeeded = 1
	// never is the age of an event that has not happened, or of one that is too
	// old for the encoding.
	never = 0xffff
	// ageTolerance is the inaccuracy of ages between hosts: for Merge, a success
	// that another host reports counts only if it is later than the last failure
	// by more than this.
	ageTolerance = 5 * clock.Millis(1)
	// ObservationSize is the size of one encoded Observation in bytes.
	ObservationSize = 10
)

// Older returns the observation as it is d later.
func (e Observation) Older(d clock.Millis) Observation {
	e.OKAge, e.FailAge = older(e.OKAge, d), older(e.FailAge, d)
	return e
}

func older(age uint16, d clock.Millis) uint16 {
	if age == never || clock.Millis(age)+d >= never {
		return never
	}
	return age + uint16(max(d, 0))
}

// EncodeObservations appends the binary form of l to b and returns the result.
func EncodeObservations(b []byte, l []Observation) []byte {
	for _, e := range l {
		b = binary.LittleEndian.AppendUint32(b, e.Key)
		b = append(b, e.InFlight, e.SuccessesNeeded)
		b = binary.LittleEndian.AppendUint16(b, e.OKAge)
		b = binary.LittleEndian.AppendUint16(b, e.FailAge)
	}
	return b
}

// DecodeObservations decodes the output of EncodeObservations. An incomplete
// observation at the end is ignored.
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

// age returns the time since an event in the form of Observation.
func age(now, at clock.Millis) uint16 {
	if at == 0 || now-at >= never {
		return never
	}
	return uint16(max(now-at, 0))
}

// TakeChanges returns observations of the targets whose state has changed since
// the last call, by the ID of the host to send them to: the owners of the
// target, or all hosts of a small zone.
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

// remoteReports is the number of times that a health change is reported to other
// zones, since reports may be lost.
const remoteReports = 3

// remoteReportDelay is how long a target must be unhealthy before this is
// reported to other zones: they rarely use the target, and most failures are
// short.
const remoteReportDelay = 1 * clock.Second

// TakeHealthChanges returns observations of the targets of which this host is
// the first owner and whose health differs from what was last reported to other
// zones, or was reported less than remoteReports times. It counts them as
// reported.
func (p *Pool) TakeHealthChanges(now clock.Millis) []Observation {
	var l []Observation
	for _, t := range p.order {
		unhealthy := t.successesNeeded > 0
		if !p.isFirstOwner(t) {
			continue
		}
		if unhealthy != t.reportedUnhealthy && (!unhealthy || now-t.healthChangedAt >= remoteReportDelay) {
			t.reportedUnhealthy, t.reportsLeft = unhealthy, remoteReports
		}
		if unhealthy != t.reportedUnhealthy || t.reportsLeft == 0 {
			continue
		}
		t.reportsLeft--
		l = append(l, t.observation(now))
	}
	return l
}

// FirstOwned returns observations of the serving targets of which this host is the
// first owner, with the number of requests in flight from all hosts.
func (p *Pool) FirstOwned(now clock.Millis) []Observation {
	return p.summary(now, p.isFirstOwner)
}

// Digest returns observations of all serving targets of the local zone, with the
// number of requests in flight from all hosts.
func (p *Pool) Digest(now clock.Millis) []Observation {
	return p.summary(now, func(t *target) bool { return t.Zone == p.Zone })
}

// summary returns observations of the serving targets that include accepts,
// with the number of requests in flight from all hosts.
func (p *Pool) summary(now clock.Millis, include func(*target) bool) []Observation {
	var l []Observation
	for _, t := range p.order {
		if t.Phase == catalog.Serving && include(t) {
			e := t.observation(now)
			e.InFlight = uint8(min(t.totalInFlight(now), 255))
			l = append(l, e)
		}
	}
	return l
}

// Authoritative reports whether an observation from a host of the given zone
// should replace what this host knows of the target: the target is in that zone
// and this host is not one of its owners.
func (p *Pool) Authoritative(e Observation, zone string) bool {
	t := p.byKey[e.Key]
	return t != nil && t.Zone == zone && !t.owned
}

// Overwrite replaces the health of a target that this host does not own by the
// observation of another host, which sees more of the target's requests. It does
// nothing if this host is an owner of the target. It reports whether the target
// belongs to this pool.
func (p *Pool) Overwrite(now clock.Millis, host string, e Observation) bool {
	t := p.byKey[e.Key]
	if t == nil || t.owned {
		return t != nil
	}
	defer p.notifyHealthChange(now, t, t.successesNeeded == 0, Broken, host)
	t.setPeerInFlight(now, host, int(e.InFlight))
	t.successesNeeded = int(e.SuccessesNeeded)
	if e.OKAge != never {
		t.okAt = max(t.okAt, now-clock.Millis(e.OKAge))
	}
	if e.FailAge != never {
		t.failAt = max(t.failAt, now-clock.Millis(e.FailAge))
	}
	return true
}

// ObservationOf returns this host's observation of one target, and false if the
// target is not in the pool.
func (p *Pool) ObservationOf(now clock.Millis, id string) (Observation, bool) {
	t := p.targets[id]
	if t == nil {
		return Observation{}, false
	}
	return t.observation(now), true
}

func (t *target) observation(now clock.Millis) Observation {
	needed := t.successesNeeded
	if t.pathSuspected {
		needed = min(needed, secondHandSuccessesNeeded)
	}
	return Observation{
		Key: t.key, InFlight: uint8(min(t.inFlight, 255)), SuccessesNeeded: uint8(needed),
		OKAge: age(now, t.lastAcceptedAt(now)), FailAge: age(now, t.failAt),
	}
}

// Merge adds another host's observation to what this host knows of the target:
// only events later than the known ones count. It reports whether the target
// belongs to this pool.
func (p *Pool) Merge(now clock.Millis, host string, e Observation) bool {
	t := p.byKey[e.Key]
	if t == nil {
		return false
	}
	t.setPeerInFlight(now, host, int(e.InFlight))
	defer p.notifyHealthChange(now, t, t.successesNeeded == 0, Broken, host)
	if e.FailAge != never {
		if at := now - clock.Millis(e.FailAge); at > t.failAt && at > t.okAt {
			t.requestedAt = max(t.requestedAt, at)
			t.recordFailure(at, max(int(e.SuccessesNeeded), 1))
		}
	}
	if e.OKAge != never {
		if at := now - clock.Millis(e.OKAge); at > t.okAt+ageTolerance && at > t.failAt+ageTolerance {
			t.okAt = at
			if t.successesNeeded > 0 {
				// It may be a passed health check, which leaves the last successes to
				// requests also at the host that sent it.
				t.successesNeeded = max(t.successesNeeded-1, min(t.successesNeeded, int(e.SuccessesNeeded)))
			} else {
				t.requestedAt = max(t.requestedAt, at)
			}
		}
	}
	return true
}
