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

// gate is the lock around the routing decisions of one host. Its lock is the last
// one in the blackboard's order (Calls).
type gate struct {
	board *blackboard.Board
	// listed is told the targets of each new host list; may be nil.
	listed func([]model.Target)

	refreshing sync.Mutex // taken before the locks of the board's tables

	mu      sync.Mutex
	router  *routing.Router
	rates   routing.RateLimits
	queues  map[model.Service]*routing.Queue
	budgets map[model.Service]*routing.RetryBudget
	list    *hostlist.List // that the router was updated with
	hosts   int
	cfg     *blackboard.Configuration
	out     map[model.Zone]bool
}

// patience is how many times the usual latency an attempt is given at least.
const patience = 8

func newGate(board *blackboard.Board, o routing.Options) *gate {
	return &gate{
		board:   board,
		router:  routing.New(o),
		queues:  map[model.Service]*routing.Queue{},
		budgets: map[model.Service]*routing.RetryBudget{},
	}
}

// refresh takes over a new host list, member list and configuration. Refreshes follow
// one another, so that an older table never replaces a newer one.
func (g *gate) refresh() {
	g.refreshing.Lock()
	defer g.refreshing.Unlock()
	cfg, list, hosts := g.board.Config.Get(), g.board.Hosts.Get(), len(g.board.Members.List())
	g.mu.Lock()
	defer g.mu.Unlock()
	if cfg != g.cfg && cfg != nil {
		g.cfg = cfg
		g.out = zonesOut(cfg.Text)
	}
	if list == nil || list == g.list && hosts == g.hosts {
		return
	}
	g.list, g.hosts = list, hosts
	g.router.Update(list.Targets, hosts)
	g.serveAll(time.Now())
	if g.listed != nil {
		g.listed(list.Targets)
	}
}

func zonesOut(text *config.Config) map[model.Zone]bool {
	out := map[model.Zone]bool{}
	for _, z := range text.AvailabilityZones {
		if !z.InService {
			out[z.Name] = true
		}
	}
	return out
}

func (g *gate) allow(now time.Time, org model.Organisation, perSecond float64) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.rates.Allow(now, org, perSecond)
}

// missingDependency returns a service that svc depends on, directly or through
// others, and that is unavailable; empty if there is none.
func (g *gate) missingDependency(now time.Time, cfg *blackboard.Configuration, svc *config.Service) model.Service {
	g.refresh()
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.missing(now, cfg, svc, map[model.Service]bool{svc.Name: true})
}

func (g *gate) missing(now time.Time, cfg *blackboard.Configuration, svc *config.Service, seen map[model.Service]bool) model.Service {
	for _, name := range svc.DependsOn {
		if seen[name] {
			continue
		}
		seen[name] = true
		dep := cfg.Service(name)
		if dep == nil || !g.available(now, dep) {
			return name
		}
		if m := g.missing(now, cfg, dep, seen); m != "" {
			return m
		}
	}
	return ""
}

// available reports whether a service can do work: a target accepts requests, or
// for a service of jobs, a zone with workers is in service.
func (g *gate) available(now time.Time, svc *config.Service) bool {
	if svc.Kind == config.KindRequests {
		return g.router.Available(now, svc.Name, g.out)
	}
	if g.list == nil {
		return false
	}
	for i := range g.list.Workers {
		if !g.out[g.list.Workers[i].Zone] {
			return true
		}
	}
	return false
}

// acquire reserves a target, waiting in the service's queue while all are busy.
func (g *gate) acquire(ctx context.Context, p *plan, tried map[model.TargetID]bool) (routing.Choice, *apierror.Error) {
	g.refresh()
	now := time.Now()
	g.mu.Lock()
	q := routing.Query{Service: p.req.Service, MaxInFlight: p.service.maxInFlight, Out: g.out, Exclude: tried}
	queue := g.queue(p.req.Service)
	c := routing.Choice{Reason: routing.ReasonBusy}
	if queue.Len() == 0 {
		c = g.router.Choose(now, q)
	}
	if c.OK || c.Reason != routing.ReasonBusy {
		g.mu.Unlock()
		return c, refusal(p, c)
	}
	queue.Expected = g.router.Usual(p.req.Service)
	t := routing.NewTicket(q, now, p.deadline)
	if !queue.Push(t) {
		g.mu.Unlock()
		return c, apierror.NotRun(apierror.CodeOverloaded, "service %s: the queue is full or the deadline too near", p.req.Service)
	}
	latest := queue.LatestStart(t)
	g.mu.Unlock()
	return g.wait(ctx, p, queue, t, time.Until(latest))
}

// precheck refuses a request that has no target or whose queue is long, without
// reserving anything.
func (g *gate) precheck(p *plan) *apierror.Error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.router.Available(time.Now(), p.req.Service, g.out) {
		return apierror.NotRun(apierror.CodeNoTarget, "service %s has no target that accepts requests", p.req.Service)
	}
	if g.queue(p.req.Service).Full() {
		return apierror.NotRun(apierror.CodeOverloaded, "service %s: the queue is full", p.req.Service)
	}
	return nil
}

// wait returns the choice that the ticket gets, or sheds the request when it has
// waited too long.
func (g *gate) wait(ctx context.Context, p *plan, queue *routing.Queue, t *routing.Ticket, longest time.Duration) (routing.Choice, *apierror.Error) {
	timer := time.NewTimer(longest)
	defer timer.Stop()
	select {
	case c := <-t.Ready:
		return c, nil
	case <-timer.C:
	case <-ctx.Done():
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if !queue.Remove(t) {
		return <-t.Ready, nil
	}
	if ctx.Err() != nil {
		return routing.Choice{}, apierror.NotRun(apierror.CodeDeadline, "service %s: no target was free before the deadline", p.req.Service)
	}
	return routing.Choice{}, apierror.NotRun(apierror.CodeOverloaded, "service %s: no target was free in time", p.req.Service)
}

// done ends an attempt and gives the slot to a waiting request.
func (g *gate) done(c routing.Choice, res routing.Result) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	g.router.Done(now, c, res)
	g.serve(now, c.Target.Service)
}

func (g *gate) serve(now time.Time, service model.Service) {
	g.queue(service).Serve(now, func(q routing.Query) routing.Choice {
		q.Out = g.out
		return g.router.Choose(now, q)
	})
}

func (g *gate) serveAll(now time.Time) {
	for service := range g.queues {
		g.serve(now, service)
	}
}

func (g *gate) queue(service model.Service) *routing.Queue {
	q := g.queues[service]
	if q == nil {
		q = &routing.Queue{}
		g.queues[service] = q
	}
	return q
}

// called notes a first attempt in the service's retry budget.
func (g *gate) called(service model.Service) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.budget(service).Call()
}

// attemptTime is how long one attempt of a repeatable request may take. While a retry
// can be paid, half of the time is kept for it, unless that is short for the service.
func (g *gate) attemptTime(p *plan) time.Duration {
	left := time.Until(p.deadline)
	g.mu.Lock()
	defer g.mu.Unlock()
	usual := g.router.Usual(p.req.Service)
	if usual == 0 || !g.budget(p.req.Service).Enough() {
		return left
	}
	return min(left, max(left/2, patience*usual))
}

// mayRetry takes a retry from the service's budget.
func (g *gate) mayRetry(service model.Service) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.budget(service).Spend()
}

func (g *gate) budget(service model.Service) *routing.RetryBudget {
	b := g.budgets[service]
	if b == nil {
		b = &routing.RetryBudget{}
		g.budgets[service] = b
	}
	return b
}

// refusal turns a choice without a target into an error, or returns nil.
func refusal(p *plan, c routing.Choice) *apierror.Error {
	if c.OK {
		return nil
	}
	return apierror.NotRun(apierror.CodeNoTarget, "service %s has no target: %s", p.req.Service, c.Reason)
}
