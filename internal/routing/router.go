// Package routing decides which target gets a request, when the request is retried and
// when it is refused. It does no I/O: callers pass in the time and the results of
// attempts. Its types are not safe for concurrent use.
package routing

import (
	"math"
	"math/rand/v2"
	"slices"
	"sort"
	"time"

	"github.com/daisyfold/daisyfold/internal/model"
)

// Reason is why a target was chosen or why there is none.
type Reason string

// Reasons of a choice.
const (
	ReasonOwnZone      Reason = "own_zone"
	ReasonOtherZone    Reason = "other_zone"
	ReasonProbe        Reason = "probe"
	ReasonNoTarget     Reason = "no_target"      // the service has no target in service
	ReasonAllSlotsUsed Reason = "all_slots_used" // targets exist, but no slot is free
	ReasonBreakersOpen Reason = "breakers_open"  // every target with a free slot has an open breaker
	ReasonAllLeaving   Reason = "all_leaving"    // every target is leaving
)

// Query describes the request for which Router.Choose picks a target.
type Query struct {
	Service model.Service
	// MaxInFlight limits the requests of the service in flight at this host; 0 means
	// no limit.
	MaxInFlight       int
	ZonesOutOfService map[model.Zone]bool
	// Exclude holds the targets that the request has already tried.
	Exclude map[model.TargetID]bool
}

// Choice is the result of a query. OK is false when no target is available; Reason
// then says why.
type Choice struct {
	Target model.Target
	Reason Reason
	OK     bool

	state *targetState
	pool  *pool
}

// Options configures a router.
type Options struct {
	Zone   model.Zone
	Policy Policy // PowerOfTwoChoices if nil
	Seed   uint64
}

// Router chooses targets for one entry host.
type Router struct {
	zone    model.Zone
	policy  Policy
	rng     *rand.Rand
	targets map[model.TargetID]*targetState
	pools   map[model.Service]*pool
	// candidateGroups is scratch space of pick: the candidates in the router's own zone
	// and in other zones, then those that the policy avoids, in the same order.
	candidateGroups [4][]*targetState
}

// pool holds the targets of one service, sorted by id so that choices are reproducible
// with the same seed.
type pool struct {
	targets        []*targetState
	inFlight       int
	successes      int
	meanLatency    float64 // seconds, of all successful calls
	medianLatency  float64 // seconds, of the targets' mean latencies
	typicalLatency float64 // seconds; 0 before the first success
}

// New returns a router without targets.
func New(o Options) *Router {
	if o.Policy == nil {
		o.Policy = PowerOfTwoChoices{}
	}
	return &Router{
		zone:    o.Zone,
		policy:  o.Policy,
		rng:     rand.New(rand.NewPCG(o.Seed, uint64(len(o.Zone)))),
		targets: map[model.TargetID]*targetState{},
		pools:   map[model.Service]*pool{},
	}
}

// Update replaces the targets. hosts is the number of entry hosts that share each
// target's connections. Observations of targets that stay at their address are kept.
func (r *Router) Update(targets []model.Target, hosts int) {
	old := r.targets
	r.targets = make(map[model.TargetID]*targetState, len(targets))
	for _, t := range targets {
		r.updateTarget(old[t.ID], t, hosts)
	}
	r.rebuildPools()
}

// updateTarget stores the state of t. It keeps the observations in the old state s, unless
// s is nil or has another address.
func (r *Router) updateTarget(s *targetState, t model.Target, hosts int) {
	connections := t.ConnectionsPerHost(hosts)
	if s == nil || s.target.Address != t.Address {
		s = newTargetState(t, connections)
	}
	s.update(t, connections)
	r.targets[t.ID] = s
}

// rebuildPools groups the targets by service. A pool without targets is kept while
// requests of its service are in flight.
func (r *Router) rebuildPools() {
	for _, p := range r.pools {
		p.targets = nil
	}
	for _, s := range r.targets {
		p := r.pools[s.target.Service]
		if p == nil {
			p = &pool{}
			r.pools[s.target.Service] = p
		}
		p.targets = append(p.targets, s)
	}
	for service, p := range r.pools {
		if len(p.targets) == 0 && p.inFlight == 0 {
			delete(r.pools, service)
		}
		sort.Slice(p.targets, func(i, j int) bool { return p.targets[i].target.ID < p.targets[j].target.ID })
	}
}

// Available reports whether the service has a target that is in service, not leaving
// and allowed by its breaker, even if all its slots are in use.
func (r *Router) Available(now time.Time, service model.Service, zonesOutOfService map[model.Zone]bool) bool {
	p := r.pools[service]
	if p == nil {
		return false
	}
	for _, s := range p.targets {
		if !s.leaving(now) && !zonesOutOfService[s.target.Zone] && s.breaker.allows(now) {
			return true
		}
	}
	return false
}

// Choose picks a target and reserves a slot on it; the caller must call Done if the
// choice is OK. Targets in the router's own zone are preferred to those in other zones,
// unless the policy avoids them or the zone is out of service. Targets that the request
// has tried are used only when there is no other.
func (r *Router) Choose(now time.Time, q Query) Choice {
	p := r.pools[q.Service]
	if p == nil {
		return Choice{Reason: ReasonNoTarget}
	}
	if q.MaxInFlight > 0 && p.inFlight >= q.MaxInFlight {
		return Choice{Reason: ReasonAllSlotsUsed}
	}
	if s, reason := r.pick(now, p, q); s != nil {
		return p.reserve(s, reason)
	}
	if len(q.Exclude) > 0 {
		q.Exclude = nil
		return r.Choose(now, q)
	}
	return Choice{Reason: p.unavailableReason(now, q)}
}

// reserve takes a slot of s for a request.
func (p *pool) reserve(s *targetState, reason Reason) Choice {
	s.inFlight++
	p.inFlight++
	if s.breaker.recordSent() {
		reason = ReasonProbe
	}
	return Choice{Target: s.target, Reason: reason, OK: true, state: s, pool: p}
}

// pick returns an eligible target, or nil. Targets that the policy does not avoid are
// preferred in any zone, and among these and among the avoided ones those in the
// router's own zone are preferred.
func (r *Router) pick(now time.Time, p *pool, q Query) (*targetState, Reason) {
	groups := &r.candidateGroups
	for i := range groups {
		groups[i] = groups[i][:0]
	}
	for _, s := range p.targets {
		if !eligible(now, s, q) {
			continue
		}
		if s.breaker.isOpen() {
			// A due probe goes first, so that a recovered target is used again soon.
			return s, ReasonProbe
		}
		group := 0
		if s.target.Zone != r.zone {
			group++
		}
		if r.policy.avoids(now, s, p.typicalLatency) {
			group += 2
		}
		groups[group] = append(groups[group], s)
	}
	for i, candidates := range groups {
		if len(candidates) == 0 {
			continue
		}
		reason := ReasonOwnZone
		if i%2 == 1 {
			reason = ReasonOtherZone
		}
		if s := r.policy.pick(now, candidates, pickContext{rng: r.rng, typicalLatency: p.typicalLatency}); s != nil {
			return s, reason
		}
	}
	return nil, ""
}

// eligible reports whether a request may be sent to the target at now.
func eligible(now time.Time, s *targetState, q Query) bool {
	return !s.leaving(now) && !q.ZonesOutOfService[s.target.Zone] && !q.Exclude[s.target.ID] &&
		s.hasCapacity() && s.breaker.allows(now)
}

// unavailableReason returns why no target of the pool is eligible.
func (p *pool) unavailableReason(now time.Time, q Query) Reason {
	reason := ReasonNoTarget
	for _, s := range p.targets {
		switch {
		case q.ZonesOutOfService[s.target.Zone]:
		case s.leaving(now):
			reason = ReasonAllLeaving
		case !s.breaker.allows(now):
			if reason != ReasonAllSlotsUsed {
				reason = ReasonBreakersOpen
			}
		case !s.hasCapacity():
			reason = ReasonAllSlotsUsed
		}
	}
	return reason
}

// Done records the result of the attempt of a choice and frees its slot. It must be
// called once for each choice that is OK.
func (r *Router) Done(now time.Time, c Choice, res Result) {
	c.pool.inFlight--
	c.state.recordResult(now, res)
	if res.Kind == ResultOK {
		c.pool.recordLatency(res.Latency)
	}
}

// successesPerMedianUpdate is the number of successes between two computations of the
// median, which would be expensive on every call.
const successesPerMedianUpdate = 16

// recordLatency updates the typical latency with a successful call. It is the lower of
// two values: the mean of all calls, most of which go to fast targets, and the median
// of the targets' means, which a few busy slow targets do not change.
func (p *pool) recordLatency(latency time.Duration) {
	p.meanLatency = updateMean(p.meanLatency, latency.Seconds(), latencySampleWeight/float64(max(1, len(p.targets))))
	p.successes++
	if p.medianLatency == 0 || p.successes%successesPerMedianUpdate == 0 {
		p.medianLatency = medianOfMeans(p.targets)
	}
	p.typicalLatency = min(p.meanLatency, p.medianLatency)
}

// medianOfMeans returns the lower median of the targets' mean latencies in seconds, or
// +Inf if no target has one.
func medianOfMeans(targets []*targetState) float64 {
	means := make([]float64, 0, len(targets))
	for _, s := range targets {
		if s.meanLatency > 0 {
			means = append(means, s.meanLatency)
		}
	}
	if len(means) == 0 {
		return math.Inf(1)
	}
	slices.Sort(means)
	return means[(len(means)-1)/2]
}

// TypicalLatency returns the typical latency of the service, or 0 if it is unknown.
func (r *Router) TypicalLatency(service model.Service) time.Duration {
	p := r.pools[service]
	if p == nil {
		return 0
	}
	return time.Duration(p.typicalLatency * float64(time.Second))
}
