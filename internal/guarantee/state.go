// Package guarantee tracks the organisations' guarantees of accelerators, which are sets
// of shapes. It binds shapes to physical cells only where guaranteed work runs, and
// checks that all unused shapes fit on the remaining cells at the same time.
package guarantee

import (
	"cmp"
	"slices"

	"github.com/daisyfold/daisyfold/internal/model"
	"github.com/daisyfold/daisyfold/internal/topology"
)

// noDomain is the domain of an instance that is not tied to a rack or worker.
const noDomain = -1

// cell is a set of accelerators on one node, usually an aligned cell.
type cell struct {
	node int
	mask topology.Mask
}

// shapeInstance is one guaranteed shape.
type shapeInstance struct {
	org         model.Organisation
	shape       model.Shape
	cellSize    int // accelerators of one cell
	cellCount   int
	within      model.Level // worker, rack or zone
	domain      int         // rack or node index once a cell is bound
	boundCells  []cell      // cells that hold guaranteed work
	packedCells []cell      // cells chosen for the unbound ones
	unplaceable bool        // the unbound cells do not fit on the hardware
}

// accelerators returns the number of accelerators of the shape.
func (inst *shapeInstance) accelerators() int { return inst.cellSize * inst.cellCount }

// unboundCells returns the number of cells that are not bound to guaranteed work.
func (inst *shapeInstance) unboundCells() int { return inst.cellCount - len(inst.boundCells) }

// orgMask is a set of accelerators of one organisation on a node.
type orgMask struct {
	org  model.Organisation
	mask topology.Mask
}

// State is the state of all guarantees on one shard.
type State struct {
	table          *topology.AllocationTable
	strategy       Strategy
	byOrg          map[model.Organisation][]*shapeInstance
	previous       *State
	uncoveredGangs int // guaranteed gangs that no shapes cover
	instances      []*shapeInstance
	guaranteedWork [][]orgMask     // accelerators of guaranteed gangs, by node
	boundCells     [][]orgMask     // by node
	unavailable    []topology.Mask // bound or non-preemptible, by node
	// Covered reports for each gang of the table whether it runs within its
	// organisation's guarantee. Other gangs can be preempted.
	Covered []bool
	// ExtraCovered reports whether Options.Extra runs within its organisation's
	// guarantee.
	ExtraCovered bool
}

// Options are the optional inputs of NewState.
type Options struct {
	// Extra is a placement to consider in addition to the table's gangs, or nil.
	Extra *model.Placement
	// NonPreemptible reports whether a gang must not be preempted. Accelerators of
	// such a gang outside a guarantee cannot serve a guarantee. Nil means none.
	NonPreemptible func(gang int) bool
	// FirstStrategy is tried first. It is the strategy of an earlier, similar state.
	FirstStrategy Strategy
	// Previous is an earlier, similar state of the same guarantees, or nil.
	Previous *State
	// AcceptableShortfall (in accelerators) and AcceptableUncovered (in gangs) are the
	// values of an earlier, similar state. No further strategy is tried once a state
	// exceeds neither.
	AcceptableShortfall, AcceptableUncovered int
}

// guaranteedGang is a guaranteed gang and the accelerators of its members.
type guaranteedGang struct {
	index          int // index in the table, or extraGangIndex
	org            model.Organisation
	accelerators   int // total
	startedUnixMS  int64
	members        []cell  // accelerators of each member, not necessarily aligned
	recordedShapes [][]int // by member; nil for a new gang
}

// extraGangIndex stands for Options.Extra, which is not in the table.
const extraGangIndex = -1

// Strategy is a bit set that selects how guaranteed work is matched with shapes. No
// single greedy order always finds an existing packing, so NewState tries all
// combinations and keeps the best.
type Strategy int

const (
	preferMostCovered Strategy = 1 << iota // prefer the cell that covers the most work to the smallest one
	preferLargeShapes                      // prefer the largest shape to the closest in size
	preferOldGangs                         // match the oldest gangs first instead of the largest
	strategyCount                          // number of combinations
)

// NewState binds the guaranteed work of the table to guaranteed shapes and packs the
// unbound cells of the shapes on the remaining accelerators.
func NewState(t *topology.AllocationTable, guarantees []model.Guarantee, o Options) *State {
	best := newStateWithStrategy(t, guarantees, o, o.FirstStrategy)
	for strategy := range strategyCount {
		if best.uncoveredGangs <= o.AcceptableUncovered && best.Shortfall() <= o.AcceptableShortfall {
			break
		}
		candidate := newStateWithStrategy(t, guarantees, o, strategy)
		if candidate.uncoveredGangs < best.uncoveredGangs ||
			(candidate.uncoveredGangs == best.uncoveredGangs && candidate.Shortfall() < best.Shortfall()) {
			best = candidate
		}
	}
	return best
}

// newStateWithStrategy is like NewState, but tries a single strategy.
func newStateWithStrategy(t *topology.AllocationTable, guarantees []model.Guarantee, o Options, strategy Strategy) *State {
	s := &State{
		table: t, strategy: strategy, previous: o.Previous, Covered: make([]bool, len(t.Gangs)),
		guaranteedWork: make([][]orgMask, len(t.Nodes)), boundCells: make([][]orgMask, len(t.Nodes)),
		unavailable: make([]topology.Mask, len(t.Nodes)), byOrg: make(map[model.Organisation][]*shapeInstance),
	}
	s.addInstances(guarantees)
	if len(s.instances) == 0 {
		return s
	}
	gangs := s.collectGangs(o.Extra)
	var uncovered []*guaranteedGang
	for i := range gangs {
		if !s.rebindRecorded(&gangs[i]) {
			uncovered = append(uncovered, &gangs[i])
		}
	}
	for _, gang := range uncovered {
		s.coverGang(gang)
	}
	s.excludeNonPreemptible(o.NonPreemptible)
	s.packUnboundCells()
	return s
}

// addInstances adds one instance for each guaranteed shape.
func (s *State) addInstances(guarantees []model.Guarantee) {
	for _, g := range guarantees {
		for range g.ShapeCount {
			inst := newInstance(g.Organisation, g.Shape)
			s.instances = append(s.instances, inst)
			s.byOrg[g.Organisation] = append(s.byOrg[g.Organisation], inst)
		}
	}
}

// newInstance returns an instance of a normalised shape. A shape within a pair or a four
// becomes the aligned cell that holds it; a shape of a single cell may lie anywhere in
// the zone.
func newInstance(org model.Organisation, shape model.Shape) *shapeInstance {
	inst := &shapeInstance{
		org: org, shape: shape, cellSize: model.AcceleratorsPerCell(shape.Cell), cellCount: shape.Count,
		within: shape.Within, domain: noDomain,
	}
	switch shape.Within {
	case model.LevelAccelerator, model.LevelPair, model.LevelFour:
		inst.cellSize = topology.CellSize(shape.Accelerators())
		inst.cellCount = 1
	case model.LevelWorker:
		if inst.accelerators() == model.AcceleratorsPerWorker {
			inst.cellSize, inst.cellCount = model.AcceleratorsPerWorker, 1
		}
	}
	if inst.cellCount == 1 {
		inst.within = model.LevelZone
	}
	return inst
}

// collectGangs returns the guaranteed gangs in the order that the strategy selects.
func (s *State) collectGangs(extra *model.Placement) []guaranteedGang {
	var out []guaranteedGang
	for index := range s.table.Gangs {
		if p := s.table.Gangs[index].Placement; p.Guaranteed {
			if gang := s.addGang(index, p); len(gang.members) > 0 {
				out = append(out, gang)
			}
		}
	}
	if extra != nil {
		out = append(out, s.addGang(extraGangIndex, extra))
	}
	slices.SortStableFunc(out, func(x, y guaranteedGang) int {
		if s.strategy&preferOldGangs != 0 {
			return cmp.Compare(x.startedUnixMS, y.startedUnixMS)
		}
		return cmp.Or(cmp.Compare(y.accelerators, x.accelerators), cmp.Compare(x.startedUnixMS, y.startedUnixMS))
	})
	return out
}

// addGang records the accelerators of a guaranteed gang and returns the gang. Members on
// unknown workers and without accelerators are ignored.
func (s *State) addGang(index int, p *model.Placement) guaranteedGang {
	gang := guaranteedGang{index: index, org: p.Job.Organisation, startedUnixMS: p.StartedUnixMS}
	for m := range p.Members {
		node, ok := s.table.NodeIndex(p.Members[m].Worker)
		mask := topology.MaskOf(p.Members[m].Accelerators)
		if !ok || mask == 0 {
			continue
		}
		gang.accelerators += mask.Count()
		gang.members = append(gang.members, cell{node, mask})
		gang.recordedShapes = append(gang.recordedShapes, p.Members[m].GuaranteedShapes)
		addMask(&s.guaranteedWork[node], gang.org, mask)
	}
	return gang
}

// addMask adds accelerators to an organisation's entry.
func addMask(masks *[]orgMask, org model.Organisation, mask topology.Mask) {
	for i := range *masks {
		if (*masks)[i].org == org {
			(*masks)[i].mask |= mask
			return
		}
	}
	*masks = append(*masks, orgMask{org, mask})
}

// maskOf returns the accelerators that belong to the organisation.
func maskOf(masks []orgMask, org model.Organisation) topology.Mask {
	for _, m := range masks {
		if m.org == org {
			return m.mask
		}
	}
	return 0
}

// otherOrgsMask returns the accelerators that belong to other organisations.
func otherOrgsMask(masks []orgMask, org model.Organisation) topology.Mask {
	var out topology.Mask
	for _, m := range masks {
		if m.org != org {
			out |= m.mask
		}
	}
	return out
}

// excludeNonPreemptible makes the accelerators of non-preemptible gangs outside
// guarantees unavailable.
func (s *State) excludeNonPreemptible(nonPreemptible func(gang int) bool) {
	if nonPreemptible == nil {
		return
	}
	for gang := range s.table.Gangs {
		if s.Covered[gang] || !nonPreemptible(gang) {
			continue
		}
		for _, i := range s.table.Gangs[gang].Nodes {
			for _, alloc := range s.table.Nodes[i].Allocations {
				if alloc.Gang == gang {
					s.unavailable[i] |= alloc.Accelerators
				}
			}
		}
	}
}
