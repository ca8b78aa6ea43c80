package planner

import (
	"math"
	"time"

	"github.com/daisyfold/daisyfold/internal/model"
	"github.com/daisyfold/daisyfold/internal/placement"
	"github.com/daisyfold/daisyfold/internal/queue"
	"github.com/daisyfold/daisyfold/internal/reclaim"
	"github.com/daisyfold/daisyfold/internal/topology"
)

const (
	// minRun is how long a first attempt runs before work that is not urgent may
	// preempt it; shorter runs spend too large a share on stop and restart. It
	// doubles with each attempt, so the stops of a job grow only with the
	// logarithm of its run time.
	minRun      = 5 * time.Minute
	maxDoubling = 4
	// victimRatio bounds how much larger than the job a victim may be, unless the
	// job is urgent: a stopped gang leaves its other accelerators idle and is hard
	// to place again.
	victimRatio = 4
	// higherPriority is how many times dearer it is to reclaim work of a higher
	// priority; a guarantee may do so, but only as the last resort.
	higherPriority = 100
	// smallVictim is how many times smaller than an aged gang a victim must be to
	// give way without having run for a while.
	smallVictim = 4
)

func (p *planning) request(it *queue.Item) *placement.Request {
	spec := &it.Job.Spec
	return &placement.Request{
		Tasks: spec.Tasks, Task: spec.Task, Within: spec.Within, Blocked: p.blocked(it),
		Trial: !spec.NonRepeatable && it.Priority != model.PriorityUrgent,
	}
}

func (p *planning) key(kind searchKind, it *queue.Item) attemptKey {
	spec := &it.Job.Spec
	k := attemptKey{
		kind: kind, tasks: spec.Tasks, task: spec.Task, within: spec.Within, pinned: spec.NonRepeatable,
	}
	switch kind {
	case searchGuaranteed:
		k.org, k.priority = spec.Key.Organisation, it.Priority
	case searchPreempt:
		k.org, k.priority, k.aged = spec.Key.Organisation, it.Priority, it.Aged
	}
	return k
}

// placeGuaranteed starts the job within its organisation's guarantee, reclaiming work
// outside guarantees if needed. It reports whether the job was decided.
func (p *planning) placeGuaranteed(it *queue.Item) bool {
	spec := &it.Job.Spec
	org := spec.Key.Organisation
	if spec.Task.Accelerators == 0 || p.book.Open(org) < spec.Accelerators() {
		return false
	}
	key := p.key(searchGuaranteed, it)
	if p.failed[key] || !p.fairShareOfWorker(spec.Task) {
		return false
	}
	if p.placeWithin(it) {
		return true
	}
	p.failed[key] = true
	return false
}

// placeWithin tries places in order of the harm they do: free ones that no other job
// is to have, any free ones, and last those that guaranteed work may reclaim. Free
// places come before reclaim, because work that was stopped for this job may have been
// promised its place again.
func (p *planning) placeWithin(it *queue.Item) bool {
	outside := p.blocked(it)
	if p.reserved != nil {
		outside = union(outside, p.reserved)
	}
	return p.tryWithin(it, outside, nil) ||
		p.tryWithin(it, p.held, nil) ||
		p.tryWithin(it, p.held, p.spareCost(it))
}

// tryWithin starts the job within its organisation's guarantee if a place is found. It
// tries any place, then the cells of all its shapes, then those of single shapes, which
// always keep the other guarantees whole.
func (p *planning) tryWithin(it *queue.Item, blocked []topology.Mask, cost placement.CostFunc) bool {
	org := it.Job.Spec.Key.Organisation
	for _, allowed := range [][]topology.Mask{p.book.Outside(org), p.book.Cells(org)} {
		if p.tryCells(it, blocked, cost, allowed, nil) {
			return true
		}
	}
	if cost == nil {
		return false
	}
	for _, choice := range p.book.Choices(org, it.Job.Spec.Accelerators()) {
		if p.tryCells(it, blocked, cost, choice.Cells, choice.Bind) {
			return true
		}
	}
	return false
}

// tryCells starts the job on the allowed cells. With bind, the place uses that shape.
func (p *planning) tryCells(
	it *queue.Item, blocked []topology.Mask, cost placement.CostFunc, allowed []topology.Mask, bind func([]model.GangMember),
) bool {
	r := p.request(it)
	r.Allowed = allowed
	r.Blocked = blocked
	found := reclaim.Find(p.table, r, cost)
	if found == nil {
		return false
	}
	if bind != nil {
		bind(found.Members)
	}
	if !p.keepsGuarantees(it, found) {
		return false
	}
	p.accept(it, found, true)
	return true
}

// fairShareOfWorker reports whether a task uses no more CPUs and memory than its
// accelerators' share of the worker. Guaranteed work beyond that share could keep
// another guarantee on the same worker from starting.
func (p *planning) fairShareOfWorker(task model.Resources) bool {
	cell := topology.CellSize(task.Accelerators)
	for i := range p.table.Nodes {
		c := p.table.Nodes[i].Capacity
		if c.Accelerators < cell {
			continue
		}
		if task.CPUs*c.Accelerators <= c.CPUs*cell && task.MemoryMB*c.Accelerators <= c.MemoryMB*cell {
			return true
		}
	}
	return false
}

// keepsGuarantees reports whether the place lies within the organisation's guarantee
// and leaves room for all other guaranteed shapes. It records the shapes in the members.
func (p *planning) keepsGuarantees(it *queue.Item, found *placement.Result) bool {
	extra := &model.Placement{Job: it.Job.Spec.Key, Members: found.Members, Guaranteed: true}
	extra.StartedUnixMS = math.MaxInt64
	after := p.newBook(extra)
	if !after.ExtraWithin || after.Lost() > p.book.Lost() {
		return false
	}
	for i, within := range p.book.Within {
		if within && !after.Within[i] {
			return false
		}
	}
	if p.book.Wastes(after, it.Job.Spec.Key.Organisation, it.Job.Spec.Accelerators()) {
		return false
	}
	after.Record(it.Job.Spec.Key.Organisation, found.Members)
	return true
}

// placeSpare starts the job on spare capacity and gives its reason.
func (p *planning) placeSpare(it *queue.Item) {
	if p.placeFree(it) || p.placeByPreemption(it) {
		return
	}
	if it.Job.Spec.NonRepeatable {
		p.reasonPinned(it)
		return
	}
	p.reason(it.Job, model.ReasonNoFreeShape, "no free place for the gang")
}

// reasonPinned explains why a job that cannot be preempted must wait.
func (p *planning) reasonPinned(it *queue.Item) {
	switch {
	case placement.Find(p.table, p.request(it), nil) == nil:
		p.reason(it.Job, model.ReasonNoFreeShape, "no free place for the gang")
	case p.reserved != nil && !p.endsBeforeShadow(it):
		p.reason(it.Job, model.ReasonWouldDelayReservation, "would delay the gang that has a reservation")
	default:
		p.reason(it.Job, model.ReasonHeldForGuarantee, "no free place that no guarantee needs")
	}
}

// placeFree uses free resources only. A job that cannot be preempted uses the head
// gang's reserved place only if it ends before the head gang can start.
func (p *planning) placeFree(it *queue.Item) bool {
	key := p.key(searchFree, it)
	pinned := it.Job.Spec.NonRepeatable
	key.backfill = pinned && p.endsBeforeShadow(it)
	if p.failed[key] && p.promises[it.Job] == nil {
		return false
	}
	r := p.request(it)
	if pinned {
		r.Allowed = p.unclaimed()
	}
	if pinned && p.reserved != nil && !key.backfill {
		r.Blocked = union(r.Blocked, p.reserved)
	}
	found := placement.Find(p.table, r, nil)
	if found == nil {
		p.failed[key] = true
		return false
	}
	p.accept(it, found, false)
	return true
}

func (p *planning) endsBeforeShadow(it *queue.Item) bool {
	left, ok := p.estimates.Cautious(it.Job.Spec.Class(), it.Size, it.Attained)
	return ok && left <= p.shadow
}

func union(a, b []topology.Mask) []topology.Mask {
	out := make([]topology.Mask, len(a))
	for i := range a {
		out[i] = a[i] | b[i]
	}
	return out
}

// unclaimed returns the accelerators that no guaranteed shape holds. Work that cannot
// be preempted runs only there.
func (p *planning) unclaimed() []topology.Mask {
	out := make([]topology.Mask, len(p.table.Nodes))
	claimed := p.book.AllCells()
	for i := range out {
		out[i] = p.table.Nodes[i].All &^ claimed[i]
	}
	return out
}

// placeByPreemption clears a place of work that the job may preempt.
func (p *planning) placeByPreemption(it *queue.Item) bool {
	key := p.key(searchPreempt, it)
	if p.failed[key] && p.promises[it.Job] == nil {
		return false
	}
	r := p.request(it)
	if it.Job.Spec.NonRepeatable {
		r.Allowed = p.unclaimed()
	}
	found := reclaim.Find(p.table, r, p.queueCost(it))
	if found == nil {
		p.failed[key] = true
		return false
	}
	p.accept(it, found, false)
	return true
}

// spareCost lets guaranteed work reclaim any work outside guarantees.
func (p *planning) spareCost(it *queue.Item) placement.CostFunc {
	return func(gang int) (float64, bool) {
		if gang >= p.running || p.pinned(gang) {
			return 0, false
		}
		if p.stopping[gang] {
			return 0, true
		}
		g := &p.table.Gangs[gang]
		if p.book.Within[gang] {
			return 0, false
		}
		cost := reclaim.LostWork(g, p.snap.Now)
		if g.Priority > it.Priority {
			cost *= higherPriority
		}
		return cost, true
	}
}

// queueCost lets a job outside a guarantee preempt work of lower priority, and work
// of its own priority once it waited for longer than the starvation bound.
func (p *planning) queueCost(it *queue.Item) placement.CostFunc {
	return func(gang int) (float64, bool) {
		if gang >= p.running || p.pinned(gang) {
			return 0, false
		}
		if p.stopping[gang] {
			return 0, true
		}
		if !p.outranks(it, gang) {
			return 0, false
		}
		return reclaim.LostWork(&p.table.Gangs[gang], p.snap.Now), true
	}
}

func (p *planning) outranks(it *queue.Item, gang int) bool {
	g := &p.table.Gangs[gang]
	if g.Priority > it.Priority {
		return false
	}
	urgent := it.Priority == model.PriorityUrgent && g.Priority < it.Priority
	if p.book.Within[gang] {
		return urgent && g.Job.Organisation == it.Job.Spec.Key.Organisation
	}
	if urgent {
		return true
	}
	if p.shielded(it, gang) {
		return false
	}
	return g.Priority < it.Priority || it.Aged
}

// shielded reports whether a gang started too recently or is too large to be stopped
// for a job that could also wait.
func (p *planning) shielded(it *queue.Item, gang int) bool {
	g := &p.table.Gangs[gang]
	size := gangSize(g.Placement)
	if size > victimRatio*it.Size {
		return true
	}
	shield := protected(g)
	if it.Aged && size*smallVictim < it.Size {
		// Backfill on the place of a gang that waited for long gives way at once.
		shield = 0
	}
	return p.ran(g) < shield
}

// protected returns how long an attempt runs before it may be preempted.
func protected(g *topology.Gang) time.Duration {
	return minRun << min(max(g.Attempt-1, 0), maxDoubling)
}

// ran returns how long the current attempt has run; a starting one has not run.
func (p *planning) ran(g *topology.Gang) time.Duration {
	if g.StartedUnixMS == 0 {
		return 0
	}
	return p.snap.Now.Sub(time.UnixMilli(g.StartedUnixMS))
}

func gangSize(r *model.Placement) int {
	if n := accelerators(r); n > 0 {
		return n
	}
	return len(r.Members)
}
