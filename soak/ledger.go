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
	// A pause binds pauseAfter after the target has asked for it; pauseArrivals
	// requests may reach the target until its end.
	pauseAfter    = 500 * clock.Millis(1)
	pauseArrivals = 2
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
	host   string
	unsafe bool
	key    string
	status int
}

// arrival is a request that reached a target.
type arrival struct {
	at clock.Millis
	id string
}

// link is the connection between a host and a target.
type link struct{ host, target string }

// pause is a time in which a target wants no requests of a host.
type pause struct {
	link
	from, until clock.Millis
}

// Ledger records what callers, targets and operators observed, and checks it
// against the promises.
type Ledger struct {
	now func() clock.Millis

	mu sync.Mutex
	// sent and executions are by request ID, arrived and left by target ID.
	sent       map[string]*sent
	executions map[string][]execution
	arrived    map[string][]arrival
	left       map[string]clock.Millis
	// told holds when a caller first got a response by way of a host in which the
	// target said that it leaves.
	told   map[link]clock.Millis
	pauses []pause
	// disturbed holds, by the address of a host or the ID of a target, when a fault
	// of it began or ended.
	disturbed map[string][]clock.Millis
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
		sent: map[string]*sent{}, executions: map[string][]execution{}, arrived: map[string][]arrival{},
		told: map[link]clock.Millis{}, disturbed: map[string][]clock.Millis{},
		left: map[string]clock.Millis{}, revoked: map[string]clock.Millis{}, withdrawn: map[string]bool{},
	}
}

func (l *Ledger) violate(promise, form string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.violations = append(l.violations, Violation{promise, fmt.Sprintf(form, args...), l.now()})
}

func (l *Ledger) send(id, host string, unsafe bool, key string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sent[id] = &sent{at: l.now(), host: host, unsafe: unsafe, key: key}
}

// tellLeaving records that a caller got the response to a request in which a target
// says that it leaves.
func (l *Ledger) tellLeaving(id, target string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	k := link{l.sent[id].host, target}
	if _, ok := l.told[k]; !ok {
		l.told[k] = l.now()
	}
}

// askForPause records that a target has turned a request away and wants none of its
// host for some time.
func (l *Ledger) askForPause(id, target string, d clock.Millis) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if x := l.sent[id]; x != nil {
		l.pauses = append(l.pauses, pause{link{x.host, target}, l.now(), l.now() + d})
	}
}

// disturb records that a fault of a host or a target begins or ends.
func (l *Ledger) disturb(name string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.disturbed[name] = append(l.disturbed[name], l.now())
}

// calm reports whether no fault of a host or target began or ended in a time; the
// caller holds mu.
func (l *Ledger) calm(name string, from, to clock.Millis) bool {
	for _, at := range l.disturbed[name] {
		if at >= from && at <= to {
			return false
		}
	}
	return true
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
func (l *Ledger) arrive(target, id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.arrived[target] = append(l.arrived[target], arrival{l.now(), id})
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
			if x.at > at+drainWithin && l.undisturbed(at, x.at) {
				r = append(r, Violation{"drain", fmt.Sprintf("a request reached %s %d ms after it left", t, x.at-at), x.at})
			}
		}
	}
	for id, x := range l.executions {
		if l.sent[id] == nil {
			r = append(r, Violation{"unasked", "request " + id + " was never sent", x[0].at})
		}
	}
	r = append(r, l.checkNotices()...)
	r = append(r, l.checkQuota()...)
	sort.Slice(r, func(i, j int) bool { return r[i].At < r[j].At })
	return r
}

// checkNotices returns the requests that reached a target although their host had
// passed on its word that it leaves, and the pauses in which too many did.
func (l *Ledger) checkNotices() []Violation {
	var r []Violation
	for t, a := range l.arrived {
		for _, x := range a {
			s := l.sent[x.id]
			if s == nil {
				continue
			}
			at, ok := l.told[link{s.host, t}]
			if ok && s.at > at+drainWithin && l.calm(s.host, at, x.at) {
				r = append(r, Violation{"leaving", fmt.Sprintf("request %s reached %s %d ms after %s had passed on that it leaves", x.id, t, x.at-at, s.host), x.at})
			}
		}
	}
	for _, p := range l.pauses {
		n := 0
		for _, x := range l.arrived[p.target] {
			if s := l.sent[x.id]; s != nil && s.host == p.host && x.at > p.from+pauseAfter && x.at < p.until {
				n++
			}
		}
		// The response may not have reached the host.
		if n > pauseArrivals && l.calm(p.host, p.from-pauseAfter, p.until) && l.calm(p.target, p.from-pauseAfter, p.until) {
			r = append(r, Violation{"pause", fmt.Sprintf("%d requests of %s reached %s, which wanted none for %d ms", n, p.host, p.target, p.until-p.from), p.until})
		}
	}
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
