// Package hedge decides whether a slow request that may be repeated is sent to a second
// target, within a limit of extra attempts that operators set for a service.
package hedge

import "github.com/carawayrack/carawayrack/clock"

const (
	// minCredit is the number of hedges that each host may save up, so that one with a
	// request a second can hedge at all. creditWindows is the number of windows whose
	// hedges it may save up. Slow requests come in spells: with minCredit alone, the
	// fleets of the specs used less than half of a limit of 5 %.
	minCredit     = 1
	creditWindows = 3
	// retryReserve is the share of the retries that requests earn which hedges leave
	// to retries, besides the whole slack of the retry budget. With more than 0.37, a
	// host of one request a second could not hedge: it earns 1.6 retries in a window.
	retryReserve = 0.25
	// maxSlowShare is the share of slow requests above which hedges do not help, since
	// the second target is probably as slow as the first.
	maxSlowShare = 0.5
)

// Reason says why a slow request was hedged or not.
type Reason string

// The reasons, as logs and metrics show them.
const (
	Started Reason = "started"
	// FewResponses: too few responses of the route are known.
	FewResponses Reason = "fewResponses"
	// AttemptsUsed: the route or the size of the request allows no other attempt.
	AttemptsUsed Reason = "attemptsUsed"
	// OutOfTime: a hedge would probably end after the deadline.
	OutOfTime Reason = "outOfTime"
	// Paused: no target accepts requests.
	Paused Reason = "targetsPaused"
	// Waiting: other requests wait for a target.
	Waiting Reason = "requestsWait"
	// AllSlow: most requests are slow.
	AllSlow Reason = "allSlow"
	// OverLimit: the host has used its share of the limit.
	OverLimit Reason = "overLimit"
	// RetriesFirst: what is left of the retry budget is left to retries.
	RetriesFirst Reason = "retriesFirst"
	// NoFreeSlot: no other target has a free slot.
	NoFreeSlot Reason = "noFreeSlot"
)

// Request is a request whose attempt has exceeded the hedge delay.
type Request struct {
	// Again is true if the request was refused a hedge before.
	Again bool
	// Attempts is true if one more attempt is allowed.
	Attempts bool
	// Remaining is the time until the deadline.
	Remaining clock.Millis
	Times     Times
	// Closed is true if no target accepts requests, Queued if requests wait for one.
	Closed, Queued bool
}

// Decision is a reason with the state of the budget behind it.
type Decision struct {
	Reason Reason
	// Credit is the number of hedges that the limit allowed.
	Credit float64
	Counts Counts
}

// Budget holds what one host may spend on hedges of one service. The limit holds for
// all hosts together because each spends only a share of its own requests: in a Window
// the share rounded up, so that the fleet exceeds it by less than one hedge for each
// host. It is not
// safe for concurrent use.
type Budget struct {
	// Limit is the number of hedges that each request of the service allows.
	Limit float64
	// RetryRatio and RetrySlack are the host's part of the fleet's budget for all
	// extra attempts: the number for each request, and that beyond it in a Window.
	RetryRatio, RetrySlack float64

	credit float64
	window window
}

// CountRequest counts a request that got its first attempt.
func (b *Budget) CountRequest(now clock.Millis) {
	b.window.current(now).Requests++
	b.credit = min(b.credit+b.Limit, b.maxCredit(now))
}

// maxCredit returns the number of hedges that the host may save up.
func (b *Budget) maxCredit(now clock.Millis) float64 {
	return max(creditWindows*b.Limit*float64(b.window.counts(now).Requests), minCredit)
}

// Counts returns the events of the last Window.
func (b *Budget) Counts(now clock.Millis) Counts { return b.window.counts(now) }

// Decide decides whether a slow request is hedged. If so, the hedge is taken from the
// budget; Cancel returns it if it finds no target.
func (b *Budget) Decide(now clock.Millis, r Request) Decision {
	if !r.Again {
		b.window.current(now).Slow++
	}
	d := Decision{Credit: b.credit, Counts: b.window.counts(now)}
	d.Reason = b.reason(r, d.Counts)
	if d.Reason == Started {
		b.credit--
		b.window.current(now).Hedges++
	}
	return d
}

func (b *Budget) reason(r Request, c Counts) Reason {
	switch {
	case !r.Attempts:
		return AttemptsUsed
	case !r.Times.Known():
		return FewResponses
	case r.Remaining <= r.Times.Median:
		return OutOfTime
	case r.Closed:
		return Paused
	case r.Queued:
		return Waiting
	case float64(c.Slow) > maxSlowShare*float64(c.Requests):
		return AllSlow
	case b.credit < 1, float64(c.Hedges) >= b.Limit*float64(c.Requests):
		return OverLimit
	case float64(c.Hedges+c.Retries+1) > (1-retryReserve)*b.RetryRatio*float64(c.Requests):
		return RetriesFirst
	}
	return Started
}

// Cancel returns a hedge that was not sent since no target had a free slot.
func (b *Budget) Cancel(now clock.Millis) {
	b.credit++
	if s := b.window.current(now); s.Hedges > 0 {
		// Otherwise the hedge goes on counting, which is on the safe side.
		s.Hedges--
	}
}

// AllowsRetry reports whether a retry keeps the host within its part of the budget
// for all extra attempts.
func (b *Budget) AllowsRetry(now clock.Millis) bool {
	c := b.window.counts(now)
	if c.Hedges == 0 {
		// The retry budget alone bounds retries.
		return true
	}
	return float64(c.Hedges+c.Retries+1) <= b.RetryRatio*float64(c.Requests)+b.RetrySlack
}

// CountRetry counts a retry.
func (b *Budget) CountRetry(now clock.Millis) { b.window.current(now).Retries++ }

// CancelRetry uncounts a retry that was not sent.
func (b *Budget) CancelRetry(now clock.Millis) {
	if s := b.window.current(now); s.Retries > 0 {
		s.Retries--
	}
}
