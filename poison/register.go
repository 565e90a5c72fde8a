// Package poison recognizes poison requests, which crash each target that runs
// them, so that they are not sent to more targets.
package poison

import (
	"hash/fnv"
	"strconv"

	"github.com/carawayrack/carawayrack/balance"
	"github.com/carawayrack/carawayrack/catalog"
	"github.com/carawayrack/carawayrack/clock"
)

// Fingerprint identifies a request by its content: it is the same whenever the
// request is sent again.
type Fingerprint uint64

// FingerprintOf returns the fingerprint of a request of an account.
func FingerprintOf(account, method, host, path string, body []byte) Fingerprint {
	h := fnv.New64a()
	for _, s := range []string{account, method, host, path} {
		_, _ = h.Write([]byte(s))
		_, _ = h.Write([]byte{0})
	}
	_, _ = h.Write(body)
	return Fingerprint(h.Sum64())
}

const (
	// crashesToQuarantine is the number of crashes of targets that run a request, without
	// a response in between, before it is quarantined. A target that starts again can
	// crash again.
	crashesToQuarantine = 3
	// crashRetention is how long a crash counts.
	crashRetention = 60 * clock.Second
	// localQuarantine is the time after the last crash before a host asks for a trial.
	localQuarantine = 10 * clock.Second
)

// Register holds the suspects: requests during which targets crashed, and those that the
// control processes list. It is not safe for concurrent use.
type Register struct {
	suspects map[Fingerprint]*suspect
}

// suspect is a request during which targets crashed.
type suspect struct {
	// crashes holds the keys of the incarnations of targets that crashed.
	crashes map[uint32]bool
	// refusedAt is when this host found that an incarnation, by its key, accepted no
	// connections any more.
	refusedAt map[uint32]clock.Millis
	// expiresAt is when the suspect is dropped unless it is listed.
	expiresAt clock.Millis
	// listed is true if the control processes list the request as quarantined.
	listed bool
	// notBefore is the time before which a quarantined request is refused without
	// asking for a trial.
	notBefore clock.Millis
}

func (s *suspect) quarantined() bool { return s.listed || len(s.crashes) >= crashesToQuarantine }

func newSuspect() *suspect {
	return &suspect{crashes: map[uint32]bool{}, refusedAt: map[uint32]clock.Millis{}}
}

// Attempt is the sending of a request to a target.
type Attempt struct {
	Fingerprint Fingerprint
	// Target is the ID of the target, Addr its address, and Born the start of its
	// incarnation as far as the host knows, in Unix milliseconds.
	Target, Addr string
	Born         int64
	// SentAt is when the attempt began.
	SentAt clock.Millis
}

// key identifies the incarnation of the target after a number of restarts that its Born
// does not show.
func (a Attempt) key(restarts int) uint32 {
	return balance.Key(a.Target + "/" + strconv.FormatInt(a.Born, 10) + "/" + strconv.Itoa(restarts))
}

// Run initializes the register.
func (r *Register) Run() { r.suspects = map[Fingerprint]*suspect{} }

// Empty reports whether there are no suspects.
func (r *Register) Empty() bool { return len(r.suspects) == 0 }

// RecordCrash records a crash of a target, by the key of its incarnation, while it ran a
// request. A crash that several hosts report counts once. It reports whether the request
// is in quarantine now.
func (r *Register) RecordCrash(now clock.Millis, f Fingerprint, key uint32) bool {
	r.expire(now)
	s := r.suspects[f]
	if s == nil {
		s = newSuspect()
		r.suspects[f] = s
	}
	s.crashes[key] = true
	s.expiresAt = now + crashRetention
	if !s.quarantined() {
		return false
	}
	s.notBefore = max(s.notBefore, now+localQuarantine)
	s.expiresAt = now + catalog.SuspectRetention
	return true
}

// RecordAttemptCrash records that the target of an attempt of this host has crashed, and
// whether it refused connections after that. It returns the key for RecordCrash at other
// hosts.
func (r *Register) RecordAttemptCrash(now clock.Millis, a Attempt, refused bool) (key uint32, quarantined bool) {
	key = r.incarnationKey(a)
	quarantined = r.RecordCrash(now, a.Fingerprint, key)
	if refused {
		r.suspects[a.Fingerprint].refusedAt[key] = now
	}
	return key, quarantined
}

// incarnationKey returns the key of the incarnation that received an attempt. A target that
// had refused connections before the attempt has started again since, even if its
// announcement has not arrived yet.
func (r *Register) incarnationKey(a Attempt) uint32 {
	s := r.suspects[a.Fingerprint]
	for restarts := 0; ; restarts++ {
		k := a.key(restarts)
		if s == nil {
			return k
		}
		if at, refused := s.refusedAt[k]; !refused || a.SentAt <= at {
			return k
		}
	}
}

// RecordResponse records that a target responded to a request. It clears the request,
// unless the control processes list it: only they can tell whether a later trial has
// crashed its target. It reports whether the request was a suspect.
func (r *Register) RecordResponse(f Fingerprint) bool {
	s := r.suspects[f]
	if s == nil {
		return false
	}
	clear(s.crashes)
	clear(s.refusedAt)
	if !s.listed {
		delete(r.suspects, f)
	}
	return true
}

// SetListed replaces the requests that the control processes list as quarantined. Those
// that they have dropped are cleared.
func (r *Register) SetListed(now clock.Millis, listed map[uint64]catalog.Suspect) {
	for f, s := range r.suspects {
		if _, ok := listed[uint64(f)]; s.listed && !ok {
			delete(r.suspects, f)
		}
	}
	for n := range listed {
		f := Fingerprint(n)
		if r.suspects[f] == nil {
			r.suspects[f] = newSuspect()
			r.suspects[f].notBefore = now
		}
		r.suspects[f].listed = true
	}
}

// Hold makes a quarantined request be refused for a time without asking for a trial.
func (r *Register) Hold(now clock.Millis, f Fingerprint, wait clock.Millis) {
	if s := r.suspects[f]; s != nil {
		s.notBefore = now + wait
	}
}

// Quarantined reports whether a request may be sent only as a trial, and the time until
// one may be asked for. It removes expired suspects.
func (r *Register) Quarantined(now clock.Millis, f Fingerprint) (quarantined bool, wait clock.Millis) {
	r.expire(now)
	s := r.suspects[f]
	if s == nil || !s.quarantined() {
		return false, 0
	}
	return true, max(0, s.notBefore-now)
}

// hasCrashed reports whether the crashes that this host knows suffice for a quarantine.
func (r *Register) hasCrashed(f Fingerprint) bool {
	s := r.suspects[f]
	return s != nil && len(s.crashes) >= crashesToQuarantine
}

// expire removes the suspects whose crashes no longer count.
func (r *Register) expire(now clock.Millis) {
	for f, s := range r.suspects {
		if !s.listed && now >= s.expiresAt {
			delete(r.suspects, f)
		}
	}
}
