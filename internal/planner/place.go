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
	// minRunBeforePreemption is how long a first attempt runs before a job that is not
	// urgent may preempt it. Shorter runs would spend too much of their time on
	// stopping and restarting. It doubles with each attempt, at most
	// maxMinRunDoublings times, so that the number of preemptions of a job grows only
	// with the logarithm of its run time.
	minRunBeforePreemption = 5 * time.Minute
	maxMinRunDoublings     = 4
	// maxVictimSizeRatio is how many times larger than the job a victim may be, unless
	// the job is urgent. Preempting a larger gang leaves its other accelerators idle,
	// and the gang is hard to place again.
	maxVictimSizeRatio = 4
	// higherPriorityCostFactor multiplies the cost of reclaiming resources from a gang
	// of higher priority, which a guarantee permits only as a last resort.
	higherPriorityCostFactor = 100
	// smallVictimSizeRatio is how many times smaller than an aged gang a victim must
	// be to lose the protection of minRunBeforePreemption.
	smallVictimSizeRatio = 4
)

// placementRequest returns the request for a placement on resources that are not held for
// other jobs.
func (p *planState) placementRequest(item *queue.Item) *placement.Request {
	spec := &item.Job.Spec
	return &placement.Request{
		Tasks: spec.Tasks, Task: spec.Task, Within: spec.Within, Blocked: p.heldForOthers(item),
		AllowProbation: !spec.NonRepeatable && item.Priority != model.PriorityUrgent,
	}
}

func (p *planState) newSearchKey(kind searchKind, item *queue.Item) searchKey {
	spec := &item.Job.Spec
	k := searchKey{
		kind: kind, tasks: spec.Tasks, task: spec.Task, within: spec.Within, nonPreemptible: spec.NonRepeatable,
	}
	switch kind {
	case searchGuaranteed:
		k.org, k.priority = spec.Key.Organisation, item.Priority
	case searchPreempt:
		k.org, k.priority, k.aged = spec.Key.Organisation, item.Priority, item.Aged
	}
	return k
}

// placeGuaranteed starts the job within its organisation's guarantee, reclaiming resources
// from gangs outside guarantees if needed. It reports whether the job is decided.
func (p *planState) placeGuaranteed(item *queue.Item) bool {
	spec := &item.Job.Spec
	org := spec.Key.Organisation
	if spec.Task.Accelerators == 0 || p.guarantees.UnusedAccelerators(org) < spec.Accelerators() {
		return false
	}
	key := p.newSearchKey(searchGuaranteed, item)
	if p.failedSearches[key] || !p.withinWorkerShare(spec.Task) {
		return false
	}
	if p.placeInGuarantee(item) {
		return true
	}
	p.failedSearches[key] = true
	return false
}

// placeInGuarantee tries resources in order of the harm to other jobs: free ones that are
// not held, promised or reserved for another job, then also promised and reserved ones,
// and last those that guaranteed work may reclaim. Free resources come before reclaiming,
// because those freed for this job may have been promised to the job that was stopped.
func (p *planState) placeInGuarantee(item *queue.Item) bool {
	unavailable := p.heldForOthers(item)
	if p.headReservation != nil {
		unavailable = union(unavailable, p.headReservation)
	}
	return p.tryInGuarantee(item, unavailable, nil) ||
		p.tryInGuarantee(item, p.heldForPreemptors, nil) ||
		p.tryInGuarantee(item, p.heldForPreemptors, p.reclaimCost(item))
}

// tryInGuarantee starts the job within its organisation's guarantee if it fits, and reports
// whether it did. It tries all accelerators that are not bound to other organisations, then
// the cells of all shapes of the organisation, then those of single shapes, which always
// preserve the other guarantees.
func (p *planState) tryInGuarantee(item *queue.Item, blocked []topology.Mask, cost placement.CostFunc) bool {
	org := item.Job.Spec.Key.Organisation
	for _, allowed := range [][]topology.Mask{p.guarantees.NotBoundToOthers(org), p.guarantees.CellsOf(org)} {
		if p.tryAllowedCells(item, blocked, cost, allowed, nil) {
			return true
		}
	}
	if cost == nil {
		return false
	}
	for _, choice := range p.guarantees.ShapeChoices(org, item.Job.Spec.Accelerators()) {
		if p.tryAllowedCells(item, blocked, cost, choice.Cells, choice.RecordShape) {
			return true
		}
	}
	return false
}

// tryAllowedCells starts the job on the allowed accelerators if it fits and all guarantees
// are preserved, and reports whether it did. recordShape, if not nil, records the shape
// that the members use.
func (p *planState) tryAllowedCells(
	item *queue.Item, blocked []topology.Mask, cost placement.CostFunc, allowed []topology.Mask, recordShape func([]model.GangMember),
) bool {
	r := p.placementRequest(item)
	r.Allowed = allowed
	r.Blocked = blocked
	found := reclaim.Find(p.table, r, cost)
	if found == nil {
		return false
	}
	if recordShape != nil {
		recordShape(found.Members)
	}
	if !p.preservesGuarantees(item, found) {
		return false
	}
	p.start(item, found, true)
	return true
}

// withinWorkerShare reports whether a task's share of a worker's CPUs and memory is no larger
// than its cell's share of the worker's accelerators. Guaranteed work beyond that share could prevent
// work of another guarantee from starting on the same worker.
func (p *planState) withinWorkerShare(task model.Resources) bool {
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

// preservesGuarantees reports whether the placement lies within the organisation's
// guarantee and all other guaranteed shapes still fit. If so, it records the shapes in the
// members.
func (p *planState) preservesGuarantees(item *queue.Item, found *placement.Result) bool {
	extra := &model.Placement{Job: item.Job.Spec.Key, Members: found.Members, Guaranteed: true}
	extra.StartedUnixMS = math.MaxInt64
	after := p.newGuaranteeState(extra)
	if !after.ExtraCovered || after.Shortfall() > p.guarantees.Shortfall() {
		return false
	}
	for i, covered := range p.guarantees.Covered {
		if covered && !after.Covered[i] {
			return false
		}
	}
	if p.guarantees.WastesShape(after, item.Job.Spec.Key.Organisation, item.Job.Spec.Accelerators()) {
		return false
	}
	after.RecordShapes(item.Job.Spec.Key.Organisation, found.Members)
	return true
}

// placeSpare starts the job on spare capacity or adds the reason why it waits.
func (p *planState) placeSpare(item *queue.Item) {
	if p.placeOnFree(item) || p.placeByPreemption(item) {
		return
	}
	if item.Job.Spec.NonRepeatable {
		p.addNonPreemptibleReason(item)
		return
	}
	p.addReason(item.Job, model.ReasonNoFreeShape, "no free place for the gang")
}

// addNonPreemptibleReason adds the reason why a non-preemptible job waits.
func (p *planState) addNonPreemptibleReason(item *queue.Item) {
	switch {
	case placement.Find(p.table, p.placementRequest(item), nil) == nil:
		p.addReason(item.Job, model.ReasonNoFreeShape, "no free place for the gang")
	case p.headReservation != nil && !p.endsBeforeShadowTime(item):
		p.addReason(item.Job, model.ReasonWouldDelayReservation, "would delay the gang that has a reservation")
	default:
		p.addReason(item.Job, model.ReasonHeldForGuarantee, "no free place outside guaranteed shapes")
	}
}

// placeOnFree starts the job on free resources if it fits, and reports whether it did. A
// non-preemptible job uses the accelerators reserved for the head gang only if it is
// expected to end before the head gang can start.
func (p *planState) placeOnFree(item *queue.Item) bool {
	key := p.newSearchKey(searchFree, item)
	nonPreemptible := item.Job.Spec.NonRepeatable
	key.backfill = nonPreemptible && p.endsBeforeShadowTime(item)
	if p.failedSearches[key] && p.promisedByJob[item.Job] == nil {
		return false
	}
	r := p.placementRequest(item)
	if nonPreemptible {
		r.Allowed = p.outsideGuarantees()
	}
	if nonPreemptible && p.headReservation != nil && !key.backfill {
		r.Blocked = union(r.Blocked, p.headReservation)
	}
	found := placement.Find(p.table, r, nil)
	if found == nil {
		p.failedSearches[key] = true
		return false
	}
	p.start(item, found, false)
	return true
}

// endsBeforeShadowTime reports whether the job is expected to end before the head gang can
// start.
func (p *planState) endsBeforeShadowTime(item *queue.Item) bool {
	remaining, ok := p.estimates.ConservativeRemaining(item.Job.Spec.Class(), item.Size, item.Attained)
	return ok && remaining <= p.shadowTime
}

// union returns the union of the masks of each node.
func union(a, b []topology.Mask) []topology.Mask {
	out := make([]topology.Mask, len(a))
	for i := range a {
		out[i] = a[i] | b[i]
	}
	return out
}

// outsideGuarantees returns the accelerators that belong to no guaranteed shape, by node.
// Non-preemptible jobs outside guarantees run only there.
func (p *planState) outsideGuarantees() []topology.Mask {
	out := make([]topology.Mask, len(p.table.Nodes))
	guaranteed := p.guarantees.AllCells()
	for i := range out {
		out[i] = p.table.Nodes[i].AllAccelerators &^ guaranteed[i]
	}
	return out
}

// placeByPreemption places the job on resources of gangs that it may preempt, and reports
// whether it fits.
func (p *planState) placeByPreemption(item *queue.Item) bool {
	key := p.newSearchKey(searchPreempt, item)
	if p.failedSearches[key] && p.promisedByJob[item.Job] == nil {
		return false
	}
	r := p.placementRequest(item)
	if item.Job.Spec.NonRepeatable {
		r.Allowed = p.outsideGuarantees()
	}
	found := reclaim.Find(p.table, r, p.preemptionCost(item))
	if found == nil {
		p.failedSearches[key] = true
		return false
	}
	p.start(item, found, false)
	return true
}

// reclaimCost returns a cost function that lets guaranteed work preempt any gang outside
// guarantees.
func (p *planState) reclaimCost(item *queue.Item) placement.CostFunc {
	return func(gang int) (float64, bool) {
		if gang >= p.runningCount || p.nonPreemptible(gang) {
			return 0, false
		}
		if p.stopping[gang] {
			return 0, true
		}
		g := &p.table.Gangs[gang]
		if p.guarantees.Covered[gang] {
			return 0, false
		}
		cost := reclaim.PreemptionCost(g, p.snapshot.Now)
		if g.Priority > item.Priority {
			cost *= higherPriorityCostFactor
		}
		return cost, true
	}
}

// preemptionCost returns a cost function that lets a job outside a guarantee preempt the
// gangs that mayPreempt permits.
func (p *planState) preemptionCost(item *queue.Item) placement.CostFunc {
	return func(gang int) (float64, bool) {
		if gang >= p.runningCount || p.nonPreemptible(gang) {
			return 0, false
		}
		if p.stopping[gang] {
			return 0, true
		}
		if !p.mayPreempt(item, gang) {
			return 0, false
		}
		return reclaim.PreemptionCost(&p.table.Gangs[gang], p.snapshot.Now), true
	}
}

// mayPreempt reports whether a job outside a guarantee may preempt a gang: one of lower
// priority, or one of its own priority if the job has waited for longer than the starvation
// bound. Gangs within a guarantee give way only to urgent jobs of their organisation.
func (p *planState) mayPreempt(item *queue.Item, gang int) bool {
	g := &p.table.Gangs[gang]
	if g.Priority > item.Priority {
		return false
	}
	urgent := item.Priority == model.PriorityUrgent && g.Priority < item.Priority
	if p.guarantees.Covered[gang] {
		return urgent && g.Job.Organisation == item.Job.Spec.Key.Organisation
	}
	if urgent {
		return true
	}
	if p.isProtected(item, gang) {
		return false
	}
	return g.Priority < item.Priority || item.Aged
}

// isProtected reports whether a gang started too recently or is too large to be preempted
// by a job that is not urgent.
func (p *planState) isProtected(item *queue.Item, gang int) bool {
	g := &p.table.Gangs[gang]
	size := gangSize(g.Placement)
	if size > maxVictimSizeRatio*item.Size {
		return true
	}
	protectedTime := minRunTime(g)
	if item.Aged && size*smallVictimSizeRatio < item.Size {
		// Small jobs on the resources of a gang that has waited for long are not
		// protected.
		protectedTime = 0
	}
	return p.attemptRunTime(g) < protectedTime
}

// minRunTime returns how long an attempt runs before it may be preempted.
func minRunTime(g *topology.Gang) time.Duration {
	return minRunBeforePreemption << min(max(g.Attempt-1, 0), maxMinRunDoublings)
}

// attemptRunTime returns how long the current attempt has run, 0 if it is still starting.
func (p *planState) attemptRunTime(g *topology.Gang) time.Duration {
	if g.StartedUnixMS == 0 {
		return 0
	}
	return p.snapshot.Now.Sub(time.UnixMilli(g.StartedUnixMS))
}

// gangSize returns the number of accelerators, or the number of tasks of a gang without
// accelerators.
func gangSize(p *model.Placement) int {
	if n := accelerators(p); n > 0 {
		return n
	}
	return len(p.Members)
}
