package edge

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"

	"github.com/carawayrack/carawayrack/admission"
	"github.com/carawayrack/carawayrack/balance"
	"github.com/carawayrack/carawayrack/catalog"
	"github.com/carawayrack/carawayrack/clock"
)

// ExplainKeyHeader is the header with the key of the caller in a request for an
// explanation. It is no parameter, since URLs are often logged.
const ExplainKeyHeader = "Explain-Key"

// RouteExplanation says what the host would do with a request now. Ages are in
// milliseconds, -1 if unknown.
type RouteExplanation struct {
	Configuration ConfigLine    `json:"configuration"`
	Route         *RouteLine    `json:"route,omitempty"`
	Account       *AccountLine  `json:"account,omitempty"`
	Directory     DirectoryLine `json:"directory"`
	// Services holds the service of the route, or all that share its requests.
	Services []ServiceLine `json:"services,omitempty"`
	// Refusal is set if the request would be refused whatever its service is.
	Refusal *RefusalLine `json:"refusal,omitempty"`
}

// ConfigLine says which configuration applies. Age is that of the proof that it is
// current, LimitAge the age at which the host refuses requests.
type ConfigLine struct {
	Version  uint64       `json:"version"`
	Age      clock.Millis `json:"ageMillis"`
	LimitAge clock.Millis `json:"limitAgeMillis"`
}

// RouteLine is the route of the request.
type RouteLine struct {
	Name      string       `json:"name"`
	Kind      catalog.Kind `json:"kind"`
	Prefix    string       `json:"prefix"`
	Priority  int          `json:"priority"`
	Attempts  int          `json:"attempts"`
	TimeLimit clock.Millis `json:"timeLimitMillis"`
	Objective clock.Millis `json:"objectiveMillis"`
}

// AccountLine is the account of the request. Held is the number of tokens that the host
// has borrowed, Source where the next one comes from: held, lender, lenderEmpty or
// withoutLender. LenderAge is the time since a control process last lent any, -1 if none
// has.
type AccountLine struct {
	Name      string       `json:"name"`
	Rate      float64      `json:"ratePerSecond"`
	Burst     float64      `json:"burst"`
	Held      int          `json:"heldTokens"`
	Source    string       `json:"source"`
	LenderAge clock.Millis `json:"lenderAgeMillis"`
}

// DirectoryLine is what the directory advises to callers of a zone, as old as the list
// of hosts.
type DirectoryLine struct {
	Zone      string       `json:"zone"`
	Addresses []string     `json:"addresses"`
	Age       clock.Millis `json:"ageMillis"`
}

// ServiceLine is a service of the route. Share is its part of the requests.
type ServiceLine struct {
	Name  string  `json:"name"`
	Share float64 `json:"share"`
	// Waiting requests are in the queue, Ahead of them before this one. Wait estimates
	// the time until the request is sent, at most LongestWait: 0 if a target can take it.
	Waiting     int          `json:"waiting"`
	Ahead       int          `json:"ahead"`
	Wait        clock.Millis `json:"expectedWaitMillis"`
	LongestWait clock.Millis `json:"longestWaitMillis"`
	// RetriesLeft is the rest of the host's retry budget, HedgeLimit that of
	// Host.hedgeLimit.
	RetriesLeft float64             `json:"retriesLeft"`
	HedgeLimit  float64             `json:"hedgeLimit"`
	Targets     []balance.Candidate `json:"targets"`
	// Refusal is what the request would get now, or after LongestWait if AfterWait.
	Refusal *RefusalLine `json:"refusal,omitempty"`
}

// RefusalLine is a response of the host itself.
type RefusalLine struct {
	Reason     Reason       `json:"reason"`
	Status     int          `json:"status"`
	RetryAfter clock.Millis `json:"retryAfterMillis,omitempty"`
	Cause      string       `json:"cause"`
	AfterWait  bool         `json:"afterWait,omitempty"`
}

func refusalLine(x *refusal) *RefusalLine {
	if x == nil {
		return nil
	}
	return &RefusalLine{Reason: x.reason, Status: x.status, RetryAfter: x.retryAfter, Cause: x.cause}
}

// ServeRoute writes how the host would route a request, as JSON. Parameters: host, path,
// method (GET), account or the key in ExplainKeyHeader, zone (that of the host).
func (h *Host) ServeRoute(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	o, err := explainedRequest(q, r.Header.Get(ExplainKeyHeader), h.Headers)
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

// explainedRequest returns the request as a caller would send it.
func explainedRequest(q url.Values, key string, n Headers) (*http.Request, error) {
	method := q.Get("method")
	if method == "" {
		method = http.MethodGet
	}
	path := q.Get("path")
	u, err := url.ParseRequestURI(path)
	if err != nil {
		return nil, err
	}
	o, err := http.NewRequest(method, u.String(), nil)
	if err != nil {
		return nil, err
	}
	o.Host, o.RequestURI, o.URL = q.Get("host"), path, u
	if key != "" {
		o.Header.Set(n.Key, key)
	}
	return o, nil
}

// explainRoute follows a request through the same decisions as admit and send, without
// waiting, and takes nothing. A crash of targets that only its body tells is not known.
func (h *Host) explainRoute(r *http.Request, account, zone string) *RouteExplanation {
	now := h.Clock.Now()
	f, age := h.view.current(now)
	if f == nil {
		age = -1
	}
	e := &RouteExplanation{
		Configuration: ConfigLine{Age: age, LimitAge: h.Settings.MaxConfigAge},
		Directory:     DirectoryLine{Zone: zone, Addresses: append([]string{}, h.Resolve(zone)...), Age: age},
	}
	if f == nil {
		e.Refusal = refusalLine(notCurrent("no current configuration"))
		return e
	}
	e.Configuration.Version = f.Version
	if a := f.Account(account); a != nil && len(a.Keys) > 0 {
		r.Header.Set(h.Headers.Key, a.Keys[0])
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
		e.Route = &RouteLine{c.route.Name, c.route.Kind, c.route.Prefix, c.priority(), c.route.Attempts, c.deadline - c.start, c.route.Objective}
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

// explainAccount returns the account's line, and the refusal if it has no token.
func (c *call) explainAccount(now clock.Millis) (*AccountLine, *refusal) {
	t, a := c.host.tokens, c.account
	l := &AccountLine{Name: a.Name, Rate: a.Rate, Burst: a.Burst, LenderAge: -1}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.lenderAt > 0 {
		l.LenderAge = now - t.lenderAt
	}
	if a.Rate <= 0 {
		return l, nil
	}
	p := t.accounts[a.Name]
	if p == nil {
		p = &accountTokens{}
	}
	s, wait := t.nextSource(now, p)
	l.Held, l.Source = p.Tokens(), string(s)
	if s == sourceEmpty {
		return l, c.overQuota(wait)
	}
	return l, nil
}

// explainService returns the line of the service of the call.
func (c *call) explainService(now clock.Millis) ServiceLine {
	v := c.host.view
	l := ServiceLine{Name: c.service, HedgeLimit: c.host.hedgeLimit(c.service)}
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
func (v *fleetView) explainPick(now clock.Millis, p *pendingPick, l *ServiceLine) {
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
