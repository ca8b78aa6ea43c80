package calls

import (
	"context"
	"sync"
	"time"

	"github.com/daisyfold/daisyfold/internal/apierror"
	"github.com/daisyfold/daisyfold/internal/blackboard"
	"github.com/daisyfold/daisyfold/internal/config"
	"github.com/daisyfold/daisyfold/internal/model"
	"github.com/daisyfold/daisyfold/internal/platform/hostlist"
	"github.com/daisyfold/daisyfold/internal/routing"
)

// dispatcher makes the routing decisions of one host and makes package routing safe for
// concurrent use. Its mutex is the last one in the lock order of package blackboard
// (Calls).
type dispatcher struct {
	board *blackboard.Board
	// onTargets is called with the targets of each new host list, unless it is nil.
	onTargets func([]model.Target)

	refreshMu sync.Mutex // locked before the locks of the board's tables

	mu                sync.Mutex
	router            *routing.Router
	rateLimits        routing.RateLimits
	queues            map[model.Service]*routing.Queue
	retryBudgets      map[model.Service]*routing.RetryBudget
	hostList          *hostlist.List // last list passed to the router
	hostCount         int
	cfg               *blackboard.Configuration
	zonesOutOfService map[model.Zone]bool
}

// minAttemptLatencies is the minimum timeout of an attempt, as a multiple of the typical
// latency of the service.
const minAttemptLatencies = 8

func newDispatcher(board *blackboard.Board, o routing.Options) *dispatcher {
	return &dispatcher{
		board:        board,
		router:       routing.New(o),
		queues:       map[model.Service]*routing.Queue{},
		retryBudgets: map[model.Service]*routing.RetryBudget{},
	}
}

// refresh applies a new host list, member list and configuration. Refreshes are
// serialized, so that an older version never replaces a newer one.
func (d *dispatcher) refresh() {
	d.refreshMu.Lock()
	defer d.refreshMu.Unlock()
	cfg, list, hosts := d.board.Config.Get(), d.board.Hosts.Get(), len(d.board.Members.List())
	d.mu.Lock()
	defer d.mu.Unlock()
	if cfg != d.cfg && cfg != nil {
		d.cfg = cfg
		d.zonesOutOfService = zonesOutOfService(cfg.Parsed)
	}
	if list == nil || list == d.hostList && hosts == d.hostCount {
		return
	}
	d.hostList, d.hostCount = list, hosts
	d.router.Update(list.Targets, hosts)
	d.dispatchAllQueued(time.Now())
	if d.onTargets != nil {
		d.onTargets(list.Targets)
	}
}

// zonesOutOfService returns the zones that the configuration takes out of service.
func zonesOutOfService(cfg *config.Config) map[model.Zone]bool {
	out := map[model.Zone]bool{}
	for _, z := range cfg.AvailabilityZones {
		if !z.InService {
			out[z.Name] = true
		}
	}
	return out
}

// allow reports whether the organisation's rate limit allows a request, and counts it.
func (d *dispatcher) allow(now time.Time, org model.Organisation, perSecond float64) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.rateLimits.Allow(now, org, perSecond)
}

// missingDependency returns an unavailable service that svc depends on, directly or
// through others, or "" if there is none.
func (d *dispatcher) missingDependency(now time.Time, cfg *blackboard.Configuration, svc *config.Service) model.Service {
	d.refresh()
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.findMissingDependency(now, cfg, svc, map[model.Service]bool{svc.Name: true})
}

// findMissingDependency is missingDependency for a caller that holds the mutex. It skips
// the services in seen, so that dependency cycles end.
func (d *dispatcher) findMissingDependency(now time.Time, cfg *blackboard.Configuration, svc *config.Service, seen map[model.Service]bool) model.Service {
	for _, name := range svc.DependsOn {
		if seen[name] {
			continue
		}
		seen[name] = true
		dep := cfg.Service(name)
		if dep == nil || !d.available(now, dep) {
			return name
		}
		if m := d.findMissingDependency(now, cfg, dep, seen); m != "" {
			return m
		}
	}
	return ""
}

// available reports whether a service can run work: a target accepts requests, or, for a
// service of jobs, a zone with workers is in service.
func (d *dispatcher) available(now time.Time, svc *config.Service) bool {
	if svc.Kind == config.KindRequests {
		return d.router.Available(now, svc.Name, d.zonesOutOfService)
	}
	if d.hostList == nil {
		return false
	}
	for i := range d.hostList.Workers {
		if !d.zonesOutOfService[d.hostList.Workers[i].Zone] {
			return true
		}
	}
	return false
}

// acquire reserves a slot on a target, waiting in the service's queue while all slots are
// used. Unless it returns an error, the caller must call release. tried holds the targets
// that the request has tried.
func (d *dispatcher) acquire(ctx context.Context, p *preparedRequest, tried map[model.TargetID]bool) (routing.Choice, *apierror.Error) {
	d.refresh()
	now := time.Now()
	d.mu.Lock()
	query := routing.Query{Service: p.req.Service, MaxInFlight: p.service.maxInFlight, ZonesOutOfService: d.zonesOutOfService, Exclude: tried}
	queue := d.queue(p.req.Service)
	c := routing.Choice{Reason: routing.ReasonAllSlotsUsed}
	if queue.Len() == 0 {
		c = d.router.Choose(now, query)
	}
	if c.OK || c.Reason != routing.ReasonAllSlotsUsed {
		d.mu.Unlock()
		return c, noTargetError(p, c)
	}
	queue.ExpectedLatency = d.router.TypicalLatency(p.req.Service)
	waiter := routing.NewWaiter(query, now, p.deadline)
	if !queue.Push(waiter) {
		d.mu.Unlock()
		return c, apierror.NotRun(apierror.CodeOverloaded, "service %s: the queue is full or the deadline is too close", p.req.Service)
	}
	latestStart := queue.LatestStart(waiter)
	d.mu.Unlock()
	return d.waitForTarget(ctx, p, queue, waiter, time.Until(latestStart))
}

// precheck returns an error if the request has no target or its queue is full, without
// reserving a slot.
func (d *dispatcher) precheck(p *preparedRequest) *apierror.Error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.router.Available(time.Now(), p.req.Service, d.zonesOutOfService) {
		return apierror.NotRun(apierror.CodeNoTarget, "service %s has no target that accepts requests", p.req.Service)
	}
	if d.queue(p.req.Service).Full() {
		return apierror.NotRun(apierror.CodeOverloaded, "service %s: the queue is full", p.req.Service)
	}
	return nil
}

// waitForTarget returns the choice that the waiter gets, or an error if it gets none
// within maxWait or before ctx ends.
func (d *dispatcher) waitForTarget(ctx context.Context, p *preparedRequest, queue *routing.Queue, waiter *routing.Waiter, maxWait time.Duration) (routing.Choice, *apierror.Error) {
	timer := time.NewTimer(maxWait)
	defer timer.Stop()
	select {
	case c := <-waiter.Ready:
		return c, nil
	case <-timer.C:
	case <-ctx.Done():
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if !queue.Remove(waiter) {
		return <-waiter.Ready, nil
	}
	if ctx.Err() != nil {
		return routing.Choice{}, apierror.NotRun(apierror.CodeDeadlineExceeded, "service %s: no target was free before the deadline", p.req.Service)
	}
	return routing.Choice{}, apierror.NotRun(apierror.CodeOverloaded, "service %s: no target was free in time", p.req.Service)
}

// release records the result of an attempt, frees its slot and gives it to a waiting
// request.
func (d *dispatcher) release(c routing.Choice, res routing.Result) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	d.router.Done(now, c, res)
	d.dispatchQueued(now, c.Target.Service)
}

// dispatchQueued gives free slots to the service's waiting requests.
func (d *dispatcher) dispatchQueued(now time.Time, service model.Service) {
	d.queue(service).Dispatch(now, func(q routing.Query) routing.Choice {
		q.ZonesOutOfService = d.zonesOutOfService
		return d.router.Choose(now, q)
	})
}

func (d *dispatcher) dispatchAllQueued(now time.Time) {
	for service := range d.queues {
		d.dispatchQueued(now, service)
	}
}

func (d *dispatcher) queue(service model.Service) *routing.Queue {
	q := d.queues[service]
	if q == nil {
		q = &routing.Queue{}
		d.queues[service] = q
	}
	return q
}

// recordCall adds a first attempt to the service's retry budget.
func (d *dispatcher) recordCall(service model.Service) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.retryBudget(service).RecordCall()
}

// attemptTimeout returns the timeout of one attempt of a repeatable request. While the
// budget allows a retry, half of the remaining time is reserved for it, unless the other
// half is less than minAttemptLatencies typical latencies of the service.
func (d *dispatcher) attemptTimeout(p *preparedRequest) time.Duration {
	left := time.Until(p.deadline)
	d.mu.Lock()
	defer d.mu.Unlock()
	typicalLatency := d.router.TypicalLatency(p.req.Service)
	if typicalLatency == 0 || !d.retryBudget(p.req.Service).CanRetry() {
		return left
	}
	return min(left, max(left/2, minAttemptLatencies*typicalLatency))
}

// takeRetry reports whether the service's budget allows a retry and, if so, takes it.
func (d *dispatcher) takeRetry(service model.Service) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.retryBudget(service).TakeRetry()
}

func (d *dispatcher) retryBudget(service model.Service) *routing.RetryBudget {
	b := d.retryBudgets[service]
	if b == nil {
		b = &routing.RetryBudget{}
		d.retryBudgets[service] = b
	}
	return b
}

// noTargetError returns the error of a choice without a target, or nil if it has one.
func noTargetError(p *preparedRequest, c routing.Choice) *apierror.Error {
	if c.OK {
		return nil
	}
	return apierror.NotRun(apierror.CodeNoTarget, "service %s has no target: %s", p.req.Service, c.Reason)
}
