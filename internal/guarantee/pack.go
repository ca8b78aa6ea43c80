package guarantee

import (
	"cmp"
	"slices"

	"github.com/daisyfold/daisyfold/internal/model"
	"github.com/daisyfold/daisyfold/internal/topology"
)

// packing is one attempt to place all open cells on the remaining accelerators.
type packing struct {
	table *topology.Table
	nodes []int // nodes with accelerators
	free  []topology.Mask
	cells [][]cell // by instance
	lost  int      // accelerators of the shapes that do not fit
}

// pack chooses cells for every open shape. Cells may hold work outside guarantees,
// which is preempted when the shape is claimed.
func (b *Book) pack() {
	best := b.tryPack(byCell, false)
	if best.lost > 0 {
		// Large shapes of small cells can lose against small shapes of large
		// cells; the opposite order finds those packings.
		if other := b.tryPack(byTotal, false); other.lost < best.lost {
			best = other
		}
	}
	if best.lost > 0 && b.previous != nil {
		if other := b.tryPack(byCell, true); other.lost < best.lost {
			best = other
		}
	}
	for i, in := range b.instances {
		in.packed = best.cells[i]
		in.unfit = len(in.packed) < in.open()
	}
}

// tryPack packs in the given order. With keep, shapes first take the cells that they had
// in the earlier Book, which is valid when the state differs by work in one shape.
func (b *Book) tryPack(order func(a, b *instance) int, keep bool) *packing {
	p := &packing{table: b.table, free: make([]topology.Mask, len(b.table.Nodes)), cells: make([][]cell, len(b.instances))}
	for i := range b.table.Nodes {
		if n := &b.table.Nodes[i]; n.Usable() && n.All != 0 {
			p.free[i] = n.All &^ b.taken[i]
			p.nodes = append(p.nodes, i)
		}
	}
	indices := make([]int, 0, len(b.instances))
	for i, in := range b.instances {
		if in.open() > 0 {
			indices = append(indices, i)
		}
	}
	slices.SortStableFunc(indices, func(x, y int) int { return order(b.instances[x], b.instances[y]) })
	if keep {
		b.keep(p)
	}
	for _, i := range indices {
		if p.cells[i] != nil {
			continue
		}
		p.cells[i] = p.place(b.instances[i])
		if len(p.cells[i]) < b.instances[i].open() {
			p.lost += b.instances[i].total()
		}
	}
	return p
}

// keep gives open shapes the cells of the earlier Book where these are still free.
func (b *Book) keep(p *packing) {
	for i, in := range b.instances {
		old := b.previous.instances[i].packed
		if in.open() == 0 || len(old) != in.open() || slices.ContainsFunc(old, func(c cell) bool {
			return c.mask&^p.free[c.node] != 0 || !b.inDomain(in, c.node)
		}) {
			continue
		}
		p.cells[i] = old
		for _, c := range old {
			p.free[c.node] &^= c.mask
		}
	}
}

// rank orders instances by how few places they have: those tied to a domain, then
// those that need one worker, one rack, the zone.
func rank(in *instance) int {
	switch {
	case in.domain != anywhere:
		return 0
	case in.within == model.LevelWorker:
		return 1
	case in.within == model.LevelRack:
		return 2
	default:
		return 3
	}
}

func byCell(a, b *instance) int {
	return cmp.Or(
		cmp.Compare(b.block(), a.block()),
		cmp.Compare(rank(a), rank(b)),
		cmp.Compare(b.open(), a.open()),
	)
}

func byTotal(a, b *instance) int {
	return cmp.Or(
		cmp.Compare(min(rank(a), 1), min(rank(b), 1)),
		cmp.Compare(b.total(), a.total()),
		cmp.Compare(rank(a), rank(b)),
	)
}

// block returns the size of the aligned cell that the shape occupies in a worker.
func (in *instance) block() int {
	if in.within == model.LevelWorker {
		return topology.CellSize(in.total())
	}
	return in.size
}

// place takes the open cells of an instance from the free accelerators, or none.
func (p *packing) place(in *instance) []cell {
	need := in.open()
	switch {
	case in.within == model.LevelRack && in.domain != anywhere:
		return p.take(p.table.Racks[in.domain], in.size, need)
	case in.within == model.LevelRack:
		return p.takeRack(in.size, need)
	case in.within == model.LevelWorker && in.domain != anywhere:
		return p.take([]int{in.domain}, in.size, need)
	case in.within == model.LevelWorker:
		return p.takeWorker(in.size, need)
	default:
		return p.take(p.nodes, in.size, need)
	}
}

// takeRack uses the rack with the fewest cells that suffice.
func (p *packing) takeRack(size, need int) []cell {
	best, bestCount := anywhere, 0
	for r, nodes := range p.table.Racks {
		count := 0
		for _, i := range nodes {
			count += topology.CountCells(p.free[i], size)
		}
		if count >= need && (best == anywhere || count < bestCount) {
			best, bestCount = r, count
		}
	}
	if best == anywhere {
		return nil
	}
	return p.take(p.table.Racks[best], size, need)
}

// takeWorker uses the worker with the fewest free accelerators that suffice.
func (p *packing) takeWorker(size, need int) []cell {
	best, bestFree := anywhere, 0
	for _, i := range p.nodes {
		if topology.CountCells(p.free[i], size) < need {
			continue
		}
		if free := p.free[i].Count(); best == anywhere || free < bestFree {
			best, bestFree = i, free
		}
	}
	if best == anywhere {
		return nil
	}
	return p.take([]int{best}, size, need)
}

// take removes need cells of the given size from the nodes, each from the smallest
// free cell that holds it. It takes nothing when there are too few.
func (p *packing) take(nodes []int, size, need int) []cell {
	out := make([]cell, 0, need)
	for len(out) < need {
		c, ok := p.smallest(nodes, size)
		if !ok {
			for _, back := range out {
				p.free[back.node] |= back.mask
			}
			return nil
		}
		p.free[c.node] &^= c.mask
		out = append(out, c)
	}
	return out
}

func (p *packing) smallest(nodes []int, size int) (cell, bool) {
	var best cell
	bestBlock := 0
	for _, i := range nodes {
		free := p.free[i]
		for base := 0; free>>base != 0; base += size {
			mask := topology.Span(base, size)
			if mask&^free != 0 {
				continue
			}
			block := topology.BlockSize(mask, free)
			if block == size {
				return cell{i, mask}, true
			}
			if bestBlock == 0 || block < bestBlock {
				best, bestBlock = cell{i, mask}, block
			}
		}
	}
	return best, bestBlock > 0
}
