package guarantee

import (
	"slices"

	"github.com/daisyfold/daisyfold/internal/model"
	"github.com/daisyfold/daisyfold/internal/topology"
)

// binding binds a cell to a shape. It holds what unbind needs to undo it.
type binding struct {
	instance       *shapeInstance
	cell           cell
	previousDomain int // domain of the instance before the binding
}

// coverGang binds cells of the organisation's shapes until they cover the whole gang. A
// gang that cannot be covered stays outside the guarantee.
func (s *State) coverGang(gang *guaranteedGang) {
	var bindings []binding
	for _, member := range gang.members {
		for {
			remaining := member.mask &^ maskOf(s.boundCells[member.node], gang.org)
			if remaining == 0 {
				break
			}
			next, ok := s.chooseBinding(gang, cell{member.node, remaining})
			if !ok {
				s.unbind(gang.org, bindings)
				s.uncoveredGangs++
				return
			}
			s.bind(&next)
			bindings = append(bindings, next)
		}
	}
	s.markCovered(gang)
}

// markCovered records that a gang runs within its organisation's guarantee.
func (s *State) markCovered(gang *guaranteedGang) {
	if gang.index == extraGangIndex {
		s.ExtraCovered = true
		return
	}
	s.Covered[gang.index] = true
}

// rebindRecorded binds the shapes that were recorded when the gang was placed, and
// reports whether they cover the whole gang. The recorded bindings stay valid when other
// gangs end, whereas a new search may not find valid ones.
func (s *State) rebindRecorded(gang *guaranteedGang) bool {
	var bindings []binding
	for i, member := range gang.members {
		remaining := member.mask
		for _, ordinal := range gang.recordedShapes[i] {
			next, ok := s.recordedBinding(gang.org, ordinal, cell{member.node, remaining})
			if !ok {
				break
			}
			if !slices.Contains(next.instance.boundCells, next.cell) {
				s.bind(&next)
				bindings = append(bindings, next)
			}
			remaining &^= next.cell.mask
		}
		if remaining != 0 {
			s.unbind(gang.org, bindings)
			return false
		}
	}
	s.markCovered(gang)
	return true
}

// recordedBinding returns the binding of a recorded shape to the cell around the lowest
// remaining accelerator, and false if the shape cannot be bound there.
func (s *State) recordedBinding(org model.Organisation, ordinal int, remaining cell) (binding, bool) {
	if remaining.mask == 0 || ordinal < 0 || ordinal >= len(s.byOrg[org]) {
		return binding{}, false
	}
	inst := s.byOrg[org][ordinal]
	c := cell{remaining.node, topology.EnclosingCell(remaining.mask.Lowest(1), inst.cellSize)}
	if slices.Contains(inst.boundCells, c) {
		return binding{inst, c, inst.domain}, true
	}
	ok := inst.unboundCells() > 0 && s.inDomain(inst, c.node) && s.canBind(inst, c)
	return binding{inst, c, inst.domain}, ok
}

// RecordShapes records in the members the shapes that are bound to their accelerators.
func (s *State) RecordShapes(org model.Organisation, members []model.GangMember) {
	for m := range members {
		node, ok := s.table.NodeIndex(members[m].Worker)
		if !ok {
			continue
		}
		members[m].GuaranteedShapes = nil
		for remaining := topology.MaskOf(members[m].Accelerators); remaining != 0; {
			ordinal, mask := s.boundShape(org, node, remaining.Lowest(1))
			if ordinal < 0 {
				break
			}
			members[m].GuaranteedShapes = append(members[m].GuaranteedShapes, ordinal)
			remaining &^= mask
		}
	}
}

// boundShape returns the index of the organisation's shape that is bound to an
// accelerator, and the bound cell. The index is -1 if there is none.
func (s *State) boundShape(org model.Organisation, node int, accelerator topology.Mask) (int, topology.Mask) {
	for ordinal, inst := range s.byOrg[org] {
		for _, c := range inst.boundCells {
			if c.node == node && c.mask&accelerator != 0 {
				return ordinal, c.mask
			}
		}
	}
	return -1, 0
}

// chooseBinding returns the best binding that covers the lowest remaining accelerator,
// and false if there is none.
func (s *State) chooseBinding(gang *guaranteedGang, remaining cell) (binding, bool) {
	best := binding{}
	var bestRank [4]int
	uncovered := maskOf(s.guaranteedWork[remaining.node], gang.org) &^ maskOf(s.boundCells[remaining.node], gang.org)
	for _, inst := range s.byOrg[gang.org] {
		if inst.unboundCells() == 0 || !s.inDomain(inst, remaining.node) {
			continue
		}
		mask := topology.EnclosingCell(remaining.mask.Lowest(1), inst.cellSize)
		if !s.canBind(inst, cell{remaining.node, mask}) {
			continue
		}
		rank := [4]int{
			s.missingCells(inst, remaining.node), -(mask & remaining.mask).Count(),
			inst.cellSize, sizeRank(inst, gang.accelerators),
		}
		if s.strategy&preferMostCovered != 0 {
			rank[1] = -(mask & uncovered).Count()
		}
		if s.strategy&preferLargeShapes != 0 {
			rank[3] = -inst.accelerators()
		}
		if best.instance == nil || slices.Compare(rank[:], bestRank[:]) < 0 {
			best, bestRank = binding{inst, cell{remaining.node, mask}, inst.domain}, rank
		}
	}
	return best, best.instance != nil
}

// missingCells returns how many unbound cells of the shape would not fit if the shape
// were tied to the node's rack or worker.
func (s *State) missingCells(inst *shapeInstance, node int) int {
	if inst.within == model.LevelZone {
		return 0
	}
	domain := []int{node}
	if inst.within == model.LevelRack {
		domain = s.table.Racks[s.table.Nodes[node].Rack]
	}
	cells := 0
	for _, i := range domain {
		n := &s.table.Nodes[i]
		if n.Usable() || i == node {
			cells += topology.CountFreeCells(n.AllAccelerators&^s.unavailable[i]&^otherOrgsMask(s.guaranteedWork[i], inst.org), inst.cellSize)
		}
	}
	return max(inst.unboundCells()-cells, 0)
}

// sizeRank returns the rank of a shape for a gang of the given size, lower is better: an
// unused shape of the same size, a shape in use, the smallest shape that holds the gang,
// then the largest of those that are too small.
func sizeRank(inst *shapeInstance, accelerators int) int {
	const tooSmallRank = 1 << 20 // exceeds the rank of any shape that holds the gang
	switch {
	case len(inst.boundCells) == 0 && inst.accelerators() == accelerators:
		return -2
	case len(inst.boundCells) > 0:
		return -1
	case inst.accelerators() >= accelerators:
		return inst.accelerators() - accelerators
	default:
		return tooSmallRank - inst.accelerators()
	}
}

// inDomain reports whether a cell on the node may belong to the instance.
func (s *State) inDomain(inst *shapeInstance, node int) bool {
	if inst.domain == noDomain {
		return true
	}
	if inst.within == model.LevelRack {
		return inst.domain == s.table.Nodes[node].Rack
	}
	return inst.domain == node
}

// canBind reports whether the cell exists, is available and holds no guaranteed work of
// other organisations.
func (s *State) canBind(inst *shapeInstance, c cell) bool {
	n := &s.table.Nodes[c.node]
	if c.mask == 0 || c.mask&^n.AllAccelerators != 0 || c.mask&s.unavailable[c.node] != 0 {
		return false
	}
	return c.mask&otherOrgsMask(s.guaranteedWork[c.node], inst.org) == 0
}

// bind applies a binding. The first bound cell ties the instance to its rack or worker.
func (s *State) bind(b *binding) {
	inst := b.instance
	inst.boundCells = append(inst.boundCells, b.cell)
	switch inst.within {
	case model.LevelRack:
		inst.domain = s.table.Nodes[b.cell.node].Rack
	case model.LevelWorker:
		inst.domain = b.cell.node
	}
	s.unavailable[b.cell.node] |= b.cell.mask
	addMask(&s.boundCells[b.cell.node], inst.org, b.cell.mask)
}

// unbind undoes the bindings.
func (s *State) unbind(org model.Organisation, bindings []binding) {
	for _, b := range bindings {
		b.instance.boundCells = b.instance.boundCells[:len(b.instance.boundCells)-1]
		s.unavailable[b.cell.node] &^= b.cell.mask
		masks := s.boundCells[b.cell.node]
		for i := range masks {
			if masks[i].org == org {
				masks[i].mask &^= b.cell.mask
			}
		}
	}
	for i := len(bindings) - 1; i >= 0; i-- {
		bindings[i].instance.domain = bindings[i].previousDomain
	}
}
