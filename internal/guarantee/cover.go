package guarantee

import (
	"github.com/daisyfold/daisyfold/internal/model"
	"github.com/daisyfold/daisyfold/internal/topology"
)

// binding is one step of cover, kept so that it can be undone.
type binding struct {
	in     *instance
	cell   cell
	domain int // the instance's domain before the step
}

// cover binds cells of the organisation's shapes until the whole gang lies within
// them. A gang that cannot be covered is left outside the guarantee.
func (b *Book) cover(w *gangWork) {
	var steps []binding
	for _, part := range w.parts {
		for {
			left := part.mask &^ maskOf(b.cells[part.node], w.org)
			if left == 0 {
				break
			}
			step, ok := b.choose(w, cell{part.node, left})
			if !ok {
				b.undo(w.org, steps)
				return
			}
			b.bind(&step)
			steps = append(steps, step)
		}
	}
	if w.id == extraGang {
		b.ExtraWithin = true
		return
	}
	b.Within[w.id] = true
}

// choose returns the cell that covers most of the organisation's guaranteed work on
// the node, preferring the smallest cell and the shape closest to the gang's size.
// The greatest cover first keeps the result independent of the order of starts.
func (b *Book) choose(w *gangWork, left cell) (binding, bool) {
	best := binding{}
	bestCover, bestSize, bestGap := 0, 0, 0
	uncovered := maskOf(b.work[left.node], w.org) &^ maskOf(b.cells[left.node], w.org)
	for _, in := range b.instances {
		if in.org != w.org || in.open() == 0 || !b.inDomain(in, left.node) {
			continue
		}
		mask := topology.CellAround(left.mask.Lowest(1), in.size)
		if !b.canBind(in, cell{left.node, mask}) {
			continue
		}
		cover, gap := (mask & uncovered).Count(), sizeGap(in, w.total)
		if cover < bestCover || (cover == bestCover && (in.size > bestSize || (in.size == bestSize && gap >= bestGap))) {
			continue
		}
		best = binding{in, cell{left.node, mask}, in.domain}
		bestCover, bestSize, bestGap = cover, in.size, gap
	}
	return best, best.in != nil
}

// sizeGap orders shapes of equal cells: one already in use first, then the smallest
// that holds the gang, then the largest.
func sizeGap(in *instance, total int) int {
	const larger = 1 << 20
	switch {
	case len(in.bound) > 0:
		return -1
	case in.total() >= total:
		return in.total() - total
	default:
		return larger - in.total()
	}
}

func (b *Book) inDomain(in *instance, node int) bool {
	if in.domain == anywhere {
		return true
	}
	if in.within == model.LevelRack {
		return in.domain == b.table.Nodes[node].Rack
	}
	return in.domain == node
}

func (b *Book) canBind(in *instance, c cell) bool {
	n := &b.table.Nodes[c.node]
	if c.mask == 0 || c.mask&^n.All != 0 || c.mask&b.taken[c.node] != 0 {
		return false
	}
	return c.mask&others(b.work[c.node], in.org) == 0
}

func (b *Book) bind(s *binding) {
	in := s.in
	in.bound = append(in.bound, s.cell)
	switch in.within {
	case model.LevelRack:
		in.domain = b.table.Nodes[s.cell.node].Rack
	case model.LevelWorker:
		in.domain = s.cell.node
	}
	b.taken[s.cell.node] |= s.cell.mask
	add(&b.cells[s.cell.node], in.org, s.cell.mask)
}

func (b *Book) undo(org model.Organisation, steps []binding) {
	for _, s := range steps {
		s.in.bound = s.in.bound[:len(s.in.bound)-1]
		b.taken[s.cell.node] &^= s.cell.mask
		list := b.cells[s.cell.node]
		for i := range list {
			if list[i].org == org {
				list[i].mask &^= s.cell.mask
			}
		}
	}
	for i := len(steps) - 1; i >= 0; i-- {
		steps[i].in.domain = steps[i].domain
	}
}
