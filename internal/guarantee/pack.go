package guarantee

import (
	"cmp"
	"slices"

	"github.com/daisyfold/daisyfold/internal/model"
	"github.com/daisyfold/daisyfold/internal/topology"
)

// packing is one attempt to place all unbound cells on the remaining accelerators.
type packing struct {
	table     *topology.AllocationTable
	nodes     []int           // nodes with accelerators
	free      []topology.Mask // by node
	cells     [][]cell        // by instance
	shortfall int             // accelerators of the shapes that do not fit
}

// packUnboundCells chooses accelerators for the unbound cells of every shape. These may
// hold work outside guarantees, which is preempted when the shape is claimed.
func (s *State) packUnboundCells() {
	best := s.packInOrder(compareByCellSize, false)
	if best.shortfall > 0 {
		// Small shapes of large cells can take the place of large shapes of small
		// cells. Packing the largest shapes first finds these packings.
		if other := s.packInOrder(compareByShapeSize, false); other.shortfall < best.shortfall {
			best = other
		}
	}
	if best.shortfall > 0 && s.previous != nil {
		if other := s.packInOrder(compareByCellSize, true); other.shortfall < best.shortfall {
			best = other
		}
	}
	for i, inst := range s.instances {
		inst.packedCells = best.cells[i]
		inst.unplaceable = len(inst.packedCells) < inst.unboundCells()
	}
}

// packInOrder packs the unbound cells of all instances in the given order. With
// keepPrevious, shapes first take the cells that they had in the previous state, which
// is a valid packing if the states differ only by work in one shape.
func (s *State) packInOrder(compare func(a, b *shapeInstance) int, keepPrevious bool) *packing {
	p := &packing{table: s.table, free: make([]topology.Mask, len(s.table.Nodes)), cells: make([][]cell, len(s.instances))}
	for i := range s.table.Nodes {
		if n := &s.table.Nodes[i]; n.Usable() && n.AllAccelerators != 0 {
			p.free[i] = n.AllAccelerators &^ s.unavailable[i]
			p.nodes = append(p.nodes, i)
		}
	}
	indices := make([]int, 0, len(s.instances))
	for i, inst := range s.instances {
		if inst.unboundCells() > 0 {
			indices = append(indices, i)
		}
	}
	slices.SortStableFunc(indices, func(x, y int) int { return compare(s.instances[x], s.instances[y]) })
	if keepPrevious {
		s.keepPreviousCells(p)
	}
	for _, i := range indices {
		if p.cells[i] != nil {
			continue
		}
		p.cells[i] = p.placeInstance(s.instances[i])
		if len(p.cells[i]) < s.instances[i].unboundCells() {
			p.shortfall += s.instances[i].accelerators()
		}
	}
	return p
}

// keepPreviousCells gives instances the cells that they had in the previous state, if
// these are still free and the number of unbound cells is the same.
func (s *State) keepPreviousCells(p *packing) {
	for i, inst := range s.instances {
		previous := s.previous.instances[i].packedCells
		if inst.unboundCells() == 0 || len(previous) != inst.unboundCells() || slices.ContainsFunc(previous, func(c cell) bool {
			return c.mask&^p.free[c.node] != 0 || !s.inDomain(inst, c.node)
		}) {
			continue
		}
		p.cells[i] = previous
		for _, c := range previous {
			p.free[c.node] &^= c.mask
		}
	}
}

// domainRank returns the rank of an instance by the number of places it can take, the
// most constrained first: 0 if it is tied to a rack or worker, 1 if it must lie within
// any one worker, 2 within any one rack, 3 within the zone.
func domainRank(inst *shapeInstance) int {
	switch {
	case inst.domain != noDomain:
		return 0
	case inst.within == model.LevelWorker:
		return 1
	case inst.within == model.LevelRack:
		return 2
	default:
		return 3
	}
}

// compareByCellSize orders instances by decreasing size of their cells.
func compareByCellSize(a, b *shapeInstance) int {
	return cmp.Or(
		cmp.Compare(b.alignedSize(), a.alignedSize()),
		cmp.Compare(domainRank(a), domainRank(b)),
		cmp.Compare(b.unboundCells(), a.unboundCells()),
	)
}

// compareByShapeSize orders instances that are tied to a rack or worker first, then by
// decreasing number of accelerators.
func compareByShapeSize(a, b *shapeInstance) int {
	return cmp.Or(
		cmp.Compare(min(domainRank(a), 1), min(domainRank(b), 1)),
		cmp.Compare(b.accelerators(), a.accelerators()),
		cmp.Compare(domainRank(a), domainRank(b)),
	)
}

// alignedSize returns the number of accelerators of the aligned cell that the shape
// occupies in a worker.
func (inst *shapeInstance) alignedSize() int {
	if inst.within == model.LevelWorker {
		return topology.CellSize(inst.accelerators())
	}
	return inst.cellSize
}

// placeInstance takes all unbound cells of an instance from the free accelerators. It
// returns nil if they do not fit.
func (p *packing) placeInstance(inst *shapeInstance) []cell {
	count := inst.unboundCells()
	switch {
	case inst.within == model.LevelRack && inst.domain != noDomain:
		return p.takeCells(p.table.Racks[inst.domain], inst.cellSize, count)
	case inst.within == model.LevelRack:
		return p.takeFromRack(inst.cellSize, count)
	case inst.within == model.LevelWorker && inst.domain != noDomain:
		return p.takeCells([]int{inst.domain}, inst.cellSize, count)
	case inst.within == model.LevelWorker:
		return p.takeFromWorker(inst.cellSize, count)
	default:
		return p.takeCells(p.nodes, inst.cellSize, count)
	}
}

// takeFromRack takes cells from the rack that has enough free cells and the fewest of
// them. It returns nil if there is none.
func (p *packing) takeFromRack(size, required int) []cell {
	best, bestCount := noDomain, 0
	for r, nodes := range p.table.Racks {
		count := 0
		for _, i := range nodes {
			count += topology.CountFreeCells(p.free[i], size)
		}
		if count >= required && (best == noDomain || count < bestCount) {
			best, bestCount = r, count
		}
	}
	if best == noDomain {
		return nil
	}
	return p.takeCells(p.table.Racks[best], size, required)
}

// takeFromWorker takes cells from the worker that has enough free cells and the fewest
// free accelerators. It returns nil if there is none.
func (p *packing) takeFromWorker(size, required int) []cell {
	best, bestFree := noDomain, 0
	for _, i := range p.nodes {
		if topology.CountFreeCells(p.free[i], size) < required {
			continue
		}
		if free := p.free[i].Count(); best == noDomain || free < bestFree {
			best, bestFree = i, free
		}
	}
	if best == noDomain {
		return nil
	}
	return p.takeCells([]int{best}, size, required)
}

// takeCells takes count cells of the given size from the nodes, each from the smallest
// free cell that contains it. It takes nothing and returns nil if there are too few.
func (p *packing) takeCells(nodes []int, size, count int) []cell {
	out := make([]cell, 0, count)
	for len(out) < count {
		c, ok := p.smallestFreeCell(nodes, size)
		if !ok {
			for _, taken := range out {
				p.free[taken.node] |= taken.mask
			}
			return nil
		}
		p.free[c.node] &^= c.mask
		out = append(out, c)
	}
	return out
}

// smallestFreeCell returns an aligned cell of the given size from the smallest free cell
// that contains one, and false if there is none.
func (p *packing) smallestFreeCell(nodes []int, size int) (cell, bool) {
	var best cell
	bestFreeCellSize := 0
	for _, i := range nodes {
		free := p.free[i]
		for start := 0; free>>start != 0; start += size {
			mask := topology.MaskRange(start, size)
			if mask&^free != 0 {
				continue
			}
			freeCellSize := topology.EnclosingFreeCellSize(mask, free)
			if freeCellSize == size {
				return cell{i, mask}, true
			}
			if bestFreeCellSize == 0 || freeCellSize < bestFreeCellSize {
				best, bestFreeCellSize = cell{i, mask}, freeCellSize
			}
		}
	}
	return best, bestFreeCellSize > 0
}
