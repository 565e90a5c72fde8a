package edge

import (
	"maps"
	"slices"
	"sync"

	"go.uber.org/zap"

	"github.com/carawayrack/carawayrack/admission"
	"github.com/carawayrack/carawayrack/balance"
	"github.com/carawayrack/carawayrack/catalog"
	"github.com/carawayrack/carawayrack/clock"
	"github.com/carawayrack/carawayrack/coordinator"
	"github.com/carawayrack/carawayrack/hedge"
	"github.com/carawayrack/carawayrack/quota"
	"github.com/carawayrack/carawayrack/rollout"
)

// fleetView is what the host knows of the deployment: the catalog, how current
// it is, the other hosts, and the state of the targets.
type fleetView struct {
	zone string
	// self is the host's ID.
	self  string
	retry RetryBudget
	log   *zap.Logger
	// random returns a number in [0, n).
	random func(n int) int

	mu     sync.Mutex
	config *catalog.Config
	// currentAt is the time of the newest proof that the state was current; it
	// is valid if hasProof is true.
	currentAt    clock.Millis
	hasProof     bool
	fleet        *coordinator.Fleet
	pools        map[string]*balance.Pool
	retryBudgets map[string]*quota.RetryBudget
	queues       map[string]*admission.Queue
	// latencies holds the average latency by route.
	latencies hedge.Averages
	// recorder counts the responses of versions.
	recorder rollout.Recorder
	// evacuatedZones are the zones that get no new requests.
	evacuatedZones map[string]bool
}

func (v *fleetView) run() {
	v.pools = map[string]*balance.Pool{}
	v.retryBudgets = map[string]*quota.RetryBudget{}
	v.queues = map[string]*admission.Queue{}
	v.latencies = hedge.Averages{}
	v.fleet = &coordinator.Fleet{}
}

// current returns the configuration and the age of the newest proof that it is
// current; nil if there is no proof.
func (v *fleetView) current(now clock.Millis) (*catalog.Config, clock.Millis) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if !v.hasProof {
		return nil, 0
	}
	return v.config, now - v.currentAt
}

// confirmCurrent records a proof that the state was current at a time.
func (v *fleetView) confirmCurrent(at clock.Millis) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if !v.hasProof || at > v.currentAt {
		v.currentAt, v.hasProof = at, true
	}
}

// setState replaces the configuration, the evacuated zones and the targets.
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
	v.setRollouts(s.Rollouts)
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

// retryDepth returns this host's share of the slack of the fleet's retry budget.
// If there are more hosts than retries, some hosts have one and the others none:
// a part of a retry could never be used.
func (v *fleetView) retryDepth() float64 {
	l := v.active()
	slack := retryBudgetShare * v.retry.Slack
	share := slack / float64(max(len(l), 1))
	if share >= 1 {
		return share
	}
	rank := slices.IndexFunc(l, v.isSelf)
	if rank >= 0 && float64(rank+1) <= slack {
		return 1
	}
	return 0
}

func (v *fleetView) isSelf(h coordinator.Host) bool { return h.ID == v.self }

// retryBudgetShare is the share of the fleet's retry budget that hosts use.
// The rest is a reserve, so that the fleet stays within the budget while the
// number of active hosts changes.
const retryBudgetShare = 0.8

func (v *fleetView) pool(service string) *balance.Pool {
	p := v.pools[service]
	if p == nil {
		p = &balance.Pool{Zone: v.zone, Self: v.self, OnHealthChange: v.logHealthChange, Random: v.random}
		p.Run()
		p.SetHosts(v.localHosts())
		v.pools[service] = p
	}
	return p
}

// logHealthChange logs that a target became healthy or unhealthy.
func (v *fleetView) logHealthChange(_ clock.Millis, b balance.HealthChange) {
	if b.SeenBy != "" && !b.FirstOwner && len(v.fleet.Hosts) > maxBroadcastHosts {
		// In a large fleet only the host that saw the change and the first owner
		// of the target log it.
		return
	}
	v.log.Info("trust", zap.String("target", b.Target), zap.Bool("trusted", b.Healthy),
		zap.String("cause", b.Cause.String()), zap.String("seenBy", b.SeenBy), zap.Int64("sinceMs", int64(b.SincePrevious)))
}

func (v *fleetView) retryBudget(service string) *quota.RetryBudget {
	b := v.peekRetryBudget(service)
	v.retryBudgets[service] = b
	return b
}

// peekRetryBudget returns the retry budget of a service, a new one that is not kept if
// there is none.
func (v *fleetView) peekRetryBudget(service string) *quota.RetryBudget {
	b := v.retryBudgets[service]
	if b == nil {
		b = &quota.RetryBudget{Ratio: retryBudgetShare * v.retry.Ratio, Depth: v.retryDepth()}
		b.Run()
	}
	return b
}

// pickService picks the service for a request on a route at random, by the
// weights of its parts.
func (v *fleetView) pickService(r *catalog.Route) string {
	if len(r.Parts) == 1 {
		return r.Parts[0].Service
	}
	sum := 0
	for _, p := range r.Parts {
		sum += p.Weight
	}
	if sum <= 0 {
		// Configurations are checked; those in older logs were not.
		return r.Parts[0].Service
	}
	k := v.draw(sum)
	for _, p := range r.Parts {
		if k -= p.Weight; k < 0 {
			return p.Service
		}
	}
	return r.Parts[0].Service
}

// draw returns a random number in [0, n).
func (v *fleetView) draw(n int) int {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.random(n)
}

// minRetriesForProbe is the number of retries that must be left in the budget
// before requests probe unhealthy targets. If a host's share of the budget is
// small, half of it is enough, but at least one retry: that of the probing
// request itself.
const minRetriesForProbe = 2

// mayProbe reports whether a request of a service may probe an unhealthy
// target.
func (v *fleetView) mayProbe(service string) bool {
	b := v.peekRetryBudget(service)
	return b.Left() >= min(minRetriesForProbe, max(b.Depth/2, 1))
}

// attemptDone records the end of an attempt at a target. It reports whether
// the health of the target changed.
func (v *fleetView) attemptDone(now clock.Millis, service, id string, r balance.Result) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.queue(service).Wake()
	return v.pool(service).Done(now, id, r)
}

// overdue records that a target has not responded within the usual time. It
// reports whether the target became unhealthy.
func (v *fleetView) overdue(now clock.Millis, service, id string) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.pool(service).Overdue(now, id)
}

// countRequest adds a request to the retry budget of its service.
func (v *fleetView) countRequest(service string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.retryBudget(service).CountRequest()
}

// takeRetry takes a retry from the budget. It reports false if none is left.
func (v *fleetView) takeRetry(service string) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.retryBudget(service).Spend()
}

// recordLatency records the latency of a response on a route.
func (v *fleetView) recordLatency(route string, took clock.Millis) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.latencies.Record(route, took)
}

// routeLatency returns the average latency of a route, zero before the first
// response.
func (v *fleetView) routeLatency(route string) clock.Millis {
	v.mu.Lock()
	defer v.mu.Unlock()
	return clock.Millis(v.latencies[route])
}

// serviceLatency returns the average latency of a service, zero before the
// first response.
func (v *fleetView) serviceLatency(service string) clock.Millis {
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
