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

// maxReservationSearches is the maximum number of placement searches that
// reserveForLargeGangs makes for waiting gangs.
const maxReservationSearches = 16

// reserveForLargeGangs promises resources to large gangs that can start once stopping gangs
// have stopped, and reserves resources for the first large gang that does not fit. It runs
// before smaller jobs are placed, because these would take such resources bit by bit.
func (p *planState) reserveForLargeGangs(items []*queue.Item) {
	var large []*queue.Item
	for _, item := range items {
		if !p.decided[item.Job] && item.Job.Spec.Accelerators() >= model.AcceleratorsPerWorker && !p.exceedsQuota(item) {
			large = append(large, item)
		}
	}
	order := queue.NewOrder(large, p.shares)
	failed := make(map[searchKey]bool)
	item := order.Next()
	for searches := 0; item != nil && searches < maxReservationSearches; item = order.Next() {
		key := p.newSearchKey(searchFree, item)
		if failed[key] {
			continue
		}
		searches++
		request := p.placementRequest(item)
		found := placement.Find(p.table, request, p.stoppingGangCost)
		switch {
		case found == nil:
			failed[key] = true
			if p.headGang == nil {
				p.headGang = item
			}
		case len(found.Victims) > 0:
			p.promise(item, found)
		}
	}
	if p.headGang == nil {
		return
	}
	if found := p.reserveForHead(p.headGang); found != nil {
		p.defragment(p.headGang, found)
	}
}

// stoppingGangCost is a placement.CostFunc that permits only gangs that are stopping, at no
// cost.
func (p *planState) stoppingGangCost(gang int) (float64, bool) {
	return 0, p.stopping[gang]
}

// promise keeps resources for a job until the end of the plan.
func (p *planState) promise(item *queue.Item, found *placement.Result) {
	ownMasks := p.memberMasks(found.Members)
	p.promisedByJob[item.Job] = ownMasks
	p.promised = union(p.promised, ownMasks)
}

// heldForOthers returns the accelerators that are held for or promised to other jobs, by
// node.
func (p *planState) heldForOthers(item *queue.Item) []topology.Mask {
	ownMasks, ok := p.promisedByJob[item.Job]
	if !ok && len(p.promisedByJob) == 0 {
		return p.heldForPreemptors
	}
	out := union(p.heldForPreemptors, p.promised)
	for i := range ownMasks {
		out[i] &^= ownMasks[i] &^ p.heldForPreemptors[i]
	}
	return out
}

// memberMasks returns the accelerators of the members by node.
func (p *planState) memberMasks(members []model.GangMember) []topology.Mask {
	out := make([]topology.Mask, len(p.table.Nodes))
	for i := range members {
		if node, ok := p.table.NodeIndex(members[i].Worker); ok {
			out[node] |= topology.MaskOf(members[i].Accelerators)
		}
	}
	return out
}

// reserveForHead reserves the accelerators that are expected to become free first for the
// head gang, and sets the shadow time. Preemptible jobs still start there; non-preemptible
// jobs do so only if they end before the head gang can start, and guaranteed jobs prefer
// other accelerators.
func (p *planState) reserveForHead(item *queue.Item) *placement.Result {
	remainingSeconds := func(gang int) (float64, bool) {
		if gang >= p.runningCount {
			return 0, false
		}
		return p.remaining(gang).Seconds(), true
	}
	found := placement.Find(p.table, p.placementRequest(item), remainingSeconds)
	if found == nil {
		return nil
	}
	p.headReservation = p.memberMasks(found.Members)
	for _, gang := range found.Victims {
		p.shadowTime = max(p.shadowTime, p.remaining(gang))
	}
	return found
}

// defragment preempts gangs on the reserved accelerators, so that they start again
// elsewhere, if the head gang gains more than the moves lose.
func (p *planState) defragment(item *queue.Item, found *placement.Result) {
	blockers := make([]defrag.Blocker, 0, len(found.Victims))
	for _, gang := range found.Victims {
		blockers = append(blockers, defrag.Blocker{
			Gang: gang, Remaining: p.remaining(gang),
			Movable: !p.stopping[gang] && p.movable(item, gang),
		})
	}
	for _, gang := range defrag.ChooseMoves(p.table, p.headReservation, item.Size, blockers, p.snapshot.Now) {
		p.preempt(gang, model.JobKey{}, model.ReasonDefragmentation)
	}
}

// remaining returns the expected remaining run time of a running gang.
func (p *planState) remaining(gang int) time.Duration {
	if p.stopping[gang] {
		return reclaim.MaxStopDuration
	}
	if p.remainingByGang[gang] < 0 {
		g := &p.table.Gangs[gang]
		p.remainingByGang[gang] = p.estimates.ExpectedRemaining(
			g.Class, gangSize(g.Placement), p.attemptRunTime(g)+p.snapshot.SavedRunTime[g.Job],
		)
	}
	return p.remainingByGang[gang]
}

// movable reports whether a gang may be moved elsewhere for the job.
func (p *planState) movable(item *queue.Item, gang int) bool {
	g := &p.table.Gangs[gang]
	return !p.nonPreemptible(gang) && g.Priority <= item.Priority && p.attemptRunTime(g) >= minRunTime(g)
}
