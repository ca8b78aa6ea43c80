// Package reclaim chooses which running gangs to preempt so that a waiting gang fits:
// those that lose the least work, and no more than the request needs.
package reclaim

import (
	"cmp"
	"slices"
	"time"

	"github.com/daisyfold/daisyfold/internal/placement"
	"github.com/daisyfold/daisyfold/internal/topology"
)

// MaxStopDuration is the longest time that an attempt takes to write its checkpoint and
// stop.
const MaxStopDuration = 5 * time.Second

// PreemptionCost returns the expected work that is lost when the gang is preempted, in
// accelerator-seconds: the time to stop and restart, and the work since the last
// checkpoint, which is lost if the final checkpoint fails.
func PreemptionCost(g *topology.Gang, now time.Time) float64 {
	const (
		restartDuration = 2 * MaxStopDuration
		// checkpointFailureRate is the fraction of final checkpoints that fail.
		checkpointFailureRate = 0.05
	)
	acceleratorEquivalents := 0.0
	for i := range g.Members {
		// CPUs are included so that work without accelerators has a cost.
		acceleratorEquivalents += float64(len(g.Members[i].Accelerators)) + float64(g.Members[i].Resources.CPUs)/cpusPerAccelerator
	}
	savedAt := time.UnixMilli(max(g.CheckpointUnixMS, g.StartedUnixMS))
	expectedLossSeconds := max(now.Sub(savedAt), 0).Seconds() * checkpointFailureRate
	return acceleratorEquivalents * (restartDuration.Seconds() + expectedLossSeconds)
}

// cpusPerAccelerator is the number of CPUs that cost as much as one accelerator. It is the
// ratio of a worker with 128 CPUs and 8 accelerators.
const cpusPerAccelerator = 16

// Find is like placement.Find, but drops victims that the request does not need.
func Find(t *topology.AllocationTable, r *placement.Request, cost placement.CostFunc) *placement.Result {
	found := placement.Find(t, r, cost)
	if found == nil || len(found.Victims) < 2 {
		return found
	}
	return dropUnneededVictims(t, r, cost, found)
}

// dropUnneededVictims drops victims that the request does not need, trying the most
// expensive first. A victim chosen early can become unnecessary when a later one frees
// the same worker.
func dropUnneededVictims(t *topology.AllocationTable, r *placement.Request, cost placement.CostFunc, found *placement.Result) *placement.Result {
	order := slices.Clone(found.Victims)
	slices.SortStableFunc(order, func(a, b int) int {
		costA, _ := cost(a)
		costB, _ := cost(b)
		return cmp.Compare(costB, costA)
	})
	victims := make(map[int]bool, len(order))
	for _, gang := range order {
		victims[gang] = true
	}
	victimCost := func(gang int) (float64, bool) {
		if !victims[gang] {
			return 0, false
		}
		return cost(gang)
	}
	const maxSearches = 64 // Bounds the planning time when there are hundreds of victims.
	for i, gang := range order {
		if i == maxSearches || !victims[gang] {
			continue
		}
		delete(victims, gang)
		reduced := placement.Find(t, r, victimCost)
		if reduced == nil {
			victims[gang] = true
			continue
		}
		found = reduced
	}
	return found
}
