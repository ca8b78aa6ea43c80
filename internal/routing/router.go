// Package routing decides which target gets a request, when it is retried and when
// it is refused. It does no I/O: time and observations go in, decisions and their
// reasons come out. Its types are not safe for concurrent use.
package routing

import (
	"math"
	"math/rand/v2"
	"slices"
	"sort"
	"time"

	"github.com/daisyfold/daisyfold/internal/model"
)

// Reason says why a target was chosen or why there is none.
type Reason string

// Reasons of a choice.
const (
	ReasonOwnZone     Reason = "own_zone"
	ReasonOtherZone   Reason = "other_zone"
	ReasonProbe       Reason = "probe"
	ReasonNoTarget    Reason = "no_target"      // the service has no target in service
	ReasonBusy        Reason = "all_slots_used" // targets exist, but no slot is free
	ReasonBreakerOpen Reason = "breakers_open"  // every target that is not busy fails
	ReasonLeaving     Reason = "all_leaving"    // every target is leaving
)

// Query asks for a target.
type Query struct {
	Service model.Service
	// MaxInFlight bounds the requests of the service in flight at this host; 0
	// means no bound.
	MaxInFlight int
	// Out holds the availability zones that are out of service.
	Out map[model.Zone]bool
	// Exclude holds targets that the request has already tried.
	Exclude map[model.TargetID]bool
}

// Choice is the answer to a query. OK is false when there is no target.
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
	Policy Policy // PowerOfTwo if nil
	Seed   uint64
}

// Router chooses targets for one entry host.
type Router struct {
	zone     model.Zone
	policy   Policy
	random   *rand.Rand
	targets  map[model.TargetID]*targetState
	services map[model.Service]*pool
	// groups is scratch space of pick: own, other, avoided own and avoided other.
	groups [4][]*targetState
}

// pool is the targets of one service, sorted by id so that choices repeat with the
// same seed.
type pool struct {
	targets   []*targetState
	inFlight  int
	successes int
	mean      float64 // seconds, of all successful calls
	median    float64 // seconds, of the targets' means
	latency   float64 // seconds, the usual latency; 0 before the first success
}

// New returns a router without targets.
func New(o Options) *Router {
	if o.Policy == nil {
		o.Policy = PowerOfTwo{}
	}
	return &Router{
		zone:     o.Zone,
		policy:   o.Policy,
		random:   rand.New(rand.NewPCG(o.Seed, uint64(len(o.Zone)))),
		targets:  map[model.TargetID]*targetState{},
		services: map[model.Service]*pool{},
	}
}

// Update replaces the targets. hosts is the number of entry hosts that share each
// target's connections. Observations of targets that stay are kept.
func (r *Router) Update(targets []model.Target, hosts int) {
	old := r.targets
	r.targets = make(map[model.TargetID]*targetState, len(targets))
	for _, t := range targets {
		r.keep(old[t.ID], t, hosts)
	}
	r.group()
}

func (r *Router) keep(s *targetState, t model.Target, hosts int) {
	open := t.ConnectionsPerHost(hosts)
	if s == nil || s.target.Address != t.Address {
		s = newTargetState(t, open)
	}
	s.update(t, open)
	r.targets[t.ID] = s
}

// group sorts the targets into pools. A pool outlives its targets while requests of
// its service are in flight.
func (r *Router) group() {
	for _, p := range r.services {
		p.targets = nil
	}
	for _, s := range r.targets {
		p := r.services[s.target.Service]
		if p == nil {
			p = &pool{}
			r.services[s.target.Service] = p
		}
		p.targets = append(p.targets, s)
	}
	for service, p := range r.services {
		if len(p.targets) == 0 && p.inFlight == 0 {
			delete(r.services, service)
		}
		sort.Slice(p.targets, func(i, j int) bool { return p.targets[i].target.ID < p.targets[j].target.ID })
	}
}

// Available reports whether the service has a target in service that accepts
// requests, busy or not. A target whose breaker is open does not count.
func (r *Router) Available(now time.Time, service model.Service, out map[model.Zone]bool) bool {
	p := r.services[service]
	if p == nil {
		return false
	}
	for _, s := range p.targets {
		if !s.leaving(now) && !out[s.target.Zone] && s.breaker.admits(now) {
			return true
		}
	}
	return false
}

// Choose picks a target and reserves a slot on it; Done must follow. Targets in the
// router's own zone come first, others when it has none that fits or is out, and
// targets that the request has tried only when there is no other.
func (r *Router) Choose(now time.Time, q Query) Choice {
	p := r.services[q.Service]
	if p == nil {
		return Choice{Reason: ReasonNoTarget}
	}
	if q.MaxInFlight > 0 && p.inFlight >= q.MaxInFlight {
		return Choice{Reason: ReasonBusy}
	}
	if s, why := r.pick(now, p, q); s != nil {
		return p.begin(s, why)
	}
	if len(q.Exclude) > 0 {
		q.Exclude = nil
		return r.Choose(now, q)
	}
	return Choice{Reason: p.refusal(now, q)}
}

func (p *pool) begin(s *targetState, why Reason) Choice {
	s.inFlight++
	p.inFlight++
	if s.breaker.begin() {
		why = ReasonProbe
	}
	return Choice{Target: s.target, Reason: why, OK: true, state: s, pool: p}
}

// pick returns a target that fits, or nil. Targets that the policy avoids come after
// those of any zone that it does not, and within these groups the own zone is first.
func (r *Router) pick(now time.Time, p *pool, q Query) (*targetState, Reason) {
	groups := &r.groups
	for i := range groups {
		groups[i] = groups[i][:0]
	}
	for _, s := range p.targets {
		if !fits(now, s, q) {
			continue
		}
		if s.breaker.open() {
			return s, ReasonProbe // a due probe goes first, so that capacity returns
		}
		group := 0
		if s.target.Zone != r.zone {
			group++
		}
		if r.policy.avoids(now, s, p.latency) {
			group += 2
		}
		groups[group] = append(groups[group], s)
	}
	for i, fit := range groups {
		if len(fit) == 0 {
			continue
		}
		why := ReasonOwnZone
		if i%2 == 1 {
			why = ReasonOtherZone
		}
		if s := r.policy.pick(now, fit, view{random: r.random, usual: p.latency}); s != nil {
			return s, why
		}
	}
	return nil, ""
}

func fits(now time.Time, s *targetState, q Query) bool {
	return !s.leaving(now) && !q.Out[s.target.Zone] && !q.Exclude[s.target.ID] &&
		s.free() && s.breaker.admits(now)
}

// refusal says why no target of the pool fits.
func (p *pool) refusal(now time.Time, q Query) Reason {
	why := ReasonNoTarget
	for _, s := range p.targets {
		switch {
		case q.Out[s.target.Zone]:
		case s.leaving(now):
			why = ReasonLeaving
		case !s.breaker.admits(now):
			if why != ReasonBusy {
				why = ReasonBreakerOpen
			}
		case !s.free():
			why = ReasonBusy
		}
	}
	return why
}

// Done ends the attempt of a choice and frees its slot. It must be called once for
// each choice that is OK.
func (r *Router) Done(now time.Time, c Choice, res Result) {
	c.pool.inFlight--
	c.state.observe(now, res)
	if res.Kind == ResultOK {
		c.pool.observe(res.Latency)
	}
}

// medianEvery is after how many successes the median is taken again, to keep its cost
// small.
const medianEvery = 16

// observe takes in a successful call. The usual latency is the lower of the mean of
// all calls, which are mostly on fast targets, and the median of the targets, which
// a few busy slow ones do not move.
func (p *pool) observe(d time.Duration) {
	p.mean = blend(p.mean, d.Seconds(), latencyGain/float64(max(1, len(p.targets))))
	p.successes++
	if p.median == 0 || p.successes%medianEvery == 0 {
		p.median = medianLatency(p.targets)
	}
	p.latency = min(p.mean, p.median)
}

func medianLatency(targets []*targetState) float64 {
	means := make([]float64, 0, len(targets))
	for _, s := range targets {
		if s.latency > 0 {
			means = append(means, s.latency)
		}
	}
	if len(means) == 0 {
		return math.Inf(1)
	}
	slices.Sort(means)
	return means[(len(means)-1)/2]
}

// Usual returns the usual latency of the service, 0 if unknown.
func (r *Router) Usual(service model.Service) time.Duration {
	p := r.services[service]
	if p == nil {
		return 0
	}
	return time.Duration(p.latency * float64(time.Second))
}
