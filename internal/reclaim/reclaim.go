// Package reclaim chooses which running gangs to stop so that a waiting gang fits:
// those whose stop loses least work, and no more than the request needs.
package reclaim

import (
	"cmp"
	"slices"
	"time"

	"github.com/daisyfold/daisyfold/internal/placement"
	"github.com/daisyfold/daisyfold/internal/topology"
)

// StopTime is the longest time that an attempt needs to write its checkpoint and
// stop.
const StopTime = 5 * time.Second

// LostWork returns the work that a stop costs, in seconds times workers' shares: the
// time to stop and restart, and the work since the last checkpoint, which is lost if
// the worker fails while it writes the new one.
func LostWork(g *topology.Gang, now time.Time) float64 {
	const (
		restart = 2 * StopTime
		// checkpointFailure is the assumed share of final checkpoints that
		// fail.
		checkpointFailure = 0.05
	)
	size := 0.0
	for i := range g.Members {
		// CPUs count too, so that work without accelerators has a cost.
		size += float64(len(g.Members[i].Accelerators)) + float64(g.Members[i].Resources.CPUs)/cpusPerAccelerator
	}
	at := time.UnixMilli(max(g.CheckpointUnixMS, g.StartedUnixMS))
	risk := max(now.Sub(at), 0).Seconds() * checkpointFailure
	return size * (restart.Seconds() + risk)
}

// cpusPerAccelerator weighs CPUs against accelerators; it is the ratio of today's
// workers, 128 to 8.
const cpusPerAccelerator = 16

// Find returns the place for the request that loses least work, with the fewest gangs
// to stop, or nil.
func Find(t *topology.Table, r *placement.Request, cost placement.CostFunc) *placement.Result {
	found := placement.Find(t, r, cost)
	if found == nil || len(found.Clear) < 2 {
		return found
	}
	return minimise(t, r, cost, found)
}

// minimise drops gangs whose stop the request does not need, dearest first. A gang
// chosen early can become superfluous when a later one frees the same worker.
func minimise(t *topology.Table, r *placement.Request, cost placement.CostFunc, found *placement.Result) *placement.Result {
	order := slices.Clone(found.Clear)
	slices.SortStableFunc(order, func(a, b int) int {
		costA, _ := cost(a)
		costB, _ := cost(b)
		return cmp.Compare(costB, costA)
	})
	kept := make(map[int]bool, len(order))
	for _, gang := range order {
		kept[gang] = true
	}
	only := func(gang int) (float64, bool) {
		if !kept[gang] {
			return 0, false
		}
		return cost(gang)
	}
	const maxTrials = 64 // Bounds the time of decisions that stop hundreds of gangs.
	for i, gang := range order {
		if i == maxTrials || !kept[gang] {
			continue
		}
		delete(kept, gang)
		smaller := placement.Find(t, r, only)
		if smaller == nil {
			kept[gang] = true
			continue
		}
		found = smaller
	}
	return found
}
