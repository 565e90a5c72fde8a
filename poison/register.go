// Package poison recognises requests that crash each target that runs them, so
// that they are sent to no more targets.
package poison

import (
	"hash/fnv"

	"github.com/carawayrack/carawayrack/clock"
)

// Fingerprint identifies what a request asks for, whoever sends it again.
type Fingerprint uint64

// FingerprintOf returns the fingerprint of a request.
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
	// crashes is the number of different targets that must crash under a
	// request, with no answer in between, before it is quarantined.
	crashes = 3
	// memory is how long a crash counts.
	memory = 60 * clock.Second
	// firstQuarantine is the length of the first quarantine; each further
	// crash doubles it, up to lastQuarantine.
	firstQuarantine = 10 * clock.Second
	lastQuarantine  = 60 * clock.Second
)

// Register holds the requests under which targets crashed. It is not safe for
// concurrent use.
type Register struct {
	suspects map[Fingerprint]*suspect
}

type suspect struct {
	targets map[uint32]bool
	until   clock.Millis
	// length is that of the last quarantine, end its end.
	length, end clock.Millis
}

// Run prepares the register.
func (r *Register) Run() { r.suspects = map[Fingerprint]*suspect{} }

// Empty reports whether there are no suspects.
func (r *Register) Empty() bool { return len(r.suspects) == 0 }

// RecordCrash notes that a target crashed while it ran a request. It reports
// whether the request is in quarantine from now on.
func (r *Register) RecordCrash(now clock.Millis, f Fingerprint, target uint32) bool {
	r.expire(now)
	s := r.suspects[f]
	if s == nil {
		s = &suspect{targets: map[uint32]bool{}}
		r.suspects[f] = s
	}
	if s.targets[target] && s.end > now {
		// Another host tells of a crash that is known.
		return true
	}
	s.targets[target] = true
	s.until = now + memory
	if len(s.targets) < crashes {
		return false
	}
	s.length = min(max(2*s.length, firstQuarantine), lastQuarantine)
	s.end = now + s.length
	s.until = s.end + memory
	return true
}

// RecordResponse notes that a target answered a request. It reports whether the
// request was under suspicion until now.
func (r *Register) RecordResponse(f Fingerprint) bool {
	if r.suspects[f] == nil {
		return false
	}
	delete(r.suspects, f)
	return true
}

// QuarantineLeft returns how long a request must not be sent yet, and forgets what
// no longer counts.
func (r *Register) QuarantineLeft(now clock.Millis, f Fingerprint) clock.Millis {
	r.expire(now)
	if s := r.suspects[f]; s != nil {
		return max(0, s.end-now)
	}
	return 0
}

func (r *Register) expire(now clock.Millis) {
	for f, s := range r.suspects {
		if now >= s.until {
			delete(r.suspects, f)
		}
	}
}
