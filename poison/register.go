// Package poison recognizes poison requests, which crash each target that runs
// them, so that they are not sent to more targets.
package poison

import (
	"hash/fnv"

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
	// crashesToQuarantine is the number of different targets that must crash while
	// running a request, without a response in between, before it is quarantined.
	crashesToQuarantine = 3
	// crashRetention is how long a crash counts.
	crashRetention = 60 * clock.Second
	// minQuarantine is the length of the first quarantine; each further crash
	// doubles it, up to maxQuarantine.
	minQuarantine = 10 * clock.Second
	maxQuarantine = 60 * clock.Second
)

// Register holds the suspects: requests during which targets crashed. It is not
// safe for concurrent use.
type Register struct {
	suspects map[Fingerprint]*suspect
}

// suspect is a request during which targets crashed.
type suspect struct {
	// targets holds the keys of the targets that crashed.
	targets map[uint32]bool
	// expiresAt is when the suspect is dropped.
	expiresAt clock.Millis
	// quarantineLength and quarantineEnd are the length and the end of the last
	// quarantine, 0 before the first.
	quarantineLength, quarantineEnd clock.Millis
}

// Run initializes the register.
func (r *Register) Run() { r.suspects = map[Fingerprint]*suspect{} }

// Empty reports whether there are no suspects.
func (r *Register) Empty() bool { return len(r.suspects) == 0 }

// RecordCrash records that a target crashed while it ran a request. It reports
// whether the request is in quarantine now.
func (r *Register) RecordCrash(now clock.Millis, f Fingerprint, target uint32) bool {
	r.expire(now)
	s := r.suspects[f]
	if s == nil {
		s = &suspect{targets: map[uint32]bool{}}
		r.suspects[f] = s
	}
	if s.targets[target] && s.quarantineEnd > now {
		// Another host reports a crash that is known already.
		return true
	}
	s.targets[target] = true
	s.expiresAt = now + crashRetention
	if len(s.targets) < crashesToQuarantine {
		return false
	}
	s.quarantineLength = min(max(2*s.quarantineLength, minQuarantine), maxQuarantine)
	s.quarantineEnd = now + s.quarantineLength
	s.expiresAt = s.quarantineEnd + crashRetention
	return true
}

// RecordResponse records that a target responded to a request, which clears it.
// It reports whether the request was a suspect.
func (r *Register) RecordResponse(f Fingerprint) bool {
	if r.suspects[f] == nil {
		return false
	}
	delete(r.suspects, f)
	return true
}

// QuarantineLeft returns the time until a request may be sent, 0 if it may be sent
// now. It removes expired suspects.
func (r *Register) QuarantineLeft(now clock.Millis, f Fingerprint) clock.Millis {
	r.expire(now)
	if s := r.suspects[f]; s != nil {
		return max(0, s.quarantineEnd-now)
	}
	return 0
}

// expire removes the suspects whose crashes no longer count.
func (r *Register) expire(now clock.Millis) {
	for f, s := range r.suspects {
		if now >= s.expiresAt {
			delete(r.suspects, f)
		}
	}
}
