// Package admission orders the requests that wait at one host for a target of a service,
// and tells refused ones when to return.
package admission

import "github.com/carawayrack/carawayrack/clock"

// Queue orders the requests that wait for a target of one service: by priority,
// then by arrival. It is not safe for concurrent use.
type Queue struct {
	waiters []*Waiter
	// lastEmptyAt is when Standing last found the queue empty.
	lastEmptyAt clock.Millis
}

// standingAfter is the time without being empty after which a queue counts as
// standing.
const standingAfter = 400 * clock.Millis(1)

// Standing reports whether the queue has not been empty for standingAfter: then
// more requests arrive than leave, and waiting delays all responses without
// serving more requests. Only this method records that the queue is empty, so it
// must be called before a request is added.
func (q *Queue) Standing(now clock.Millis) bool {
	if len(q.waiters) == 0 {
		q.lastEmptyAt = now
	}
	return now-q.lastEmptyAt > standingAfter
}

// Stands reports what Standing does if no request is added, and records nothing.
func (q *Queue) Stands(now clock.Millis) bool {
	return len(q.waiters) > 0 && now-q.lastEmptyAt > standingAfter
}

// Waiter is a request in a queue.
type Waiter struct {
	// Priority is 0 for the most urgent requests.
	Priority int
	// Since is when the request arrived.
	Since clock.Millis
	// Ready receives a value when the request should try again to get a target.
	Ready chan struct{}
}

// Add inserts a request by its priority and arrival.
func (q *Queue) Add(w *Waiter) {
	w.Ready = make(chan struct{}, 1)
	i := len(q.waiters)
	for i > 0 && w.before(q.waiters[i-1]) {
		i--
	}
	q.waiters = append(q.waiters, nil)
	copy(q.waiters[i+1:], q.waiters[i:])
	q.waiters[i] = w
}

func (w *Waiter) before(x *Waiter) bool {
	if w.Priority != x.Priority {
		return w.Priority < x.Priority
	}
	return w.Since < x.Since
}

// Remove removes a request from the queue.
func (q *Queue) Remove(w *Waiter) {
	for i, x := range q.waiters {
		if x == w {
			q.waiters = append(q.waiters[:i], q.waiters[i+1:]...)
			return
		}
	}
}

// IsNext reports whether a request, queued or not, precedes all others in the
// queue.
func (q *Queue) IsNext(w *Waiter) bool {
	return len(q.waiters) == 0 || q.waiters[0] == w || w.before(q.waiters[0])
}

// Ahead returns the number of requests in the queue that precede another one.
func (q *Queue) Ahead(w *Waiter) int {
	n := 0
	for _, x := range q.waiters {
		if x != w && !w.before(x) {
			n++
		}
	}
	return n
}

// Wake notifies the first request through its Ready channel. It does not block.
func (q *Queue) Wake() {
	if len(q.waiters) == 0 {
		return
	}
	select {
	case q.waiters[0].Ready <- struct{}{}:
	default:
	}
}

// Len returns the number of requests in the queue.
func (q *Queue) Len() int { return len(q.waiters) }
