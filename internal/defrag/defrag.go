// Package defrag frees a place for a waiting gang by moving running gangs: each is
// checkpointed, stopped and started again elsewhere. It moves work only when the gang
// gains more than the moves lose.
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

// Blocker is a running gang on the place that the waiting gang is to have.
type Blocker struct {
	Gang int
	// Left is when the gang is expected to end.
	Left time.Duration
	// Movable is false for gangs that must not be stopped.
	Movable bool
}

// minGain is how much sooner the waiting gang must start; shorter gains drown in the
// error of the estimates.
const minGain = 5 * time.Minute

// margin is how many times the gained work must exceed the lost work, because the
// expected ends are rough.
const margin = 2

// Choose returns the blockers that are worth moving off the place, or none. size is
// the waiting gang's accelerators and place its cells by node. Every gang returned
// has room outside the place.
func Choose(t *topology.Table, place []topology.Mask, size int, blockers []Blocker, now time.Time) []int {
	blockers = slices.Clone(blockers)
	slices.SortFunc(blockers, func(a, b Blocker) int {
		return cmp.Or(cmp.Compare(b.Left, a.Left), cmp.Compare(a.Gang, b.Gang))
	})
	trial := t.Clone()
	var moves, best []int
	lost, bestNet := 0.0, 0.0
	for i, b := range blockers {
		if !b.Movable || !move(trial, place, b.Gang) {
			break
		}
		moves = append(moves, b.Gang)
		lost += reclaim.LostWork(&t.Gangs[b.Gang], now)
		next := reclaim.StopTime
		if i+1 < len(blockers) {
			next = max(next, blockers[i+1].Left)
		}
		gain := blockers[0].Left - next
		net := gain.Seconds()*float64(size) - margin*lost
		if gain >= minGain && net > bestNet {
			best, bestNet = slices.Clone(moves), net
		}
	}
	return best
}

// Justified reports whether a gang of the given size gains more from starting now than
// the moves lose, when it would otherwise wait for the given time.
func Justified(lost float64, size int, wait time.Duration) bool {
	return wait >= minGain && wait.Seconds()*float64(size) > margin*lost
}

// Room reports whether all gangs fit on free resources outside the place.
func Room(t *topology.Table, place []topology.Mask, gangs []int) bool {
	trial := t.Clone()
	for _, gang := range gangs {
		if !move(trial, place, gang) {
			return false
		}
	}
	return true
}

// move places a gang on free resources outside the place.
func move(t *topology.Table, place []topology.Mask, gang int) bool {
	g := &t.Gangs[gang]
	if len(g.Members) == 0 {
		return false
	}
	r := &placement.Request{
		Tasks: len(g.Members), Task: g.Members[0].Resources, Within: span(t, g), Blocked: place,
	}
	found := placement.Find(t, r, nil)
	if found == nil {
		return false
	}
	t.Add(&model.Placement{Job: g.Job, Members: found.Members})
	return true
}

// span returns the level that holds the gang now. A move keeps it, because the level
// that the job asked for is not known.
func span(t *topology.Table, g *topology.Gang) model.Level {
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
