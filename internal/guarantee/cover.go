package guarantee

import (
	"slices"

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
				b.uncovered++
				return
			}
			b.bind(&step)
			steps = append(steps, step)
		}
	}
	b.covered(w)
}

func (b *Book) covered(w *gangWork) {
	if w.id == extraGang {
		b.ExtraWithin = true
		return
	}
	b.Within[w.id] = true
}

// replay binds the shapes that were recorded when the gang was placed. A matching that
// was valid once stays valid when other gangs end, which a new search may not find. It
// reports whether the whole gang is covered.
func (b *Book) replay(w *gangWork) bool {
	var steps []binding
	for i, part := range w.parts {
		left := part.mask
		for _, ordinal := range w.hints[i] {
			step, ok := b.recorded(w.org, ordinal, cell{part.node, left})
			if !ok {
				break
			}
			if !slices.Contains(step.in.bound, step.cell) {
				b.bind(&step)
				steps = append(steps, step)
			}
			left &^= step.cell.mask
		}
		if left != 0 {
			b.undo(w.org, steps)
			return false
		}
	}
	b.covered(w)
	return true
}

// recorded returns the binding of the recorded shape to the lowest cell of left.
func (b *Book) recorded(org model.Organisation, ordinal int, left cell) (binding, bool) {
	if left.mask == 0 || ordinal < 0 || ordinal >= len(b.byOrg[org]) {
		return binding{}, false
	}
	in := b.byOrg[org][ordinal]
	c := cell{left.node, topology.CellAround(left.mask.Lowest(1), in.size)}
	if slices.Contains(in.bound, c) {
		return binding{in, c, in.domain}, true
	}
	ok := in.open() > 0 && b.inDomain(in, c.node) && b.canBind(in, c)
	return binding{in, c, in.domain}, ok
}

// Record notes in the members the shapes that hold their accelerators.
func (b *Book) Record(org model.Organisation, members []model.GangMember) {
	for m := range members {
		node, ok := b.table.Index(members[m].Worker)
		if !ok {
			continue
		}
		members[m].GuaranteedShapes = nil
		for left := topology.Of(members[m].Accelerators); left != 0; {
			ordinal, mask := b.owner(org, node, left.Lowest(1))
			if ordinal < 0 {
				break
			}
			members[m].GuaranteedShapes = append(members[m].GuaranteedShapes, ordinal)
			left &^= mask
		}
	}
}

// owner returns the shape that is bound to an accelerator, and its cell.
func (b *Book) owner(org model.Organisation, node int, accelerator topology.Mask) (int, topology.Mask) {
	for ordinal, in := range b.byOrg[org] {
		for _, c := range in.bound {
			if c.node == node && c.mask&accelerator != 0 {
				return ordinal, c.mask
			}
		}
	}
	return -1, 0
}

// choose returns the best cell that covers some of the work that is left.
func (b *Book) choose(w *gangWork, left cell) (binding, bool) {
	best := binding{}
	var bestRank [4]int
	uncovered := maskOf(b.work[left.node], w.org) &^ maskOf(b.cells[left.node], w.org)
	for _, in := range b.byOrg[w.org] {
		if in.open() == 0 || !b.inDomain(in, left.node) {
			continue
		}
		mask := topology.CellAround(left.mask.Lowest(1), in.size)
		if !b.canBind(in, cell{left.node, mask}) {
			continue
		}
		rank := [4]int{b.missing(in, left.node), -(mask & left.mask).Count(), in.size, sizeGap(in, w.total)}
		if b.strategy&coverMost != 0 {
			rank[1] = -(mask & uncovered).Count()
		}
		if b.strategy&largeShapes != 0 {
			rank[3] = -in.total()
		}
		if best.in == nil || slices.Compare(rank[:], bestRank[:]) < 0 {
			best, bestRank = binding{in, cell{left.node, mask}, in.domain}, rank
		}
	}
	return best, best.in != nil
}

// missing returns how many cells of the shape could not be found near the node if the
// shape were tied to its rack or worker.
func (b *Book) missing(in *instance, node int) int {
	if in.within == model.LevelZone {
		return 0
	}
	domain := []int{node}
	if in.within == model.LevelRack {
		domain = b.table.Racks[b.table.Nodes[node].Rack]
	}
	cells := 0
	for _, i := range domain {
		n := &b.table.Nodes[i]
		if n.Usable() || i == node {
			cells += topology.CountCells(n.All&^b.taken[i]&^others(b.work[i], in.org), in.size)
		}
	}
	return max(in.open()-cells, 0)
}

// sizeGap orders shapes of equal cells: an unused one of the gang's size first, then one
// in use, then the smallest that holds the gang, then the largest.
func sizeGap(in *instance, total int) int {
	const larger = 1 << 20
	switch {
	case len(in.bound) == 0 && in.total() == total:
		return -2
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
