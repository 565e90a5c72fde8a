package balance

import "github.com/carawayrack/carawayrack/clock"

// Queue orders the requests that wait for room at one service: the more
// urgent first, then the one that came first.
type Queue struct {
	waiters []*Waiter
	// lastEmptyAt is when the queue was empty last.
	lastEmptyAt clock.Millis
}

// standingAfter is the time for which a queue is not empty from which it
// counts as standing.
const standingAfter = 400 * clock.Millis(1)

// Standing reports whether the queue has not been empty for a while: then
// more comes than goes, and waiting makes all answers late without serving
// more.
func (q *Queue) Standing(now clock.Millis) bool {
	if len(q.waiters) == 0 {
		q.lastEmptyAt = now
	}
	return now-q.lastEmptyAt > standingAfter
}

// Waiter is a request that waits.
type Waiter struct {
	// Priority is the rank; 0 is the most urgent.
	Priority int
	// Since is when the request came.
	Since clock.Millis
	// Ready receives a value when it is worth looking again.
	Ready chan struct{}
}

// Add puts a request in its place.
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

// Remove takes a request out.
func (q *Queue) Remove(w *Waiter) {
	for i, x := range q.waiters {
		if x == w {
			q.waiters = append(q.waiters[:i], q.waiters[i+1:]...)
			return
		}
	}
}

// IsNext reports whether a request comes before all that wait.
func (q *Queue) IsNext(w *Waiter) bool {
	return len(q.waiters) == 0 || q.waiters[0] == w || w.before(q.waiters[0])
}

// Wake tells the first request to look again.
func (q *Queue) Wake() {
	if len(q.waiters) == 0 {
		return
	}
	select {
	case q.waiters[0].Ready <- struct{}{}:
	default:
	}
}

// Len returns the number of requests that wait.
func (q *Queue) Len() int { return len(q.waiters) }
