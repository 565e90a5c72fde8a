package edge

import (
	"context"
	"encoding/json"
	"net/http"

	"github.com/carawayrack/carawayrack/admission"
	"github.com/carawayrack/carawayrack/balance"
	"github.com/carawayrack/carawayrack/catalog"
	"github.com/carawayrack/carawayrack/clock"
	"github.com/carawayrack/carawayrack/routing"
	"github.com/carawayrack/carawayrack/token"
)

func refusalLine(x *refusal) *routing.RefusalLine {
	if x == nil {
		return nil
	}
	return &routing.RefusalLine{Reason: string(x.reason), Status: x.status, RetryAfter: x.retryAfter, Cause: x.cause}
}

// ServeRoute writes how the host would route a request, as JSON. Parameters: host, path,
// method (GET), account or the key in routing.ExplainKeyHeader, zone (that of the host).
func (h *Host) ServeRoute(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	o, err := routing.ExplainedRequest(q, r.Header.Get(routing.ExplainKeyHeader), h.Headers.Key)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	zone := q.Get("zone")
	if zone == "" {
		zone = h.Settings.Zone
	}
	w.Header().Set("Content-Type", "application/json")
	// The error is of no use: the client has disconnected.
	_ = json.NewEncoder(w).Encode(h.explainRoute(o, q.Get("account"), zone))
}

// explainRoute follows a request through the same decisions as admit and send, without
// waiting, and takes nothing. A crash of targets that only its body tells is not known.
func (h *Host) explainRoute(r *http.Request, account, zone string) *routing.Explanation {
	now := h.Clock.Now()
	f, age := h.view.current(now)
	if f == nil {
		age = -1
	}
	e := &routing.Explanation{
		Configuration: routing.ConfigLine{Age: age, LimitAge: h.Settings.MaxConfigAge},
		Directory:     routing.DirectoryLine{Zone: zone, Addresses: append([]string{}, h.Resolve(zone)...), Age: age},
	}
	if f == nil {
		e.Refusal = refusalLine(notCurrent("no current configuration"))
		return e
	}
	e.Configuration.Version = f.Version
	if account != "" {
		r.Header.Set(h.Headers.Key, keyOf(f.Account(account)))
	}
	c := &call{host: h, r: r, context: context.Background(), start: now}
	x := c.findRoute(f)
	switch {
	case age >= h.Settings.MaxConfigAge:
		x = notCurrent("no current configuration")
	case x != nil && age >= h.Settings.MaxRefusalAge:
		x = notCurrent(x.Error())
	}
	if c.route != nil {
		c.setDeadline()
		e.Route = &routing.RouteLine{
			Name: c.route.Name, Kind: c.route.Kind, Prefix: c.route.Prefix, Priority: c.priority(),
			Attempts: c.route.Attempts, TimeLimit: c.deadline - c.start, Objective: c.route.Objective,
		}
		if x == nil {
			x = c.endsBefore(now)
		}
	}
	if c.account != nil {
		var y *refusal
		if e.Account, y = c.explainAccount(now); x == nil {
			x = y
		}
	}
	if e.Refusal = refusalLine(x); x != nil {
		return e
	}
	sum := 0
	for _, p := range c.route.Parts {
		sum += p.Weight
	}
	for _, p := range c.route.Parts {
		c.service = p.Service
		s := c.explainService(now)
		s.Share = float64(p.Weight) / float64(max(sum, 1))
		e.Services = append(e.Services, s)
	}
	return e
}

// noSuchKey is no key that a caller could send: a header cannot contain it.
const noSuchKey = "\x00"

// keyOf returns a key of an account, noSuchKey if it has none or is nil: nobody can then send
// requests for it.
func keyOf(a *catalog.Account) string {
	if a == nil {
		return noSuchKey
	}
	for _, k := range a.Keys {
		if k != "" {
			return k
		}
	}
	return noSuchKey
}

// explainAccount returns the account's line, and the refusal if it has no token.
func (c *call) explainAccount(now clock.Millis) (*routing.AccountLine, *refusal) {
	a := c.account
	s := c.host.tokens.State(now, a)
	l := &routing.AccountLine{Name: a.Name, Rate: a.Rate, Burst: a.Burst, Held: s.Held, Source: string(s.Source), LenderAge: s.LenderAge}
	if s.Source == token.SourceEmpty {
		return l, c.overQuota(s.Wait, s.Source)
	}
	return l, nil
}

// explainService returns the line of the service of the call.
func (c *call) explainService(now clock.Millis) routing.ServiceLine {
	v := c.host.view
	l := routing.ServiceLine{Name: c.service, HedgeLimit: c.host.hedgeLimit(c.service)}
	v.mu.Lock()
	_, known := v.pools[c.service]
	v.mu.Unlock()
	if !known {
		// The host has no target of the service.
		l.Refusal = refusalLine(c.fullRefusal())
		return l
	}
	p := c.newPick(now, now+c.maxQueueWait(), false)
	v.mu.Lock()
	defer v.mu.Unlock()
	v.explainPick(now, p, &l)
	if l.Wait == 0 {
		return l
	}
	if v.noteClosed(now, p) {
		l.Refusal = refusalLine(c.closedRefusal(p.pause))
		return l
	}
	l.Refusal = refusalLine(c.fullRefusal())
	l.Refusal.AfterWait = true
	return l
}

// explainPick is tryPick for a request that is neither placed nor queued; v.mu is held.
func (v *fleetView) explainPick(now clock.Millis, p *pendingPick, l *routing.ServiceLine) {
	q := v.queues[p.service]
	if q == nil {
		q = &admission.Queue{}
	}
	l.Waiting, l.Ahead = q.Len(), q.Ahead(&p.waiter)
	if q.Stands(now) {
		p.deadline = min(p.deadline, p.start+standingQueueWait)
	}
	l.LongestWait = p.deadline - now
	l.RetriesLeft = v.peekRetryBudget(p.service).Left()
	a := p.request
	a.Retryable = a.Retryable && v.mayProbe(p.service)
	pool := v.pools[p.service]
	l.Targets = pool.Explain(now, a)
	slots := 0
	for i, t := range l.Targets {
		if t.Chosen != "" && q.IsNext(&p.waiter) {
			return
		}
		// A request that must wait for others is not sent yet.
		l.Targets[i].Chosen = ""
		if t.Against == "" || t.Against == balance.Full {
			slots += t.Slots
		}
	}
	// Each slot becomes free once in the average latency.
	wait := clock.Millis(l.Ahead+1) * pool.AverageLatency() / clock.Millis(max(slots, 1))
	l.Wait = max(min(wait, l.LongestWait), 1)
}
