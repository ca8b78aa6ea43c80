package planner

import (
	"time"

	"github.com/daisyfold/daisyfold/internal/defrag"
	"github.com/daisyfold/daisyfold/internal/model"
	"github.com/daisyfold/daisyfold/internal/placement"
	"github.com/daisyfold/daisyfold/internal/queue"
	"github.com/daisyfold/daisyfold/internal/reclaim"
	"github.com/daisyfold/daisyfold/internal/topology"
)

// maxHeadTrials bounds the search for promised places and for the head gang.
const maxHeadTrials = 16

// passLarge promises places to gangs that can have them now or once stopping work is
// gone, and reserves a place for the first gang that cannot. It comes before other
// work is placed, because small jobs would take such places bit by bit.
func (p *planning) passLarge(items []*queue.Item) {
	var rest []*queue.Item
	for _, it := range items {
		if !p.decided[it.Job] && it.Job.Spec.Accelerators() >= model.AcceleratorsPerWorker && !p.exceedsQuota(it) {
			rest = append(rest, it)
		}
	}
	order := queue.NewOrder(rest, p.shares)
	failed := make(map[attemptKey]bool)
	it := order.Next()
	for trials := 0; it != nil && trials < maxHeadTrials; it = order.Next() {
		key := p.key(searchFree, it)
		if failed[key] {
			continue
		}
		trials++
		r := p.request(it)
		found := placement.Find(p.table, r, p.stoppingCost)
		switch {
		case found == nil:
			failed[key] = true
			if p.head == nil {
				p.head = it
			}
		case len(found.Clear) > 0:
			p.promise(it, found)
		}
	}
	if p.head == nil {
		return
	}
	if found := p.reserve(p.head); found != nil {
		p.defragment(p.head, found)
	}
}

// stoppingCost waits only for work that stops already.
func (p *planning) stoppingCost(gang int) (float64, bool) {
	return 0, p.stopping[gang]
}

// promise keeps a place for one job for the rest of the plan.
func (p *planning) promise(it *queue.Item, found *placement.Result) {
	own := p.masks(found.Members)
	p.promises[it.Job] = own
	p.promised = union(p.promised, own)
}

// blocked returns the accelerators that are held or promised to other jobs.
func (p *planning) blocked(it *queue.Item) []topology.Mask {
	own, ok := p.promises[it.Job]
	if !ok && len(p.promises) == 0 {
		return p.held
	}
	out := union(p.held, p.promised)
	for i := range own {
		out[i] &^= own[i] &^ p.held[i]
	}
	return out
}

func (p *planning) masks(members []model.GangMember) []topology.Mask {
	out := make([]topology.Mask, len(p.table.Nodes))
	for i := range members {
		if node, ok := p.table.Index(members[i].Worker); ok {
			out[node] |= topology.Of(members[i].Accelerators)
		}
	}
	return out
}

// reserve chooses the place that the head gang can have soonest. Work that can be
// preempted still runs there; work that cannot must end before the head gang can
// start, and guaranteed work prefers other places.
func (p *planning) reserve(it *queue.Item) *placement.Result {
	wait := func(gang int) (float64, bool) {
		if gang >= p.running {
			return 0, false
		}
		return p.left(gang).Seconds(), true
	}
	found := placement.Find(p.table, p.request(it), wait)
	if found == nil {
		return nil
	}
	p.reserved = p.masks(found.Members)
	for _, gang := range found.Clear {
		p.shadow = max(p.shadow, p.left(gang))
	}
	return found
}

// defragment moves gangs off the reserved place when the head gang gains more than
// the moves lose.
func (p *planning) defragment(it *queue.Item, found *placement.Result) {
	blockers := make([]defrag.Blocker, 0, len(found.Clear))
	for _, gang := range found.Clear {
		blockers = append(blockers, defrag.Blocker{
			Gang: gang, Left: p.left(gang),
			Movable: !p.stopping[gang] && p.movable(it, gang),
		})
	}
	for _, gang := range defrag.Choose(p.table, p.reserved, it.Size, blockers, p.snap.Now) {
		p.preempt(gang, model.JobKey{}, model.ReasonDefragmentation)
	}
}

// left returns when a running gang is expected to end.
func (p *planning) left(gang int) time.Duration {
	if p.stopping[gang] {
		return reclaim.StopTime
	}
	if p.lefts[gang] < 0 {
		g := &p.table.Gangs[gang]
		p.lefts[gang] = p.estimates.Expected(g.Class, gangSize(g.Placement), p.ran(g)+p.snap.Served[g.Job])
	}
	return p.lefts[gang]
}

// movable reports whether a gang may be stopped so that it starts again elsewhere.
func (p *planning) movable(it *queue.Item, gang int) bool {
	g := &p.table.Gangs[gang]
	return !p.pinned(gang) && g.Priority <= it.Priority && p.ran(g) >= protected(g)
}
