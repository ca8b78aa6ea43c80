// Package guarantee keeps organisations' guarantees as sets of shapes. It binds
// shapes to physical cells only where guaranteed work runs, and checks that all
// unused shapes fit at once on the cells that remain.
package guarantee

import (
	"cmp"
	"slices"

	"github.com/daisyfold/daisyfold/internal/model"
	"github.com/daisyfold/daisyfold/internal/topology"
)

// anywhere is the domain of an instance that is not tied to a rack or a worker.
const anywhere = -1

// cell is one aligned cell on a node.
type cell struct {
	node int
	mask topology.Mask
}

// instance is one guaranteed shape.
type instance struct {
	org    model.Organisation
	shape  model.Shape
	size   int         // accelerators of one cell
	count  int         // cells
	within model.Level // worker, rack or zone
	domain int         // rack or node index once a cell is bound
	bound  []cell      // cells that hold guaranteed work
	packed []cell      // cells chosen for the rest
	unfit  bool
}

func (in *instance) total() int { return in.size * in.count }

func (in *instance) open() int { return in.count - len(in.bound) }

// owned is a set of accelerators of one organisation on a node.
type owned struct {
	org  model.Organisation
	mask topology.Mask
}

// Book is the state of all guarantees on one shard.
type Book struct {
	table     *topology.Table
	strategy  Strategy
	byOrg     map[model.Organisation][]*instance
	previous  *Book
	uncovered int // guaranteed gangs that lie in no shape
	instances []*instance
	work      [][]owned // guaranteed work by node
	cells     [][]owned // bound cells by node
	taken     []topology.Mask
	// Within reports for each gang of the table whether it runs within its
	// organisation's guarantee. Gangs outside can be preempted.
	Within []bool
	// ExtraWithin reports whether the extra placement of the options is covered.
	ExtraWithin bool
}

// Options change what a Book is built from.
type Options struct {
	// Extra is a placement that is to be added to the table's gangs.
	Extra *model.Placement
	// Pinned are gangs outside a guarantee that must not be preempted; their
	// cells cannot serve a guarantee.
	Pinned func(gang int) bool
	// First is the strategy to try first, that of an earlier Book of nearly the
	// same state.
	First Strategy
	// Previous is a Book of the same guarantees and nearly the same state, or nil.
	Previous *Book
	// Lost and Uncovered are what an earlier Book of nearly the same state had; a
	// book that has no more is not improved further.
	Lost, Uncovered int
}

// gangWork is one guaranteed gang and its accelerators by node.
type gangWork struct {
	id    int // index in the table, or extraGang
	org   model.Organisation
	total int
	since int64
	parts []cell
	hints [][]int // shapes recorded for each part, nil for a new gang
}

const extraGang = -1

// Strategy is how work is matched with shapes, as a set of bits. No single greedy order
// finds a packing whenever there is one, so NewBook tries all and keeps the best.
type Strategy int

const (
	coverMost   Strategy = 1 << iota // the cell that covers most work, not the tightest
	largeShapes                      // the largest shape first, not the closest in size
	oldestGangs                      // the oldest gangs first, not the largest
	strategies                       // the number of combinations
)

// NewBook binds the guaranteed work of the table to guaranteed shapes and packs the
// shapes that are not in use.
func NewBook(t *topology.Table, guarantees []model.Guarantee, o Options) *Book {
	best := build(t, guarantees, o, o.First)
	for s := range strategies {
		if best.uncovered <= o.Uncovered && best.Lost() <= o.Lost {
			break
		}
		b := build(t, guarantees, o, s)
		if b.uncovered < best.uncovered ||
			(b.uncovered == best.uncovered && b.Lost() < best.Lost()) {
			best = b
		}
	}
	return best
}

func build(t *topology.Table, guarantees []model.Guarantee, o Options, s Strategy) *Book {
	b := &Book{
		table: t, strategy: s, previous: o.Previous, Within: make([]bool, len(t.Gangs)),
		work: make([][]owned, len(t.Nodes)), cells: make([][]owned, len(t.Nodes)),
		taken: make([]topology.Mask, len(t.Nodes)), byOrg: make(map[model.Organisation][]*instance),
	}
	b.expand(guarantees)
	if len(b.instances) == 0 {
		return b
	}
	gangs := b.collect(o.Extra)
	var rest []*gangWork
	for i := range gangs {
		if !b.replay(&gangs[i]) {
			rest = append(rest, &gangs[i])
		}
	}
	for _, w := range rest {
		b.cover(w)
	}
	b.block(o.Pinned)
	b.pack()
	return b
}

func (b *Book) expand(guarantees []model.Guarantee) {
	for _, g := range guarantees {
		for range g.ShapeCount {
			in := newInstance(g.Organisation, g.Shape)
			b.instances = append(b.instances, in)
			b.byOrg[g.Organisation] = append(b.byOrg[g.Organisation], in)
		}
	}
}

// newInstance normalises a shape. A shape within a pair or a four is treated as the
// aligned cell that holds it; a single cell may lie anywhere.
func newInstance(org model.Organisation, s model.Shape) *instance {
	in := &instance{
		org: org, shape: s, size: model.AcceleratorsPerCell(s.Cell), count: s.Count,
		within: s.Within, domain: anywhere,
	}
	switch s.Within {
	case model.LevelAccelerator, model.LevelPair, model.LevelFour:
		in.size = topology.CellSize(s.Accelerators())
		in.count = 1
	case model.LevelWorker:
		if in.total() == model.AcceleratorsPerWorker {
			in.size, in.count = model.AcceleratorsPerWorker, 1
		}
	}
	if in.count == 1 {
		in.within = model.LevelZone
	}
	return in
}

// collect returns the guaranteed gangs in the order of the strategy.
func (b *Book) collect(extra *model.Placement) []gangWork {
	var out []gangWork
	for id := range b.table.Gangs {
		if p := b.table.Gangs[id].Placement; p.Guaranteed {
			if w := b.gang(id, p); len(w.parts) > 0 {
				out = append(out, w)
			}
		}
	}
	if extra != nil {
		out = append(out, b.gang(extraGang, extra))
	}
	slices.SortStableFunc(out, func(x, y gangWork) int {
		if b.strategy&oldestGangs != 0 {
			return cmp.Compare(x.since, y.since)
		}
		return cmp.Or(cmp.Compare(y.total, x.total), cmp.Compare(x.since, y.since))
	})
	return out
}

func (b *Book) gang(id int, p *model.Placement) gangWork {
	w := gangWork{id: id, org: p.Job.Organisation, since: p.StartedUnixMS}
	for m := range p.Members {
		node, ok := b.table.Index(p.Members[m].Worker)
		mask := topology.Of(p.Members[m].Accelerators)
		if !ok || mask == 0 {
			continue
		}
		w.total += mask.Count()
		w.parts = append(w.parts, cell{node, mask})
		w.hints = append(w.hints, p.Members[m].GuaranteedShapes)
		add(&b.work[node], w.org, mask)
	}
	return w
}

func add(list *[]owned, org model.Organisation, mask topology.Mask) {
	for i := range *list {
		if (*list)[i].org == org {
			(*list)[i].mask |= mask
			return
		}
	}
	*list = append(*list, owned{org, mask})
}

func maskOf(list []owned, org model.Organisation) topology.Mask {
	for _, o := range list {
		if o.org == org {
			return o.mask
		}
	}
	return 0
}

// others returns the accelerators in list that belong to other organisations.
func others(list []owned, org model.Organisation) topology.Mask {
	var m topology.Mask
	for _, o := range list {
		if o.org != org {
			m |= o.mask
		}
	}
	return m
}

// block makes the cells of pinned work outside guarantees unusable.
func (b *Book) block(pinned func(gang int) bool) {
	if pinned == nil {
		return
	}
	for id := range b.table.Gangs {
		if b.Within[id] || !pinned(id) {
			continue
		}
		for _, i := range b.table.Gangs[id].Nodes {
			for _, o := range b.table.Nodes[i].Tasks {
				if o.Gang == id {
					b.taken[i] |= o.Mask
				}
			}
		}
	}
}
