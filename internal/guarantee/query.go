package guarantee

import (
	"cmp"
	"fmt"
	"slices"
	"sort"

	"github.com/daisyfold/daisyfold/internal/finding"
	"github.com/daisyfold/daisyfold/internal/model"
	"github.com/daisyfold/daisyfold/internal/topology"
)

// Shortfall returns the number of accelerators of the guaranteed shapes that do not
// fit on the hardware.
func (s *State) Shortfall() int {
	n := 0
	for _, inst := range s.instances {
		if inst.unplaceable {
			n += inst.accelerators()
		}
	}
	return n
}

// Strategy returns the strategy that the state was built with, for use as
// Options.FirstStrategy.
func (s *State) Strategy() Strategy { return s.strategy }

// Uncovered returns the number of guaranteed gangs that the organisations' shapes do
// not cover.
func (s *State) Uncovered() int { return s.uncoveredGangs }

// UnusedAccelerators returns the number of accelerators in an organisation's shapes
// that fit on the hardware and hold no guaranteed work.
func (s *State) UnusedAccelerators(org model.Organisation) int {
	n := 0
	for _, inst := range s.byOrg[org] {
		if inst.unplaceable {
			n += inst.cellSize * len(inst.boundCells)
			continue
		}
		n += inst.accelerators()
	}
	for _, masks := range s.guaranteedWork {
		n -= maskOf(masks, org).Count()
	}
	return n
}

// CellsOf returns for each node the accelerators of the organisation's shapes: the
// bound cells and the cells that are packed for unbound ones.
func (s *State) CellsOf(org model.Organisation) []topology.Mask {
	out := make([]topology.Mask, len(s.table.Nodes))
	for _, inst := range s.byOrg[org] {
		for _, c := range inst.boundCells {
			out[c.node] |= c.mask
		}
		for _, c := range inst.packedCells {
			out[c.node] |= c.mask
		}
	}
	return out
}

// WastesShape reports whether the state after a placement of the given number of
// accelerators has used up a shape of another size although an unused shape has exactly
// that size. The organisation could then not claim the other shape, although it uses
// less than its guarantee.
func (s *State) WastesShape(after *State, org model.Organisation, accelerators int) bool {
	unused, exact := s.countUnused(org, accelerators)
	unusedAfter, exactAfter := after.countUnused(org, accelerators)
	return exact > 0 && unusedAfter < unused && exactAfter == exact
}

// countUnused returns the number of unused shapes of an organisation that fit on the
// hardware, and how many of them have exactly the given number of accelerators.
func (s *State) countUnused(org model.Organisation, accelerators int) (unused, exact int) {
	for _, inst := range s.byOrg[org] {
		if len(inst.boundCells) > 0 || inst.unplaceable {
			continue
		}
		unused++
		if inst.shape.Accelerators() == accelerators {
			exact++
		}
	}
	return unused, exact
}

// ShapeChoice is one unused shape with the cells that are packed for it.
type ShapeChoice struct {
	Cells    []topology.Mask // by node
	ordinal  int             // index in the organisation's shapes
	cellSize int             // accelerators
}

// RecordShape records in the members that the shape covers them. Work in the cells
// packed for a shape must use that shape, or another shape can lose its cells.
func (c *ShapeChoice) RecordShape(members []model.GangMember) {
	for i := range members {
		cellCount := (len(members[i].Accelerators) + c.cellSize - 1) / c.cellSize
		members[i].GuaranteedShapes = slices.Repeat([]int{c.ordinal}, cellCount)
	}
}

// ShapeChoices returns the unused shapes with at least the given number of accelerators,
// the smallest first.
func (s *State) ShapeChoices(org model.Organisation, accelerators int) []ShapeChoice {
	var out []ShapeChoice
	for ordinal, inst := range s.byOrg[org] {
		if len(inst.boundCells) > 0 || inst.unplaceable || inst.accelerators() < accelerators {
			continue
		}
		c := ShapeChoice{Cells: make([]topology.Mask, len(s.table.Nodes)), ordinal: ordinal, cellSize: inst.cellSize}
		for _, cell := range inst.packedCells {
			c.Cells[cell.node] |= cell.mask
		}
		out = append(out, c)
	}
	slices.SortStableFunc(out, func(x, y ShapeChoice) int {
		return cmp.Compare(s.byOrg[org][x.ordinal].accelerators(), s.byOrg[org][y.ordinal].accelerators())
	})
	return out
}

// NotBoundToOthers returns for each node the accelerators that are not bound to shapes of
// other organisations.
func (s *State) NotBoundToOthers(org model.Organisation) []topology.Mask {
	out := make([]topology.Mask, len(s.table.Nodes))
	for i := range out {
		out[i] = s.table.Nodes[i].AllAccelerators &^ otherOrgsMask(s.boundCells[i], org)
	}
	return out
}

// HasGuarantee reports whether the organisation has a guarantee on the shard.
func (s *State) HasGuarantee(org model.Organisation) bool {
	return len(s.byOrg[org]) > 0
}

// shapeKey groups equal shapes of one organisation.
type shapeKey struct {
	org   model.Organisation
	shape model.Shape
}

// Findings returns a finding for each organisation and shape that does not fit on the
// hardware.
func (s *State) Findings(shard model.ShardID) finding.List {
	unplaced := make(map[shapeKey]int)
	for _, inst := range s.instances {
		if inst.unplaceable {
			unplaced[shapeKey{inst.org, inst.shape}]++
		}
	}
	return unplacedFindings(unplaced, "the workers in use of shard "+shard.String())
}

// unplacedFindings returns one finding for each key, sorted by message. The values are
// numbers of shapes.
func unplacedFindings(unplaced map[shapeKey]int, where string) finding.List {
	var out finding.List
	for k, n := range unplaced {
		out.Add(finding.Finding{Message: fmt.Sprintf(
			"organisation %s: %d guaranteed shapes of %d %s within one %s do not fit on %s",
			k.org, n, k.shape.Count, k.shape.Cell, k.shape.Within, where,
		)})
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Message < out[j].Message })
	return out
}

// AllCells returns for each node the accelerators of the shapes of all organisations.
func (s *State) AllCells() []topology.Mask {
	out := make([]topology.Mask, len(s.table.Nodes))
	for _, inst := range s.instances {
		for _, c := range inst.boundCells {
			out[c.node] |= c.mask
		}
		for _, c := range inst.packedCells {
			out[c.node] |= c.mask
		}
	}
	return out
}

// UnusedShapes returns the shapes that fit on the hardware and hold no guaranteed work,
// one entry for each.
func (s *State) UnusedShapes() []model.Guarantee {
	var out []model.Guarantee
	for _, inst := range s.instances {
		if len(inst.boundCells) == 0 && !inst.unplaceable {
			out = append(out, model.Guarantee{Organisation: inst.org, Shape: inst.shape, ShapeCount: 1})
		}
	}
	return out
}
