package plan

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/daisyfold/daisyfold/internal/engine/work"
)

// TestKeepEmptyLeavesTheRest guards against headroom that is more than was asked for, that takes
// workers with tasks, that is used by tasks that come later, or that stays after it is released.
func TestKeepEmptyLeavesTheRest(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := emptySnapshot(12)
		empty, free := 0, work.Resources{}
		for _, n := range s.Nodes {
			if rapid.Bool().Draw(t, "used") {
				n.Free = n.Free.Minus(halfWorker)
			} else {
				empty++
			}
			free = free.Plus(n.Free)
		}
		count := rapid.IntRange(0, 13).Draw(t, "count")
		kept := s.KeepEmpty(count)
		if kept != min(count, empty) {
			t.Fatalf("%d workers are kept, want %d of %d", kept, count, empty)
		}
		whole := newRequest(12, work.Step{Demand: workerCapacity})
		restore := s.Lift(time.Hour)
		placed := len(s.Place(whole))
		restore()
		if placed != empty-kept {
			t.Fatalf("%d tasks are placed beside %d kept of %d empty workers", placed, kept, empty)
		}
		s.ReleaseEmpty()
		left := work.Resources{}
		for _, n := range s.Nodes {
			left = left.Plus(n.Free)
		}
		if left != free.Minus(workerCapacity.Times(placed)) {
			t.Fatalf("%+v is free after the release", left)
		}
	})
}

// TestHeadroomIsInOneRack guards against headroom that is spread over racks, where a gang that asks
// for one rack cannot use it.
func TestHeadroomIsInOneRack(t *testing.T) {
	s := emptySnapshot(12)
	for _, n := range s.Nodes {
		if n.Rack != "r1" {
			n.Free = n.Free.Minus(halfWorker)
		}
	}
	s.Nodes[0].Free = workerCapacity
	s.KeepEmpty(3)
	for _, n := range s.Nodes {
		if n.Free == (work.Resources{}) && n.Rack != "r1" {
			t.Errorf("%s of rack %s is kept", n.Key, n.Rack)
		}
	}
}
