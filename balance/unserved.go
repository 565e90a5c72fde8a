package balance

import (
	"math"

	"github.com/carawayrack/carawayrack/clock"
)

// unservedHalfLife is the time after which a request counts half in unservedShare:
// the floor of targets in use is measured over 2 s.
const unservedHalfLife = 2 * clock.Second

// unservedShare is the share of the recent requests of a service at this host that
// were not served.
type unservedShare struct {
	unserved, all float64
	at            clock.Millis
}

func (s *unservedShare) add(now clock.Millis, served bool) {
	if d := now - s.at; d > 0 {
		f := math.Exp2(-float64(d) / float64(unservedHalfLife))
		s.unserved, s.all, s.at = s.unserved*f, s.all*f, now
	}
	s.all++
	if !served {
		s.unserved++
	}
}

// share returns the share, 0 if the last request is long ago.
func (s *unservedShare) share(now clock.Millis) float64 {
	if s.all == 0 || now-s.at > 2*unservedHalfLife {
		return 0
	}
	return s.unserved / s.all
}

// CountOutcome counts a request of the service that was served or not, whether or not
// it reached a target.
func (p *Pool) CountOutcome(now clock.Millis, served bool) { p.unserved.add(now, served) }
