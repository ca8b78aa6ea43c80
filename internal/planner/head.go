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

// maxHeadTrials bounds the search for the head gang. Jobs that fit free places start
// anyway and need no reservation.
const maxHeadTrials = 16

// passHead reserves a place for the first gang in the order that does not fit. It
// comes before guaranteed work, so that this work prefers other places.
func (p *planning) passHead(items []*queue.Item) {
	var rest []*queue.Item
	for _, it := range items {
		if !p.decided[it.Job] && it.Job.Spec.Accelerators() >= model.WorkerAccelerators && !p.exceedsQuota(it) {
			rest = append(rest, it)
		}
	}
	order := queue.NewOrder(rest, p.shares)
	tried := make(map[attemptKey]bool)
	for it := order.Next(); it != nil && len(tried) < maxHeadTrials; it = order.Next() {
		key := p.key(searchFree, it)
		if tried[key] {
			continue
		}
		tried[key] = true
		if placement.Find(p.table, p.request(it), nil) != nil {
			continue
		}
		p.head = it
		if found := p.reserve(it); found != nil {
			p.defragment(it, found)
		}
		return
	}
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
	p.reserved = make([]topology.Mask, len(p.table.Nodes))
	for i := range found.Members {
		if node, ok := p.table.Index(found.Members[i].Worker); ok {
			p.reserved[node] |= topology.Of(found.Members[i].Accelerators)
		}
	}
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
		g := &p.table.Gangs[gang]
		blockers = append(blockers, defrag.Blocker{
			Gang: gang, Left: p.left(gang),
			Movable: !p.pinned(gang) && !p.stopping[gang] && g.Priority <= it.Priority && p.ran(g) >= protected(g),
		})
	}
	for _, gang := range defrag.Choose(p.table, p.reserved, it.Size, blockers, p.snap.Now) {
		p.preempt(gang, model.JobKey{}, model.ReasonDefrag)
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
