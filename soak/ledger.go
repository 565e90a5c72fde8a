package soak

import (
	"fmt"
	"sort"
	"sync"
	"time"

	"github.com/carawayrack/carawayrack/clock"
)

// Violation describes one broken promise. At is the time of the violation since
// the start of the run.
type Violation struct {
	Promise, Detail string
	At              clock.Millis
}

// Bounds of the promises. revokeWithin is the bound revocationMs of the fleet's
// settings.
const (
	revokeWithin = 5 * clock.Second
	drainWithin  = 2 * clock.Second
	configWithin = 2 * clock.Second
	// drainWithin does not apply to a request if a fault of a process began or
	// ended in the time that starts undisturbedFor before the target left and
	// ends when the request arrives: the process may not have been able to reach
	// the others.
	undisturbedFor = 3 * clock.Second
	quotaWindow    = 5 * clock.Second
	// quotaTolerance (a share of the quota) and quotaSlack (in requests) are
	// allowed beyond the quota.
	quotaTolerance, quotaSlack = 0.1, 20
)

// execution is one execution of a request by a target.
type execution struct {
	at      clock.Millis
	target  string
	account string
}

// sent is a request that a caller sent. status is 0 until the caller has read a
// response completely.
type sent struct {
	at     clock.Millis
	unsafe bool
	key    string
	status int
}

// Ledger records what callers, targets and operators observed, and checks it
// against the promises.
type Ledger struct {
	now func() clock.Millis

	mu sync.Mutex
	// sent and executions are by request ID, arrived and left by target ID.
	sent       map[string]*sent
	executions map[string][]execution
	arrived    map[string][]clock.Millis
	left       map[string]clock.Millis
	// withdrawn holds the keys that newer configurations leave out, revoked the
	// times at which a control process acknowledged a configuration without
	// the key.
	withdrawn map[string]bool
	revoked   map[string]clock.Millis
	// faults holds the times at which a fault of a process began or ended.
	faults     []clock.Millis
	violations []Violation
}

func newLedger() *Ledger {
	start := time.Now()
	return &Ledger{
		now:  func() clock.Millis { return clock.FromDuration(time.Since(start)) },
		sent: map[string]*sent{}, executions: map[string][]execution{}, arrived: map[string][]clock.Millis{},
		left: map[string]clock.Millis{}, revoked: map[string]clock.Millis{}, withdrawn: map[string]bool{},
	}
}

func (l *Ledger) violate(promise, form string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.violations = append(l.violations, Violation{promise, fmt.Sprintf(form, args...), l.now()})
}

func (l *Ledger) send(id string, unsafe bool, key string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sent[id] = &sent{at: l.now(), unsafe: unsafe, key: key}
}

// setStatus records the status of a response that a caller read completely.
func (l *Ledger) setStatus(id string, status int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sent[id].status = status
}

func (l *Ledger) execute(id, target, account string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.executions[id] = append(l.executions[id], execution{l.now(), target, account})
}

// arrive records a request that reached the target it was meant for, executed or
// not.
func (l *Ledger) arrive(target string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.arrived[target] = append(l.arrived[target], l.now())
}

// leave records that a control process acknowledged a target's departure.
func (l *Ledger) leave(target string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, ok := l.left[target]; !ok {
		l.left[target] = l.now()
	}
}

// withdraw records that newer configurations leave a key out.
func (l *Ledger) withdraw(key string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.withdrawn[key] = true
}

// inForce reports whether the newest configuration contains a key.
func (l *Ledger) inForce(key string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return !l.withdrawn[key]
}

// revoke records that the withdrawal of a key was acknowledged.
func (l *Ledger) revoke(key string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.revoked[key] = l.now()
}

func (l *Ledger) addFault() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults = append(l.faults, l.now())
}

// undisturbed reports whether no fault of a process began or ended in the time
// that starts undisturbedFor before from and ends at to. The caller holds mu.
func (l *Ledger) undisturbed(from, to clock.Millis) bool {
	for _, at := range l.faults {
		if at >= from-undisturbedFor && at <= to {
			return false
		}
	}
	return true
}

// check returns all violations, by time.
func (l *Ledger) check() []Violation {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.violations
	for id, s := range l.sent {
		r = append(r, l.checkRequest(id, s)...)
	}
	for t, at := range l.left {
		for _, x := range l.arrived[t] {
			if x > at+drainWithin && l.undisturbed(at, x) {
				r = append(r, Violation{"drain", fmt.Sprintf("a request reached %s %d ms after it left", t, x-at), x})
			}
		}
	}
	for id, x := range l.executions {
		if l.sent[id] == nil {
			r = append(r, Violation{"unasked", "request " + id + " was never sent", x[0].at})
		}
	}
	r = append(r, l.checkQuota()...)
	sort.Slice(r, func(i, j int) bool { return r[i].At < r[j].At })
	return r
}

func (l *Ledger) checkRequest(id string, s *sent) []Violation {
	var r []Violation
	x := l.executions[id]
	if s.unsafe && len(x) > 1 {
		r = append(r, Violation{"once", fmt.Sprintf("request %s ran at %s and %s", id, x[0].target, x[1].target), x[1].at})
	}
	if s.unsafe && len(x) > 0 && (s.status == 429 || s.status == 503 || s.status == 408 || s.status == 421) {
		r = append(r, Violation{"refusal", fmt.Sprintf("request %s had status %d and ran at %s", id, s.status, x[0].target), x[0].at})
	}
	for _, y := range x {
		if at, ok := l.revoked[s.key]; ok && s.at > at+revokeWithin {
			r = append(r, Violation{"key", fmt.Sprintf("request %s ran with a key withdrawn %d ms before", id, s.at-at), y.at})
		}
		if y.account != accountOf(s.key) {
			r = append(r, Violation{"account", fmt.Sprintf("request %s ran for account %q", id, y.account), y.at})
		}
	}
	return r
}

// checkQuota returns a violation for the first window of quotaWindow in which
// targets executed more requests of the limited account than its quota allows.
// Executions quotaWindow or more after the request was sent don't count.
func (l *Ledger) checkQuota() []Violation {
	var at []clock.Millis
	for id, s := range l.sent {
		if accountOf(s.key) != limited {
			continue
		}
		for _, x := range l.executions[id] {
			if x.at-s.at < quotaWindow {
				at = append(at, x.at)
			}
		}
	}
	sort.Slice(at, func(i, j int) bool { return at[i] < at[j] })
	most := (limitedRate*float64(quotaWindow)/1000+limitedBurst)*(1+quotaTolerance) + quotaSlack
	for i, j := 0, 0; j < len(at); j++ {
		for at[j]-at[i] >= quotaWindow {
			i++
		}
		if float64(j-i+1) > most {
			return []Violation{{"quota", fmt.Sprintf("%d requests ran in %d ms", j-i+1, quotaWindow), at[j]}}
		}
	}
	return nil
}
