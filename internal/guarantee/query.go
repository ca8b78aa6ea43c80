package guarantee

import (
	"fmt"
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

// Choices returns the cells of each unused shape that holds the given number of
// accelerators, smallest shape first.
func (b *Book) Choices(org model.Organisation, accelerators int) [][]topology.Mask {
	var open []*instance
	for _, in := range b.byOrg[org] {
		if len(in.bound) == 0 && !in.unfit && in.total() >= accelerators {
			open = append(open, in)
		}
	}
	sort.SliceStable(open, func(i, j int) bool { return open[i].total() < open[j].total() })
	var out [][]topology.Mask
	for _, in := range open {
		masks := make([]topology.Mask, len(b.table.Nodes))
		for _, c := range in.packed {
			masks[c.node] |= c.mask
		}
		out = append(out, masks)
	}
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
			out = append(out, model.Guarantee{Organisation: in.org, Shape: in.shape, Shapes: 1})
		}
	}
	return out
}
