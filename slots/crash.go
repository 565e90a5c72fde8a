package slots

import (
	"fmt"

	"github.com/carawayrack/carawayrack/clock"
	"github.com/carawayrack/carawayrack/journal"
)

const (
	// quarantineTargets is the number of different incarnations of targets whose
	// connections must break during a request before it is quarantined.
	quarantineTargets = 2
	// crashRetention is how long a broken connection counts against a request.
	crashRetention = 60 * clock.Second
	quarantineTime = 60 * clock.Second
)

// crash records the incarnations of targets whose connections broke during a request.
type crash struct {
	incarnations map[string]bool
	expiresAt    clock.Millis
	// quarantinedUntil is 0 if the request is not quarantined.
	quarantinedUntil clock.Millis
}

// crashes holds the requests during which connections broke, by fingerprint, for
// crashRetention after the last time.
type crashes struct {
	byFingerprint map[string]*crash
}

// quarantineLeft returns the time left of a request's quarantine, 0 if there is
// none.
func (c *crashes) quarantineLeft(now clock.Millis, fingerprint string) clock.Millis {
	x := c.byFingerprint[fingerprint]
	if x == nil || fingerprint == "" {
		return 0
	}
	return max(x.quarantinedUntil-now, 0)
}

// recordSuccess removes the record of a request that succeeded, unless it is
// quarantined.
func (c *crashes) recordSuccess(fingerprint string) {
	if x := c.byFingerprint[fingerprint]; x != nil && x.quarantinedUntil == 0 {
		delete(c.byFingerprint, fingerprint)
	}
}

// expire removes old records and reports quarantines that have ended.
func (c *crashes) expire(now clock.Millis, recordEvent func(journal.Event)) {
	for f, x := range c.byFingerprint {
		if now < max(x.expiresAt, x.quarantinedUntil) {
			continue
		}
		if x.quarantinedUntil > 0 {
			recordEvent(journal.Event{Kind: journal.QuarantineEnded, Subject: f, Cause: "quarantine time is over"})
		}
		delete(c.byFingerprint, f)
	}
}

// recordCrash records a broken connection against the request. It quarantines the
// request once the connections of enough targets broke.
func (p *Pool) recordCrash(now clock.Millis, t *target, r Release) {
	if r.Fingerprint == "" {
		return
	}
	t.stats.diedAt[r.Fingerprint] = now
	x := p.crashes.byFingerprint[r.Fingerprint]
	if x == nil {
		x = &crash{incarnations: map[string]bool{}}
		p.crashes.byFingerprint[r.Fingerprint] = x
	}
	x.incarnations[t.ann.Target+"/"+t.ann.Incarnation] = true
	x.expiresAt = now + crashRetention
	if len(x.incarnations) >= quarantineTargets && x.quarantinedUntil == 0 {
		x.quarantinedUntil = now + quarantineTime
		p.recordEvent(journal.Quarantined, r.Fingerprint, "connections to targets broke during this request", fmt.Sprint(len(x.incarnations)))
		p.refuseQuarantined(now, r.Fingerprint)
	}
}

// refuseQuarantined refuses queued requests with the fingerprint of a quarantined
// one.
func (p *Pool) refuseQuarantined(now clock.Millis, fingerprint string) {
	left := p.crashes.quarantineLeft(now, fingerprint)
	for a, l := range p.queue.byAccount {
		for i := len(l) - 1; i >= 0; i-- {
			if l[i].request.Fingerprint != fingerprint {
				continue
			}
			p.results = append(p.results, Result{Host: l[i].request.Host, Ticket: l[i].request.Ticket, Refused: IsQuarantined, Quarantine: left})
			p.queue.remove(a, i)
		}
	}
}
