package slots

import (
	"slices"

	"github.com/carawayrack/carawayrack/clock"
)

// waiter is a request in the queue.
type waiter struct {
	request   Request
	since     clock.Millis
	expiresAt clock.Millis
}

// queue holds the waiting requests by account. The account that holds the
// fewest slots is served first, so that an account with many requests does not
// delay the others.
type queue struct {
	byAccount map[string][]*waiter
	size      int
	// held is the number of slots that each account holds. Of accounts that
	// hold equally many, the one with the smaller lastGrant is served first.
	held       map[string]int
	lastGrant  map[string]uint64
	grantCount uint64
}

// maxWaitersPerAccount is the number of requests of an account that may wait.
const maxWaitersPerAccount = 1000

func newQueue() queue {
	return queue{byAccount: map[string][]*waiter{}, held: map[string]int{}, lastGrant: map[string]uint64{}}
}

// push adds a request. It reports false if too many of its account are waiting.
func (q *queue) push(w *waiter) bool {
	a := w.request.Account
	if len(q.byAccount[a]) >= maxWaitersPerAccount {
		return false
	}
	q.byAccount[a] = append(q.byAccount[a], w)
	q.size++
	return true
}

// accounts returns the accounts with waiting requests in the order to serve them.
func (q *queue) accounts() []string {
	l := make([]string, 0, len(q.byAccount))
	for a := range q.byAccount {
		l = append(l, a)
	}
	slices.SortFunc(l, func(a, b string) int {
		if d := q.held[a] - q.held[b]; d != 0 {
			return d
		}
		if q.lastGrant[a] != q.lastGrant[b] {
			if q.lastGrant[a] < q.lastGrant[b] {
				return -1
			}
			return 1
		}
		if a < b {
			return -1
		}
		return 1
	})
	return l
}

func (q *queue) remove(a string, i int) {
	l := slices.Delete(q.byAccount[a], i, i+1)
	q.size--
	q.byAccount[a] = l
	if len(l) == 0 {
		delete(q.byAccount, a)
	}
}

// addSlot counts a slot granted to an account.
func (q *queue) addSlot(a string) {
	q.held[a]++
	q.grantCount++
	q.lastGrant[a] = q.grantCount
}

// removeSlot counts a slot freed by an account. It clears lastGrant when that has
// grown too large.
func (q *queue) removeSlot(a string) {
	q.held[a]--
	if q.held[a] <= 0 {
		delete(q.held, a)
	}
	if len(q.lastGrant) > 4*maxWaitersPerAccount {
		q.lastGrant = map[string]uint64{}
	}
}

// expired removes and returns the requests whose time to wait is over.
func (q *queue) expired(now clock.Millis) []*waiter {
	var out []*waiter
	for _, a := range q.accounts() {
		l := q.byAccount[a]
		for i := len(l) - 1; i >= 0; i-- {
			if now >= l[i].expiresAt {
				out = append(out, l[i])
				q.remove(a, i)
			}
		}
	}
	return out
}
