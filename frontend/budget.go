package frontend

import (
	"sync"

	"github.com/carawayrack/carawayrack/clock"
)

// retryBudget limits the retries of a service to a percentage of its first
// attempts.
type retryBudget struct {
	mu sync.Mutex
	// credit is in hundredths of a retry.
	credit int
}

const (
	retryCost   = 100
	maxCredit   = 20 * retryCost
	startCredit = 10 * retryCost
)

// budget returns the retry budget of a service.
func (f *Handler) budget(service string) *retryBudget {
	f.mu.Lock()
	defer f.mu.Unlock()
	b := f.retryBudgets[service]
	if b == nil {
		b = &retryBudget{credit: startCredit}
		f.retryBudgets[service] = b
	}
	return b
}

// recordFirstAttempt adds percent hundredths of a retry for a first attempt.
func (b *retryBudget) recordFirstAttempt(percent int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.credit = min(b.credit+percent, maxCredit)
}

// available reports whether the budget allows a retry.
func (b *retryBudget) available() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.credit >= retryCost
}

// spend takes one retry from the budget. It reports whether there was one.
func (b *retryBudget) spend() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.credit < retryCost {
		return false
	}
	b.credit -= retryCost
	return true
}

// firstByteEstimate is the moving average of the time to the first byte of a
// service's responses.
type firstByteEstimate struct {
	mu        sync.Mutex
	average   clock.Millis
	hasSample bool
}

// averageWeight is the divisor for new samples: each one counts for 1/16 of the
// average.
const averageWeight = 16

// estimate returns the first-byte estimate of a service.
func (f *Handler) estimate(service string) *firstByteEstimate {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.estimates[service]
	if s == nil {
		s = &firstByteEstimate{}
		f.estimates[service] = s
	}
	return s
}

// sample adds a measured time to the average.
func (s *firstByteEstimate) sample(d clock.Millis) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.hasSample {
		s.average, s.hasSample = d, true
		return
	}
	s.average += (d - s.average) / averageWeight
}

// timeout is the time without a first byte after which an idempotent request is
// sent to another target. It is at least minFirstByteTimeout.
func (s *firstByteEstimate) timeout() clock.Millis {
	s.mu.Lock()
	defer s.mu.Unlock()
	return max(s.average*firstByteTimeoutFactor, minFirstByteTimeout)
}
