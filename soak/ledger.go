package soak

import (
	"fmt"
	"sort"
	"sync"
	"time"

	"github.com/carawayrack/carawayrack/clock"
)

// Violation is a promise that was not kept.
type Violation struct {
	Promise, Detail string
	At            clock.Millis
}

// The bounds of the promises, as the fleet's settings give them.
const (
	revokeWithin = 5 * clock.Second
	drainWithin  = 2 * clock.Second
	configWithin = 2 * clock.Second
	// calmFor is the time without a fault of a process from which bounds hold
	// that need it to reach the others.
	calmFor     = 3 * clock.Second
	quotaWindow = 5 * clock.Second
	// quotaOver and quotaSlack are what may run beyond the quota.
	quotaOver, quotaSlack = 0.1, 20
)

// run is a request at work at a target.
type run struct {
	at     clock.Millis
	target string
	holder string
}

// sent is a request of a caller.
type sent struct {
	at     clock.Millis
	unsafe bool
	key    string
	status int
}

// Ledger holds what callers, targets and operators saw.
type Ledger struct {
	now func() clock.Millis

	mu      sync.Mutex
	sent    map[string]*sent
	runs    map[string][]run
	arrived map[string][]clock.Millis
	left    map[string]clock.Millis
	// withdrawn are the keys that newer configurations lack, revoked the
	// times at which that was acknowledged.
	withdrawn map[string]bool
	revoked   map[string]clock.Millis
	// faults are the times at which a process was disturbed.
	faults []clock.Millis
	broken []Violation
}

func newLedger() *Ledger {
	start := time.Now()
	return &Ledger{
		now:  func() clock.Millis { return clock.FromDuration(time.Since(start)) },
		sent: map[string]*sent{}, runs: map[string][]run{}, arrived: map[string][]clock.Millis{},
		left: map[string]clock.Millis{}, revoked: map[string]clock.Millis{}, withdrawn: map[string]bool{},
	}
}

func (l *Ledger) violate(promise, form string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.broken = append(l.broken, Violation{promise, fmt.Sprintf(form, args...), l.now()})
}

func (l *Ledger) send(id string, unsafe bool, key string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sent[id] = &sent{at: l.now(), unsafe: unsafe, key: key}
}

func (l *Ledger) answered(id string, status int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sent[id].status = status
}

func (l *Ledger) ran(id, target, holder string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs[id] = append(l.runs[id], run{l.now(), target, holder})
}

// arrive notes a request at a target, run or not.
func (l *Ledger) arrive(target string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.arrived[target] = append(l.arrived[target], l.now())
}

// leave notes that a target's departure was confirmed.
func (l *Ledger) leave(target string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, ok := l.left[target]; !ok {
		l.left[target] = l.now()
	}
}

// withdraw notes that newer configurations lack a key.
func (l *Ledger) withdraw(key string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.withdrawn[key] = true
}

// inForce reports whether newer configurations hold a key.
func (l *Ledger) inForce(key string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return !l.withdrawn[key]
}

// revoke notes that the withdrawal of a key was acknowledged.
func (l *Ledger) revoke(key string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.revoked[key] = l.now()
}

func (l *Ledger) fault() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults = append(l.faults, l.now())
}

// calm reports whether no process was disturbed from calmFor before a time to
// another; the caller holds mu.
func (l *Ledger) calm(from, to clock.Millis) bool {
	for _, at := range l.faults {
		if at >= from-calmFor && at <= to {
			return false
		}
	}
	return true
}

// check returns all violations.
func (l *Ledger) check() []Violation {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.broken
	for id, s := range l.sent {
		r = append(r, l.checkRequest(id, s)...)
	}
	for t, at := range l.left {
		for _, x := range l.arrived[t] {
			if x > at+drainWithin && l.calm(at, x) {
				r = append(r, Violation{"drain", fmt.Sprintf("a request reached %s %d ms after it left", t, x-at), x})
			}
		}
	}
	for id, x := range l.runs {
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
	x := l.runs[id]
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
		if y.holder != holderOf(s.key) {
			r = append(r, Violation{"account", fmt.Sprintf("request %s ran for %q", id, y.holder), y.at})
		}
	}
	return r
}

// checkQuota finds windows in which more was sent and ran for the limited
// account than its quota.
func (l *Ledger) checkQuota() []Violation {
	var at []clock.Millis
	for id, s := range l.sent {
		if holderOf(s.key) != limited {
			continue
		}
		for _, x := range l.runs[id] {
			if x.at-s.at < quotaWindow {
				at = append(at, x.at)
			}
		}
	}
	sort.Slice(at, func(i, j int) bool { return at[i] < at[j] })
	most := (limitedRate*float64(quotaWindow)/1000+limitedBurst)*(1+quotaOver) + quotaSlack
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
