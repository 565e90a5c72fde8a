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

// fleetView is what a host believes: the catalog, how current it is, the other
// hosts, and the state of the targets.
type fleetView struct {
	zone string
	// self is the host's ID.
	self  string
	retry RetryBudget
	log   *zap.Logger
	// random returns a number in [0, n).
	random func(n int) int

	mu           sync.Mutex
	config       *catalog.Config
	currentAt    clock.Millis
	hasProof     bool
	fleet        *coordinator.Fleet
	pools        map[string]*balance.Pool
	retryBudgets map[string]*quota.RetryBudget
	queues       map[string]*balance.Queue
	// latencies holds how long latencies usually take.
	latencies averageLatencies
	// evacuatedZones are the zones that get no new work.
	evacuatedZones map[string]bool
}

func (v *fleetView) run() {
	v.pools = map[string]*balance.Pool{}
	v.retryBudgets = map[string]*quota.RetryBudget{}
	v.queues = map[string]*balance.Queue{}
	v.latencies = averageLatencies{}
	v.fleet = &coordinator.Fleet{}
}

// current returns the configuration and the age of its newest proof; nil if
// there is none.
func (v *fleetView) current(now clock.Millis) (*catalog.Config, clock.Millis) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if !v.hasProof {
		return nil, 0
	}
	return v.config, now - v.currentAt
}

// confirmCurrent notes a proof that the state was current at a time.
func (v *fleetView) confirmCurrent(at clock.Millis) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if !v.hasProof || at > v.currentAt {
		v.currentAt, v.hasProof = at, true
	}
}

// setState takes over a new state.
func (v *fleetView) setState(now clock.Millis, s *catalog.State) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.config = s.Config
	v.evacuatedZones = maps.Clone(s.EvacuatedZones)
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

func (v *fleetView) setFleet(f *coordinator.Fleet) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.fleet = f
	for _, p := range v.pools {
		p.SetHosts(v.localHosts())
	}
	for _, b := range v.retryBudgets {
		b.Depth = v.retryDepth()
	}
}

// localHosts returns the IDs of the hosts of this zone that take requests.
func (v *fleetView) localHosts() []string {
	var l []string
	for _, h := range coordinator.Active(v.fleet.Hosts, v.zone) {
		l = append(l, h.ID)
	}
	return l
}

// retryDepth is this host's part of the allowance for retries.
func (v *fleetView) retryDepth() float64 {
	return retryBudgetShare * v.retry.Slack / float64(max(len(v.active()), 1))
}

// retryBudgetShare is the part of the budget for retries that hosts use: a change
// of the active hosts must not exceed it.
const retryBudgetShare = 0.8

func (v *fleetView) pool(service string) *balance.Pool {
	p := v.pools[service]
	if p == nil {
		p = &balance.Pool{Zone: v.zone, Self: v.self, OnHealthChange: v.logHealthChange}
		p.Run()
		p.SetHosts(v.localHosts())
		v.pools[service] = p
	}
	return p
}

// logHealthChange logs a change of trust.
func (v *fleetView) logHealthChange(_ clock.Millis, b balance.HealthChange) {
	if b.SeenBy != "" && !b.FirstOwner && len(v.fleet.Hosts) > maxBroadcastHosts {
		// In a large fleet the host that saw it and the first owner tell.
		return
	}
	v.log.Info("trust", zap.String("target", b.Target), zap.Bool("trusted", b.Healthy),
		zap.String("cause", b.Cause.String()), zap.String("seenBy", b.SeenBy), zap.Int64("sinceMs", int64(b.SincePrevious)))
}

func (v *fleetView) retryBudget(service string) *quota.RetryBudget {
	b := v.retryBudgets[service]
	if b == nil {
		b = &quota.RetryBudget{Ratio: retryBudgetShare * v.retry.Ratio, Depth: v.retryDepth()}
		b.Run()
		v.retryBudgets[service] = b
	}
	return b
}

// pickService draws the service of a request on a route by the weights.
func (v *fleetView) pickService(r *catalog.Route) string {
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

// minRetriesForProbe is what must be left of the budget before requests are used
// to try targets that are not trusted. Where a host's part is small, one is
// enough: that of the request itself.
const minRetriesForProbe = 2

// mayProbe reports whether a request of a service may try such a target.
func (v *fleetView) mayProbe(service string) bool {
	b := v.retryBudget(service)
	return b.Left() >= min(minRetriesForProbe, max(b.Depth/2, 1))
}

// attemptDone notes the end of a request at a target. It reports whether the target
// gained or lost trust.
func (v *fleetView) attemptDone(now clock.Millis, service, id string, r balance.Result) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.queue(service).Wake()
	return v.pool(service).Done(now, id, r)
}

// overdue notes that a target has not answered in the usual time. It reports
// whether the target lost trust.
func (v *fleetView) overdue(now clock.Millis, service, id string) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.pool(service).Overdue(now, id)
}

// countRequest counts a request for the budget of retries.
func (v *fleetView) countRequest(service string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.retryBudget(service).CountRequest()
}

// takeRetry takes a retry from the budget.
func (v *fleetView) takeRetry(service string) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.retryBudget(service).Spend()
}

// recordLatency notes how long an answer on a route took, usual returns the average.
func (v *fleetView) recordLatency(route string, took clock.Millis) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.latencies.record(route, took)
}

func (v *fleetView) averageLatency(route string) clock.Millis {
	v.mu.Lock()
	defer v.mu.Unlock()
	return clock.Millis(v.latencies[route])
}

// typicalLatency returns the usual time of an answer of a service.
func (v *fleetView) typicalLatency(service string) clock.Millis {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.pool(service).AverageLatency()
}

// cores returns the control processes that are known.
func (v *fleetView) cores() []coordinator.Core {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.fleet.Cores
}
