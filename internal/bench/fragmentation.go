package bench

import (
	"github.com/daisyfold/daisyfold/internal/model"
	"github.com/daisyfold/daisyfold/internal/topology"
)

// fragmentation is the time average of the share of free accelerators that cannot
// serve the largest guaranteed shape that their number would allow.
type fragmentation struct {
	weighted, seconds float64
}

func (f *fragmentation) mean() float64 {
	if f.seconds == 0 {
		return 0
	}
	return f.weighted / f.seconds
}

// add accounts for the present state of all zones for some seconds. Zones are counted
// apart, because a shape lies within one zone.
func (f *fragmentation) add(s *sim, seconds float64) {
	free, unusable := 0, 0
	for _, z := range s.zones {
		if !z.in {
			continue
		}
		running := make([]model.Placement, 0, len(z.running))
		for _, j := range z.running {
			running = append(running, *j.running)
		}
		t := topology.New(z.workers, running)
		zoneFree := freeAccelerators(t)
		free += zoneFree
		unusable += zoneFree - usable(t, largest(s.d.guarantees, zoneFree))
	}
	if free == 0 {
		return
	}
	f.weighted += seconds * float64(unusable) / float64(free)
	f.seconds += seconds
}

func freeAccelerators(t *topology.AllocationTable) int {
	n := 0
	for i := range t.Nodes {
		n += t.Nodes[i].FreeAccelerators.Count()
	}
	return n
}

// largest returns the largest guaranteed shape of at most free accelerators.
func largest(guarantees []model.Guarantee, free int) model.Shape {
	var best model.Shape
	for _, g := range guarantees {
		if n := g.Shape.Accelerators(); n <= free && n > best.Accelerators() {
			best = g.Shape
		}
	}
	return best
}

// usable counts the free accelerators that lie in cells which can serve the shape. A
// free cell counts when its rack has as many cells as the shape needs.
func usable(t *topology.AllocationTable, s model.Shape) int {
	size := model.AcceleratorsPerCell(s.Cell)
	if size == 0 {
		return freeAccelerators(t)
	}
	n := 0
	for _, nodes := range t.Racks {
		cells := 0
		for _, i := range nodes {
			cells += topology.CountFreeCells(t.Nodes[i].FreeAccelerators, size)
		}
		if cells >= s.Count {
			n += cells * size
		}
	}
	return n
}
