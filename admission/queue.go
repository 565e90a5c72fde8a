// Package admission orders the requests that wait at one host for a target of a service,
// and tells refused ones when to return.
package admission

import "github.com/carawayrack/carawayrack/clock"

// Queue orders the requests that wait for a target of one service: by priority,
// then by arrival. Less urgent priorities keep a part of the admissions. It is not safe
// for concurrent use.
type Queue struct {
	// Guarantee is the number of admissions of which one goes to each less urgent
	// priority that has waiting requests; 0 means none.
	Guarantee int

	waiters []*Waiter
	// passed counts, by priority, the admissions of more urgent requests while requests
	// of that priority waited, since the last admission of one of them.
	passed map[int]int
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

// first returns the request that is next, nil if none waits, and whether it is next
// because of the guarantee to its priority.
func (q *Queue) first() (w *Waiter, guaranteed bool) {
	if len(q.waiters) == 0 {
		return nil, false
	}
	for _, w := range q.waiters {
		if q.Guarantee > 0 && q.passed[w.Priority] >= q.Guarantee-1 {
			return w, true
		}
	}
	return q.waiters[0], false
}

// IsNext reports whether a request, queued or not, precedes all others in the
// queue.
func (q *Queue) IsNext(w *Waiter) bool {
	f, guaranteed := q.first()
	return f == nil || f == w || !guaranteed && w.before(f)
}

// Admitted records that a request got a target, whether or not it waited. It must be
// called before Remove.
func (q *Queue) Admitted(w *Waiter) {
	if q.passed == nil {
		q.passed = map[int]int{}
	}
	q.passed[w.Priority] = 0
	for i, x := range q.waiters {
		if x.Priority > w.Priority && (i == 0 || x.Priority != q.waiters[i-1].Priority) {
			q.passed[x.Priority]++
		}
	}
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
	f, _ := q.first()
	if f == nil {
		return
	}
	select {
	case f.Ready <- struct{}{}:
	default:
	}
}

// Len returns the number of requests in the queue.
func (q *Queue) Len() int { return len(q.waiters) }
