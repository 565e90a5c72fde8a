package catalog

import "github.com/carawayrack/carawayrack/clock"

// Suspect is a quarantined request: targets crashed while they ran it. It may only be
// sent again as a trial, one at a time in the whole fleet. Each trial begins the next
// quarantine, which a response of the target ends.
type Suspect struct {
	// Fingerprint identifies the request by its content; see poison.Fingerprint.
	Fingerprint uint64 `json:"fingerprint"`
	// Trials is the number of trials that have begun.
	Trials int `json:"trials"`
	// Until is the time of day before which no trial may begin, in Unix milliseconds.
	Until int64 `json:"until"`
	// Sequence is that of the state in which the last quarantine began. State.Apply sets
	// it.
	Sequence uint64 `json:"sequence,omitempty"`
}

const (
	// SuspectRetention is the time after the end of its last quarantine for which a
	// suspect is kept.
	SuspectRetention = 60 * 60 * clock.Second
	// maxSuspects is the number of suspects that are kept.
	maxSuspects = 256
)

// quarantine begins the first quarantine of a request, or the next one with a trial. It
// has no effect if another trial, or another process, was first.
func (s *State) quarantine(x Suspect) {
	o, known := s.Suspects[x.Fingerprint]
	if known && x.Trials != o.Trials+1 || !known && x.Trials != 0 {
		return
	}
	for f, y := range s.Suspects {
		if y.Until+int64(SuspectRetention) < x.Until {
			delete(s.Suspects, f)
		}
	}
	x.Sequence = s.Sequence
	s.Suspects[x.Fingerprint] = x
	if len(s.Suspects) > maxSuspects {
		delete(s.Suspects, s.oldestSuspect())
	}
}

// oldestSuspect returns the suspect whose last quarantine began first. Every replica
// must drop the same one.
func (s *State) oldestSuspect() uint64 {
	var oldest Suspect
	for _, x := range s.Suspects {
		if oldest.Sequence == 0 || x.Sequence < oldest.Sequence {
			oldest = x
		}
	}
	return oldest.Fingerprint
}

// clearSuspect ends the quarantine of a request unless another one has begun since the
// state at Sequence.
func (s *State) clearSuspect(x Suspect) {
	if o, ok := s.Suspects[x.Fingerprint]; ok && o.Sequence <= x.Sequence {
		delete(s.Suspects, x.Fingerprint)
	}
}
