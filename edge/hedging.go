package edge

import (
	"expvar"
	"sync"

	"go.uber.org/zap"

	"github.com/carawayrack/carawayrack/balance"
	"github.com/carawayrack/carawayrack/clock"
	"github.com/carawayrack/carawayrack/hedge"
)

// maxHedgeLines is the number of log lines on hedges that a host writes in a second:
// about 1.5 kB, while slow targets may affect each of its requests.
const maxHedgeLines = 5

// hedger holds what the host may spend on hedges. The zero value is ready to use.
type hedger struct {
	mu      sync.Mutex
	budgets map[string]*hedge.Budget
	lines   lineLimit
}

// hedgePlan is how a request will be hedged if it is slow.
type hedgePlan struct {
	// limit is the share of hedges of its service, 0 if none is set: the rule of
	// hedge.Delay and the retry budget apply then.
	limit float64
	delay clock.Millis
	times hedge.Times
	// tried is true once a hedge was refused.
	tried bool
}

// hedgeLimit returns the share of a service's requests that may be hedged, 0 if none
// is set.
func (h *Host) hedgeLimit(service string) float64 {
	if c, _ := h.view.current(h.Clock.Now()); c != nil {
		if s := c.Service(service); s != nil && s.Hedge != nil {
			return *s.Hedge
		}
	}
	return h.Settings.HedgeShare
}

// hedgeBudget returns the budget of a service, nil if it has no limit; h.hedger.mu is
// held.
func (h *Host) hedgeBudget(service string) *hedge.Budget {
	limit := h.hedgeLimit(service)
	if limit <= 0 {
		return nil
	}
	b := h.hedger.budgets[service]
	if b == nil {
		if h.hedger.budgets == nil {
			h.hedger.budgets = map[string]*hedge.Budget{}
		}
		b = &hedge.Budget{}
		h.hedger.budgets[service] = b
	}
	b.Limit = limit
	b.RetryRatio, b.RetrySlack = h.view.retryPart(service)
	return b
}

// retryPart returns the host's part of the fleet's retry budget for a service: the
// ratio and the slack.
func (v *fleetView) retryPart(service string) (ratio, slack float64) {
	v.mu.Lock()
	defer v.mu.Unlock()
	b := v.retryBudget(service)
	return b.Ratio, b.Depth
}

// planHedge counts a request that has got its first attempt and plans its hedge.
func (c *call) planHedge() *hedgePlan {
	h := c.host
	now := h.Clock.Now()
	h.hedger.mu.Lock()
	defer h.hedger.mu.Unlock()
	b := h.hedgeBudget(c.service)
	if b == nil {
		return &hedgePlan{delay: c.hedgeDelay()}
	}
	b.CountRequest(now)
	h.metrics.setHedgeShare(c.service, b.Counts(now).Share())
	p := &hedgePlan{limit: b.Limit, delay: c.route.Objective}
	if !c.idempotent() {
		return p
	}
	p.times = hedge.NewTimes(b.Limit, c.route.Objective, func(q float64) (clock.Millis, int) {
		return h.latencies.Quantile(now, c.route.Name, q)
	})
	p.delay = p.times.Delay
	return p
}

// hedgeWithin returns another attempt to run in parallel with a slow one if the limit
// of the service allows it and a target has a free slot, else nil. It may be called again
// then.
func (c *call) hedgeWithin(p *hedgePlan) *attempt {
	h := c.host
	now := h.Clock.Now()
	q := hedge.Request{Again: p.tried, Attempts: c.mayAttempt(), Remaining: c.remaining(), Times: p.times}
	q.Closed, q.Queued = h.view.congested(now, c.service)
	d, ok := h.decideHedge(now, c.service, q)
	if !ok {
		return nil
	}
	var a *attempt
	if d.Reason == hedge.Started {
		var x *refusal
		if a, x = c.newAttempt(nil, true); x != nil {
			a, d.Reason = nil, hedge.NoFreeSlot
			if x.reason != TargetsFull {
				d.Reason = hedge.Reason(x.reason)
			}
			h.cancelHedge(now, c.service)
		} else {
			a.hedge = true
		}
	}
	if !p.tried || a != nil {
		h.metrics.hedges.Add(c.service+"."+string(d.Reason), 1)
		h.logHedge(now, c, p, d)
	}
	p.tried = true
	return a
}

// congested reports whether no target of a service accepts requests, and whether
// requests wait for one.
func (v *fleetView) congested(now clock.Millis, service string) (closed, queued bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	_, closed = v.pool(service).Closed(now)
	return closed, v.queue(service).Len() > 0
}

// decideHedge decides on a slow request. It returns false if the service no longer has
// a limit.
func (h *Host) decideHedge(now clock.Millis, service string, q hedge.Request) (hedge.Decision, bool) {
	h.hedger.mu.Lock()
	defer h.hedger.mu.Unlock()
	b := h.hedgeBudget(service)
	if b == nil {
		return hedge.Decision{}, false
	}
	d := b.Decide(now, q)
	h.metrics.setHedgeShare(service, b.Counts(now).Share())
	return d, true
}

// cancelHedge returns a hedge to the budget that found no target.
func (h *Host) cancelHedge(now clock.Millis, service string) {
	h.hedger.mu.Lock()
	defer h.hedger.mu.Unlock()
	if b := h.hedgeBudget(service); b != nil {
		b.Cancel(now)
	}
}

// takeRetry takes a retry from the budget of a service. It reports false if none is
// left, which hedges may be the cause of.
func (h *Host) takeRetry(service string) bool {
	now := h.Clock.Now()
	h.hedger.mu.Lock()
	defer h.hedger.mu.Unlock()
	b := h.hedgeBudget(service)
	if b != nil && !b.AllowsRetry(now) || !h.view.takeRetry(service) {
		return false
	}
	if b != nil {
		b.CountRetry(now)
	}
	return true
}

// refundRetry returns a retry to the budget that was not sent.
func (h *Host) refundRetry(service string) {
	h.hedger.mu.Lock()
	defer h.hedger.mu.Unlock()
	h.view.refundRetry(service)
	if b := h.hedgeBudget(service); b != nil {
		b.CancelRetry(h.Clock.Now())
	}
}

// recordSuperseded records that the first attempt of a request, which a hedge has
// overtaken, took at least so long. Without it the recent responses would be those of
// hedges, and the delay would shrink.
func (a *attempt) recordSuperseded(now clock.Millis, o balance.Outcome) {
	if a.superseded.Load() && !a.hedge && o != balance.Served {
		a.call.host.latencies.Record(now, a.call.route.Name, now-a.started)
	}
}

// countWon counts a hedge whose response the caller gets.
func (a *attempt) countWon() {
	if a.hedge {
		a.call.host.metrics.hedges.Add(a.call.service+".won", 1)
	}
}

// setHedgeShare publishes the hedges of a service by its requests in the last
// hedge.Window.
func (m *metrics) setHedgeShare(service string, share float64) {
	f := new(expvar.Float)
	f.Set(share)
	m.hedgeShare.Set(service, f)
}

func (h *Host) logHedge(now clock.Millis, c *call, p *hedgePlan, d hedge.Decision) {
	omitted, ok := h.hedger.lines.allow(now, maxHedgeLines)
	if !ok {
		return
	}
	h.Log.Info("hedge", zap.String("request", c.id), zap.String("service", c.service), zap.String("route", c.route.Name),
		zap.String("reason", string(d.Reason)), zap.Strings("tried", c.tried), zap.Int64("delayMs", int64(p.delay)),
		zap.Int64("quantileMs", int64(p.times.Quantile)), zap.Int64("medianMs", int64(p.times.Median)), zap.Int("responses", p.times.Responses),
		zap.Float64("limit", p.limit), zap.Float64("credit", d.Credit), zap.Int("requests", d.Counts.Requests), zap.Int("slow", d.Counts.Slow),
		zap.Int("hedges", d.Counts.Hedges), zap.Int("retries", d.Counts.Retries), zap.Int64("windowMs", int64(hedge.Window)), zap.Int("omitted", omitted))
}
