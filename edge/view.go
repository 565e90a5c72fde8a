package edge

import (
	"maps"
	"sync"

	"go.uber.org/zap"

	"github.com/carawayrack/carawayrack/balance"
	"github.com/carawayrack/carawayrack/catalog"
	"github.com/carawayrack/carawayrack/clock"
	"github.com/carawayrack/carawayrack/coordinator"
	"github.com/carawayrack/carawayrack/quota"
)

// view is what a host believes: the catalog, how current it is, the other
// hosts, and the state of the targets.
type view struct {
	zone string
	// self is the host's ID.
	self  string
	retry RetryBudget
	log   *zap.Logger
	// random returns a number in [0, n).
	random func(n int) int

	mu      sync.Mutex
	config  *catalog.Config
	freshAt clock.Millis
	known   bool
	fleet   *coordinator.Fleet
	pools   map[string]*balance.Pool
	budgets map[string]*quota.RetryBudget
	queues  map[string]*balance.Queue
	// answers holds how long answers usually take.
	answers latencies
	// zonesOut are the zones that get no new work.
	zonesOut map[string]bool
}

func (v *view) run() {
	v.pools = map[string]*balance.Pool{}
	v.budgets = map[string]*quota.RetryBudget{}
	v.queues = map[string]*balance.Queue{}
	v.answers = latencies{}
	v.fleet = &coordinator.Fleet{}
}

// current returns the configuration and the age of its newest proof; nil if
// there is none.
func (v *view) current(now clock.Millis) (*catalog.Config, clock.Millis) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if !v.known {
		return nil, 0
	}
	return v.config, now - v.freshAt
}

// proven notes a proof that the state was current at a time.
func (v *view) proven(at clock.Millis) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if !v.known || at > v.freshAt {
		v.freshAt, v.known = at, true
	}
}

// set takes over a new state.
func (v *view) set(now clock.Millis, s *catalog.State) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.config = s.Config
	v.zonesOut = maps.Clone(s.EvacuatedZones)
	by := map[string][]catalog.Target{}
	for _, t := range s.Targets {
		by[t.Service] = append(by[t.Service], t)
	}
	for n := range v.pools {
		if by[n] == nil {
			by[n] = nil
		}
	}
	for n, l := range by {
		p := v.pool(n)
		if s.Config != nil {
			if c := s.Config.Service(n); c != nil {
				p.Service = *c
			}
		}
		p.SetTargets(now, l, s.EvacuatedZones)
	}
}

func (v *view) setFleet(f *coordinator.Fleet) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.fleet = f
	for _, p := range v.pools {
		p.SetHosts(v.hostsHere())
	}
	for _, b := range v.budgets {
		b.Depth = v.retryDepth()
	}
}

// hostsHere returns the IDs of the hosts of this zone that take requests.
func (v *view) hostsHere() []string {
	var l []string
	for _, h := range coordinator.Active(v.fleet.Hosts, v.zone) {
		l = append(l, h.ID)
	}
	return l
}

// retryDepth is this host's part of the allowance for retries.
func (v *view) retryDepth() float64 {
	return retryPart * v.retry.Slack / float64(max(len(v.active()), 1))
}

// retryPart is the part of the budget for retries that hosts use: a change
// of the active hosts must not exceed it.
const retryPart = 0.8

func (v *view) pool(service string) *balance.Pool {
	p := v.pools[service]
	if p == nil {
		p = &balance.Pool{Zone: v.zone, Self: v.self, OnHealthChange: v.believe}
		p.Run()
		p.SetHosts(v.hostsHere())
		v.pools[service] = p
	}
	return p
}

// believe logs a change of trust.
func (v *view) believe(_ clock.Millis, b balance.HealthChange) {
	if b.SeenBy != "" && !b.FirstOwner && len(v.fleet.Hosts) > farPeers {
		// In a large fleet the host that saw it and the first owner tell.
		return
	}
	v.log.Info("trust", zap.String("target", b.Target), zap.Bool("trusted", b.Healthy),
		zap.String("cause", b.Cause.String()), zap.String("seenBy", b.SeenBy), zap.Int64("sinceMs", int64(b.SincePrevious)))
}

func (v *view) budget(service string) *quota.RetryBudget {
	b := v.budgets[service]
	if b == nil {
		b = &quota.RetryBudget{Ratio: retryPart * v.retry.Ratio, Depth: v.retryDepth()}
		b.Run()
		v.budgets[service] = b
	}
	return b
}

// part draws the service of a request on a route by the weights.
func (v *view) part(r *catalog.Route) string {
	if len(r.Parts) == 1 {
		return r.Parts[0].Service
	}
	sum := 0
	for _, p := range r.Parts {
		sum += p.Weight
	}
	v.mu.Lock()
	k := v.random(sum)
	v.mu.Unlock()
	for _, p := range r.Parts {
		if k -= p.Weight; k < 0 {
			return p.Service
		}
	}
	return r.Parts[0].Service
}

// spareRetries is what must be left of the budget before requests are used
// to try targets that are not trusted. Where a host's part is small, one is
// enough: that of the request itself.
const spareRetries = 2

// spare reports whether a request of a service may try such a target.
func (v *view) spare(service string) bool {
	b := v.budget(service)
	return b.Left() >= min(spareRetries, max(b.Depth/2, 1))
}

// done notes the end of a request at a target. It reports whether the target
// gained or lost trust.
func (v *view) done(now clock.Millis, service, id string, r balance.Result) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.queue(service).Wake()
	return v.pool(service).Done(now, id, r)
}

// overdue notes that a target has not answered in the usual time. It reports
// whether the target lost trust.
func (v *view) overdue(now clock.Millis, service, id string) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.pool(service).Overdue(now, id)
}

// first counts a request for the budget of retries.
func (v *view) first(service string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.budget(service).CountRequest()
}

// again takes a retry from the budget.
func (v *view) again(service string) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.budget(service).Spend()
}

// timed notes how long an answer on a route took, usual returns the average.
func (v *view) timed(route string, took clock.Millis) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.answers.note(route, took)
}

func (v *view) usual(route string) clock.Millis {
	v.mu.Lock()
	defer v.mu.Unlock()
	return clock.Millis(v.answers[route])
}

// typical returns the usual time of an answer of a service.
func (v *view) typical(service string) clock.Millis {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.pool(service).AverageLatency()
}

// cores returns the control processes that are known.
func (v *view) cores() []coordinator.Core {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.fleet.Cores
}
