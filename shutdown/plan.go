// Package shutdown decides which requests a process may still send to targets
// after it has got the signal to stop.
package shutdown

import (
	"strconv"

	"github.com/carawayrack/carawayrack/clock"
)

const (
	// endMargin is the part of the grace period after the last response that is
	// expected. It covers delays of the scheduler: a host may have a sixth of a
	// core.
	endMargin = 200 * clock.Millis(1)
	// exitMargin is the part of the grace period that is left for the end of the
	// process itself.
	exitMargin = 150 * clock.Millis(1)
	// closeMargin is the part of the grace period in which the listener is closed.
	// It is as short as the closing of idle connections allows, so that callers get
	// a refusal instead of a failed connection for as long as they use the address.
	closeMargin = 500 * clock.Millis(1)
	// fewResponses is the number of recent responses from which on the slowest one
	// is exceeded by a twentieth only. Of n responses, the next one is the slowest
	// with a probability of 1/(n+1).
	fewResponses = 20
)

// Plan is the schedule of a planned stop.
type Plan struct {
	// Signal is when the process got the signal to stop, Grace the time from then
	// until it is killed.
	Signal, Grace clock.Millis
}

// End returns the time at which the last response is expected.
func (p Plan) End() clock.Millis { return p.Signal + p.Grace - endMargin }

// AcceptFor returns the time after the signal in which connections are accepted.
func (p Plan) AcceptFor() clock.Millis { return max(p.Grace-closeMargin, 0) }

// ExitAfter returns the time after the signal at which the process ends even if
// there are requests in flight.
func (p Plan) ExitAfter() clock.Millis { return max(p.Grace-exitMargin, 0) }

// Work is what is known of the processing time of a route at its targets: the
// slowest of a number of recent responses.
type Work struct {
	Slowest   clock.Millis
	Responses int
}

// Expected returns the time that a request on the route may take. It exceeds the
// slowest response by its n-th part, n being the number of responses but at most
// fewResponses. It returns false if there are no responses.
func (w Work) Expected() (clock.Millis, bool) {
	if w.Responses <= 0 {
		return 0, false
	}
	n := clock.Millis(min(w.Responses, fewResponses))
	return w.Slowest + (w.Slowest+n-1)/n, true
}

// EndsBefore reports whether the process may end before a request is answered that
// is sent to a target now. Such a request must not be sent. A request whose
// deadline ends before the process does may always be sent; on a route without
// responses it is assumed to last until its deadline.
func (p Plan) EndsBefore(now, deadline clock.Millis, w Work) bool {
	return now > p.LatestStart(deadline, w)
}

// LatestStart returns the latest time at which a request may be sent to a target.
// It lies before the signal if the request may not be sent at all.
func (p Plan) LatestStart(deadline clock.Millis, w Work) clock.Millis {
	if deadline < p.End() {
		return deadline
	}
	expected, known := w.Expected()
	if !known {
		return p.Signal - 1
	}
	return p.End() - expected
}

// Explain returns the inputs of a decision for the log.
func (p Plan) Explain(now, deadline clock.Millis, w Work) string {
	left := "the process ends in " + millis(p.End()-now) + " and the deadline in " + millis(deadline-now)
	signal := ", signal " + millis(now-p.Signal) + " ago"
	if w.Responses <= 0 {
		return left + ", no recent responses of the route" + signal
	}
	return left + ", the slowest of " + strconv.Itoa(w.Responses) + " recent responses took " + millis(w.Slowest) + signal
}

func millis(m clock.Millis) string { return strconv.FormatInt(int64(m), 10) + " ms" }
