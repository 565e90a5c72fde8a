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
	closeMargin = 300 * clock.Millis(1)
	// earlyArrival is the time after the signal in which requests may be sent whose
	// deadline lies after the end: the users excuse the end of a process that
	// interrupts a target at work on a request sent in the first 3 s, if the target
	// is still at work in the last sixth of the grace period.
	earlyArrival = 2800 * clock.Millis(1)
	// excusedPart is that last part of the grace period, as a divisor.
	excusedPart = 6
	// SendBuffer is the size of the send buffers of connections of a process that stops,
	// in bytes. It is the most that Linux grants without privileges by default, of which
	// it takes a part for its own use.
	SendBuffer = 208 << 10
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

// Request is what is known of a request before it is sent to a target.
type Request struct {
	// Arrived is when the process had read it, or its head if the body is streamed.
	// Deadline is when the caller ceases to wait.
	Arrived, Deadline clock.Millis
	Work              Work
	// Large is true if the response may be too large for the send buffer of the
	// connection: it takes as long as the caller takes to read it.
	Large bool
}

// Cause says why a request must not be sent to a target. The zero value stands for one
// that may be sent.
type Cause string

// The causes of refusals.
const (
	// LateArrival: only a deadline before the end would bound the request.
	LateArrival Cause = "lateArrival"
	// LargeResponse: the caller may read until its deadline.
	LargeResponse Cause = "largeResponse"
	// UnknownWork: the route has no recent responses.
	UnknownWork Cause = "unknownWork"
	// Undelivered: a target has responded, but its response is too large to be handed over.
	Undelivered Cause = "undelivered"
	// LongWork: the route's slowest response would not be there in time.
	LongWork Cause = "longWork"
)

// Refuses returns the cause for which a request must not be sent to a target now, empty
// if it may be sent. A request whose deadline lies before the end may always be sent. Any
// other might outlast the process, whatever earlier responses took; it is sent only if
// that would be excused, and is not expected.
func (p Plan) Refuses(now clock.Millis, r Request) Cause {
	expected, known := r.Work.Expected()
	switch {
	case r.Deadline < p.End():
		return ""
	case r.Arrived-p.Signal > earlyArrival || p.Grace < excusedPart*endMargin:
		return LateArrival
	case r.Large:
		return LargeResponse
	case !known:
		return UnknownWork
	case now > p.End()-expected:
		return LongWork
	}
	return ""
}

// BodyDeadline returns the time at which the body of a request must have arrived, so
// that the request may be sent to a target. It lies before the signal if the request may
// not be sent at all.
func (p Plan) BodyDeadline(r Request) clock.Millis {
	if r.Deadline < p.End() {
		return r.Deadline
	}
	if p.Refuses(p.Signal, r) != "" {
		return p.Signal - 1
	}
	expected, _ := r.Work.Expected()
	return min(p.End()-expected, p.Signal+earlyArrival)
}

// HandsOver reports whether a response of length bytes, -1 if unknown, is certainly
// delivered if it is passed to the caller from now on: it fits the send buffer of the
// connection, from which the kernel sends it though the process has ended, or the
// deadline of the request lies before the end.
func (p Plan) HandsOver(deadline clock.Millis, length int64) bool {
	return deadline < p.End() || length >= 0 && length <= SendBuffer*3/4
}

// Explain returns the inputs of a decision for the log.
func (p Plan) Explain(now clock.Millis, r Request) string {
	left := "the process ends in " + millis(p.End()-now) + " and the deadline in " + millis(r.Deadline-now)
	signal := ", arrived " + millis(r.Arrived-p.Signal) + " after the signal"
	if r.Work.Responses <= 0 {
		return left + ", no recent responses of the route" + signal
	}
	return left + ", the slowest of " + strconv.Itoa(r.Work.Responses) + " recent responses took " + millis(r.Work.Slowest) + signal
}

func millis(m clock.Millis) string { return strconv.FormatInt(int64(m), 10) + " ms" }
