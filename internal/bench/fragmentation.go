package bench

import (
	"github.com/daisyfold/daisyfold/internal/model"
	"github.com/daisyfold/daisyfold/internal/topology"
)

// fragmentation is the time average of the share of free accelerators that cannot
// serve the largest guaranteed shape that is no larger than the free accelerators.
type fragmentation struct {
	weightedSum, seconds float64
}

func (f *fragmentation) mean() float64 {
	if f.seconds == 0 {
		return 0
	}
	return f.weightedSum / f.seconds
}

// add records the current state of all zones as lasting the given number of seconds.
// Each zone is evaluated on its own, because a shape lies within one zone.
func (f *fragmentation) add(s *jobSim, seconds float64) {
	free, unusable := 0, 0
	for _, z := range s.zones {
		if !z.inService {
			continue
		}
		running := make([]model.Placement, 0, len(z.running))
		for _, j := range z.running {
			running = append(running, *j.placement)
		}
		t := topology.New(z.workers, running)
		zoneFree := freeAccelerators(t)
		free += zoneFree
		unusable += zoneFree - usableAccelerators(t, largestGuaranteedShape(s.deployment.guarantees, zoneFree))
	}
	if free == 0 {
		return
	}
	f.weightedSum += seconds * float64(unusable) / float64(free)
	f.seconds += seconds
}

func freeAccelerators(t *topology.AllocationTable) int {
	n := 0
	for i := range t.Nodes {
		n += t.Nodes[i].FreeAccelerators.Count()
	}
	return n
}

// largestGuaranteedShape returns the largest guaranteed shape that needs at most the given
// number of accelerators.
func largestGuaranteedShape(guarantees []model.Guarantee, free int) model.Shape {
	var best model.Shape
	for _, g := range guarantees {
		if n := g.Shape.Accelerators(); n <= free && n > best.Accelerators() {
			best = g.Shape
		}
	}
	return best
}

// usableAccelerators counts the free accelerators in cells that can serve the shape. A
// free cell counts if its rack has as many free cells as the shape needs.
func usableAccelerators(t *topology.AllocationTable, shape model.Shape) int {
	cellSize := model.AcceleratorsPerCell(shape.Cell)
	if cellSize == 0 {
		return freeAccelerators(t)
	}
	n := 0
	for _, nodes := range t.Racks {
		cells := 0
		for _, i := range nodes {
			cells += topology.CountFreeCells(t.Nodes[i].FreeAccelerators, cellSize)
		}
		if cells >= shape.Count {
			n += cells * cellSize
		}
	}
	return n
}
