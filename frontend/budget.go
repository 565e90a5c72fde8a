package frontend

import (
	"sync"

	"github.com/carawayrack/carawayrack/clock"
)

// retryBudget bounds retries to a share of first attempts.
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

func (f *Handler) budget(service string) *retryBudget {
	f.mu.Lock()
	defer f.mu.Unlock()
	b := f.retry[service]
	if b == nil {
		b = &retryBudget{credit: startCredit}
		f.retry[service] = b
	}
	return b
}

// first counts a first attempt, which earns a share of a retry.
func (b *retryBudget) first(percent int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.credit = min(b.credit+percent, maxCredit)
}

// some reports whether a retry is possible.
func (b *retryBudget) some() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.credit >= retryCost
}

// spend takes one retry if there is one.
func (b *retryBudget) spend() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.credit < retryCost {
		return false
	}
	b.credit -= retryCost
	return true
}

// speed is the usual wait for the first byte of a service's answers.
type speed struct {
	mu    sync.Mutex
	usual clock.Millis
	known bool
}

const speedWeight = 16

func (f *Handler) speed(service string) *speed {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.speeds[service]
	if s == nil {
		s = &speed{}
		f.speeds[service] = s
	}
	return s
}

func (s *speed) sample(d clock.Millis) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.known {
		s.usual, s.known = d, true
		return
	}
	s.usual += (d - s.usual) / speedWeight
}

// patience is the wait after which a repeatable request is tried elsewhere.
func (s *speed) patience() clock.Millis {
	s.mu.Lock()
	defer s.mu.Unlock()
	return max(s.usual*firstByteFactor, firstByteMin)
}
