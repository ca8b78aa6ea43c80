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
	// minRun is how long an attempt runs before work of its own priority may
	// preempt it; shorter runs spend too large a share on stop and restart.
	minRun = 2 * time.Minute
	// levelGap is how many levels shorter a job must be to preempt work of its own
	// priority: with a factor of 4 a level, at least 4 times less work.
	levelGap = 2
)

func (p *planning) request(it *queue.Item) *placement.Request {
	spec := &it.Job.Spec
	return &placement.Request{
		Tasks: spec.Tasks, Task: spec.Task, Within: spec.Within, Blocked: p.held,
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
		k.org, k.priority, k.level, k.aged = spec.Key.Organisation, it.Priority, it.Level, it.Aged
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
	for _, cost := range []placement.CostFunc{nil, p.spareCost(it)} {
		for _, allowed := range [][]topology.Mask{p.book.Outside(org), p.book.Cells(org)} {
			r := p.request(it)
			r.Allowed = allowed
			found := reclaim.Find(p.table, r, cost)
			if found != nil && p.keepsGuarantees(it, found) {
				p.accept(it, found, true)
				return true
			}
		}
	}
	p.failed[key] = true
	return false
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
// and leaves room for all other guaranteed shapes.
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
	return true
}

// placeSpare starts the job on spare capacity and gives its reason.
func (p *planning) placeSpare(it *queue.Item) {
	if p.placeFree(it) || p.placeByPreemption(it) {
		return
	}
	if p.reserved == nil && it.Job.Spec.Accelerators() > 0 {
		p.reserve(it)
	}
	if it.Job.Spec.NonRepeatable {
		p.reason(it.Job, model.ReasonReserved, "no free place that no guarantee needs")
		return
	}
	p.reason(it.Job, model.ReasonNoShape, "no free place for the gang")
}

// placeFree uses free resources only. The head gang's reserved place is used only by
// jobs that end before the head gang can start.
func (p *planning) placeFree(it *queue.Item) bool {
	kind := searchFree
	if p.reserved != nil && !p.endsBeforeShadow(it) {
		kind = searchBackfill
	}
	key := p.key(kind, it)
	if p.failed[key] {
		return false
	}
	r := p.request(it)
	if kind == searchBackfill {
		r.Blocked = union(p.held, p.reserved)
	}
	if it.Job.Spec.NonRepeatable {
		r.Allowed = p.unclaimed()
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
	if p.failed[key] {
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
		if p.book.Within[gang] || g.Priority > it.Priority && g.Job.Organisation == it.Job.Spec.Key.Organisation {
			return 0, false
		}
		return reclaim.LostWork(g, p.snap.Now), true
	}
}

// queueCost lets a job outside a guarantee preempt work of lower priority, and work
// of its own priority that the discretised queues put well behind it.
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
	if p.ran(g) < minRun {
		return false
	}
	return g.Priority < it.Priority || p.level(gang) >= it.Level+levelGap
}

// ran returns how long the current attempt has run; a starting one has not run.
func (p *planning) ran(g *topology.Gang) time.Duration {
	if g.StartedUnixMS == 0 {
		return 0
	}
	return p.snap.Now.Sub(time.UnixMilli(g.StartedUnixMS))
}

// level returns the discretised queue of a running gang.
func (p *planning) level(gang int) int {
	if p.levels[gang] < 0 {
		g := &p.table.Gangs[gang]
		size := gangSize(g.Placement)
		attained := p.ran(g) + p.snap.Served[g.Job]
		p.levels[gang] = queue.Level(p.estimates.Expected(g.Class, size, attained), size)
	}
	return p.levels[gang]
}

func gangSize(r *model.Placement) int {
	if n := accelerators(r); n > 0 {
		return n
	}
	return len(r.Members)
}

// reserve keeps the place that the job can have soonest from being delayed by
// backfill. Only the first job that does not fit gets a reservation.
func (p *planning) reserve(it *queue.Item) {
	wait := func(gang int) (float64, bool) {
		if gang >= p.running {
			return 0, false
		}
		return p.left(gang).Seconds(), true
	}
	found := placement.Find(p.table, p.request(it), wait)
	if found == nil {
		return
	}
	p.reserved = make([]topology.Mask, len(p.table.Nodes))
	for i := range found.Members {
		if node, ok := p.table.Index(found.Members[i].Worker); ok {
			p.reserved[node] |= topology.Of(found.Members[i].Accelerators)
		}
	}
	for _, gang := range found.Clear {
		p.shadow = max(p.shadow, p.left(gang))
	}
}

// left returns when a running gang is expected to end.
func (p *planning) left(gang int) time.Duration {
	if p.stopping[gang] {
		return reclaim.StopTime
	}
	g := &p.table.Gangs[gang]
	return p.estimates.Expected(g.Class, gangSize(g.Placement), p.ran(g)+p.snap.Served[g.Job])
}
