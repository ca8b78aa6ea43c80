// Package defrag chooses running gangs to move so that a waiting gang can start earlier. A
// move checkpoints a gang, stops it and starts it again elsewhere. Gangs are moved only if
// the waiting gang gains more work than the moves lose.
package defrag

import (
	"cmp"
	"slices"
	"time"

	"github.com/daisyfold/daisyfold/internal/model"
	"github.com/daisyfold/daisyfold/internal/placement"
	"github.com/daisyfold/daisyfold/internal/reclaim"
	"github.com/daisyfold/daisyfold/internal/topology"
)

// Blocker is a running gang on accelerators that are reserved for the waiting gang.
type Blocker struct {
	Gang int // index in AllocationTable.Gangs
	// Remaining is the gang's expected remaining run time.
	Remaining time.Duration
	// Movable is false for gangs that must not be stopped.
	Movable bool
}

// minStartGain is how much earlier the waiting gang must be able to start. Smaller gains
// are within the error of the estimates.
const minStartGain = 5 * time.Minute

// minGainToCostRatio is how many times the gained work must exceed the lost work, because
// the estimated run times are inaccurate.
const minGainToCostRatio = 2

// ChooseMoves returns the gangs of the blockers that are worth moving, or nil. reserved
// holds the accelerators reserved for the waiting gang by node, and size is its number of
// accelerators. Each returned gang fits on free resources that are not reserved.
func ChooseMoves(t *topology.AllocationTable, reserved []topology.Mask, size int, blockers []Blocker, now time.Time) []int {
	blockers = slices.Clone(blockers)
	slices.SortFunc(blockers, func(a, b Blocker) int {
		return cmp.Or(cmp.Compare(b.Remaining, a.Remaining), cmp.Compare(a.Gang, b.Gang))
	})
	scratch := t.Clone()
	var moves, best []int
	cost, bestNetGain := 0.0, 0.0
	for i, b := range blockers {
		if !b.Movable || !placeElsewhere(scratch, reserved, b.Gang) {
			break
		}
		moves = append(moves, b.Gang)
		cost += reclaim.PreemptionCost(&t.Gangs[b.Gang], now)
		earliestStart := reclaim.MaxStopDuration
		if i+1 < len(blockers) {
			earliestStart = max(earliestStart, blockers[i+1].Remaining)
		}
		gain := blockers[0].Remaining - earliestStart
		netGain := gain.Seconds()*float64(size) - minGainToCostRatio*cost
		if gain >= minStartGain && netGain > bestNetGain {
			best, bestNetGain = slices.Clone(moves), netGain
		}
	}
	return best
}

// placeElsewhere places a gang on free resources that are not reserved and adds it to the
// table. It reports whether the gang fits.
func placeElsewhere(t *topology.AllocationTable, reserved []topology.Mask, gang int) bool {
	g := &t.Gangs[gang]
	if len(g.Members) == 0 {
		return false
	}
	r := &placement.Request{
		Tasks: len(g.Members), Task: g.Members[0].Resources, Within: currentLevel(t, g), Blocked: reserved,
	}
	found := placement.Find(t, r, nil)
	if found == nil {
		return false
	}
	t.AddGang(&model.Placement{Job: g.Job, Members: found.Members})
	return true
}

// currentLevel returns the smallest of worker, rack and zone that contains the gang. A
// move keeps it, because the level that the job requires is not known here.
func currentLevel(t *topology.AllocationTable, g *topology.Gang) model.Level {
	if len(g.Nodes) <= 1 {
		return model.LevelWorker
	}
	for _, i := range g.Nodes[1:] {
		if t.Nodes[i].Rack != t.Nodes[g.Nodes[0]].Rack {
			return model.LevelZone
		}
	}
	return model.LevelRack
}
