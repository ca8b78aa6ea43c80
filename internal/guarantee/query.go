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

// Lost returns the accelerators of guaranteed shapes that the hardware cannot hold.
func (b *Book) Lost() int {
	n := 0
	for _, in := range b.instances {
		if in.unfit {
			n += in.total()
		}
	}
	return n
}

// Strategy returns the strategy that built the book, for Options.First.
func (b *Book) Strategy() Strategy { return b.strategy }

// Uncovered returns the number of guaranteed gangs that lie in no shape.
func (b *Book) Uncovered() int { return b.uncovered }

// Open returns the accelerators of an organisation's shapes that hold no guaranteed
// work and fit the hardware.
func (b *Book) Open(org model.Organisation) int {
	n := 0
	for _, in := range b.byOrg[org] {
		if in.unfit {
			n += in.size * len(in.bound)
			continue
		}
		n += in.total()
	}
	for _, list := range b.work {
		n -= maskOf(list, org).Count()
	}
	return n
}

// Cells returns for each node the accelerators that the organisation's shapes hold:
// bound cells and the cells chosen for open shapes.
func (b *Book) Cells(org model.Organisation) []topology.Mask {
	out := make([]topology.Mask, len(b.table.Nodes))
	for _, in := range b.byOrg[org] {
		for _, c := range in.bound {
			out[c.node] |= c.mask
		}
		for _, c := range in.packed {
			out[c.node] |= c.mask
		}
	}
	return out
}

// Wastes reports whether work of the given size uses another shape of its organisation up
// although an unused shape has exactly that size. The organisation could then not claim
// the other shape, although it uses less than its guarantee.
func (b *Book) Wastes(after *Book, org model.Organisation, accelerators int) bool {
	all, exact := b.countUnused(org, accelerators)
	allAfter, exactAfter := after.countUnused(org, accelerators)
	return exact > 0 && allAfter < all && exactAfter == exact
}

// countUnused returns the unused shapes of an organisation that fit the hardware, and how
// many of them have the given size.
func (b *Book) countUnused(org model.Organisation, accelerators int) (all, exact int) {
	for _, in := range b.byOrg[org] {
		if len(in.bound) > 0 || in.unfit {
			continue
		}
		all++
		if in.shape.Accelerators() == accelerators {
			exact++
		}
	}
	return all, exact
}

// Choice is one unused shape with the cells that are chosen for it.
type Choice struct {
	Cells   []topology.Mask // by node; nil means that no shape is chosen
	ordinal int
	size    int
}

// Bind notes in the members that the choice's shape holds them. Work in the cells chosen
// for a shape must use that shape, or another shape can lose its place.
func (c *Choice) Bind(members []model.GangMember) {
	for i := range members {
		cells := (len(members[i].Accelerators) + c.size - 1) / c.size
		members[i].GuaranteedShapes = slices.Repeat([]int{c.ordinal}, cells)
	}
}

// Choices returns the unused shapes that hold the given number of accelerators, the
// smallest first.
func (b *Book) Choices(org model.Organisation, accelerators int) []Choice {
	var out []Choice
	for ordinal, in := range b.byOrg[org] {
		if len(in.bound) > 0 || in.unfit || in.total() < accelerators {
			continue
		}
		c := Choice{Cells: make([]topology.Mask, len(b.table.Nodes)), ordinal: ordinal, size: in.size}
		for _, cell := range in.packed {
			c.Cells[cell.node] |= cell.mask
		}
		out = append(out, c)
	}
	slices.SortStableFunc(out, func(x, y Choice) int {
		return cmp.Compare(b.byOrg[org][x.ordinal].total(), b.byOrg[org][y.ordinal].total())
	})
	return out
}

// Outside returns for each node the accelerators that are not bound to other
// organisations.
func (b *Book) Outside(org model.Organisation) []topology.Mask {
	out := make([]topology.Mask, len(b.table.Nodes))
	for i := range out {
		out[i] = b.table.Nodes[i].All &^ others(b.cells[i], org)
	}
	return out
}

// Has reports whether the organisation has a guarantee on the shard.
func (b *Book) Has(org model.Organisation) bool {
	return len(b.byOrg[org]) > 0
}

// shapeKey groups equal shapes of one organisation.
type shapeKey struct {
	org   model.Organisation
	shape model.Shape
}

// Findings names each organisation and shape that the hardware cannot hold.
func (b *Book) Findings(shard model.ShardID) finding.List {
	unfit := make(map[shapeKey]int)
	for _, in := range b.instances {
		if in.unfit {
			unfit[shapeKey{in.org, in.shape}]++
		}
	}
	return describe(unfit, "the workers in use of shard "+shard.String())
}

func describe(unfit map[shapeKey]int, where string) finding.List {
	var out finding.List
	for k, n := range unfit {
		out.Add(finding.Finding{Message: fmt.Sprintf(
			"organisation %s: %d guaranteed shapes of %d %s within one %s do not fit on %s",
			k.org, n, k.shape.Count, k.shape.Cell, k.shape.Within, where,
		)})
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Message < out[j].Message })
	return out
}

// AllCells returns for each node the accelerators that any organisation's shapes
// hold.
func (b *Book) AllCells() []topology.Mask {
	out := make([]topology.Mask, len(b.table.Nodes))
	for _, in := range b.instances {
		for _, c := range in.bound {
			out[c.node] |= c.mask
		}
		for _, c := range in.packed {
			out[c.node] |= c.mask
		}
	}
	return out
}

// Unused returns the shapes that hold no guaranteed work and fit the hardware.
func (b *Book) Unused() []model.Guarantee {
	var out []model.Guarantee
	for _, in := range b.instances {
		if len(in.bound) == 0 && !in.unfit {
			out = append(out, model.Guarantee{Organisation: in.org, Shape: in.shape, ShapeCount: 1})
		}
	}
	return out
}
