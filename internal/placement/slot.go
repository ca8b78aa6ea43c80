package placement

import (
	"cmp"
	"slices"

	"github.com/daisyfold/daisyfold/internal/model"
	"github.com/daisyfold/daisyfold/internal/topology"
)

// slot is room for one task on one node.
type slot struct {
	node    int
	mask    topology.Mask
	clear   []int
	cost    float64
	score   int
	version int
}

// slotHeap orders slots by cost, then by how much they break up free cells.
type slotHeap []slot

func (h slotHeap) Len() int      { return len(h) }
func (h slotHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h slotHeap) Less(i, j int) bool {
	return h[i].before(&h[j])
}

// before reports whether a is the better slot.
func (a *slot) before(b *slot) bool {
	if a.cost != b.cost {
		return a.cost < b.cost
	}
	if a.score != b.score {
		return a.score < b.score
	}
	return a.node < b.node
}

// Push appends a slot; it implements heap.Interface.
func (h *slotHeap) Push(x any) { *h = append(*h, x.(slot)) }

// Pop removes the last slot; it implements heap.Interface.
func (h *slotHeap) Pop() any {
	last := len(*h) - 1
	x := (*h)[last]
	*h = (*h)[:last]
	return x
}

// Weights of the slot score. Breaking a larger cell outweighs everything else, and
// taking a whole worker from a rack with many whole workers outweighs the rest.
const (
	weightBlock = 10_000
	weightWhole = 100
)

// maxTrialAccelerators bounds the small job that a worker on probation takes.
const maxTrialAccelerators = model.AcceleratorsPerPair

// evaluate returns the cheapest slot on node i.
func (s *search) evaluate(i int) (slot, bool) {
	n := &s.table.Nodes[i]
	task := s.request.Task
	if task.Accelerators > n.Capacity.Accelerators || task.CPUs > n.Capacity.CPUs || task.MemoryMB > n.Capacity.MemoryMB {
		return slot{}, false
	}
	if !s.admits(n, &s.state[i]) {
		return slot{}, false
	}
	if task.Accelerators == 0 {
		return s.finish(slot{node: i, score: plainScore(n, &s.state[i])})
	}
	return s.evaluateCells(i)
}

// admits applies the worker's health: a worker on probation takes one task of a
// small job and only while it is empty.
func (s *search) admits(n *topology.Node, state *nodeState) bool {
	if n.Usable() {
		return true
	}
	if n.Health != model.WorkerProbation || !s.request.Trial {
		return false
	}
	return s.request.Tasks == 1 && s.request.Task.Accelerators <= maxTrialAccelerators &&
		len(n.Tasks) == 0 && state.tasks == 0
}

// plainScore prefers workers without accelerators, then those whose free
// accelerators are few, then the fullest.
func plainScore(n *topology.Node, state *nodeState) int {
	return state.free.Count()*weightBlock + n.Capacity.Accelerators*weightWhole + state.cpus
}

func (s *search) evaluateCells(i int) (slot, bool) {
	n := &s.table.Nodes[i]
	size := topology.CellSize(s.request.Task.Accelerators)
	usable := n.All &^ s.blocked(i)
	if s.request.Allowed != nil {
		usable &= s.request.Allowed[i]
	}
	var best slot
	found := false
	for base := 0; base < n.Capacity.Accelerators; base += size {
		next, ok := s.evaluateCell(i, usable&topology.Span(base, size))
		if !ok {
			continue
		}
		if !found || next.cost < best.cost || (next.cost == best.cost && next.score < best.score) {
			best, found = next, true
		}
	}
	return best, found
}

// evaluateCell returns the slot in one aligned cell, clearing the cheapest gangs if
// the cell has too few free accelerators.
func (s *search) evaluateCell(i int, cell topology.Mask) (slot, bool) {
	need := s.request.Task.Accelerators
	if cell.Count() < need {
		return slot{}, false
	}
	state := &s.state[i]
	free := state.free & cell
	next := slot{node: i}
	if free.Count() < need {
		if s.cost == nil {
			return slot{}, false
		}
		for _, v := range s.victims(i, cell) {
			if free.Count() >= need {
				break
			}
			free |= v.mask & cell
			next.clear = append(next.clear, v.gang)
			next.cost += v.cost
		}
		if free.Count() < need {
			return slot{}, false
		}
	}
	next.mask = free.Lowest(need)
	next.score = s.cellScore(i, next.mask)
	return s.finish(next)
}

// cellScore grows with the size of the free cell that the slot breaks up.
func (s *search) cellScore(i int, mask topology.Mask) int {
	state := &s.state[i]
	block := topology.BlockSize(mask, state.free|mask)
	score := block*weightBlock + state.free.Count()
	if block == model.AcceleratorsPerWorker {
		score += state.whole * weightWhole
	}
	if s.table.Nodes[i].Health == model.WorkerProbation {
		score = 0 // A small job is the only way for the worker to leave probation.
	}
	return score
}

// finish makes room for the slot's CPUs and memory.
func (s *search) finish(next slot) (slot, bool) {
	state := &s.state[next.node]
	next.version = state.version
	task := s.request.Task
	cpus, memory := state.cpus, state.memory
	for _, gang := range next.clear {
		use := s.use(next.node, gang)
		cpus += use.CPUs
		memory += use.MemoryMB
	}
	if cpus >= task.CPUs && memory >= task.MemoryMB {
		return next, true
	}
	if s.cost == nil {
		return slot{}, false
	}
	for _, v := range s.victims(next.node, 0) {
		if cpus >= task.CPUs && memory >= task.MemoryMB {
			break
		}
		if slices.Contains(next.clear, v.gang) {
			continue
		}
		use := s.use(next.node, v.gang)
		cpus += use.CPUs
		memory += use.MemoryMB
		next.clear = append(next.clear, v.gang)
		next.cost += v.cost
	}
	return next, cpus >= task.CPUs && memory >= task.MemoryMB
}

// use returns what a gang uses on a node.
func (s *search) use(node, gang int) model.Resources {
	var sum model.Resources
	for _, o := range s.table.Nodes[node].Tasks {
		if o.Gang == gang {
			sum.CPUs += o.Use.CPUs
			sum.MemoryMB += o.Use.MemoryMB
		}
	}
	return sum
}

// victim is a gang that may be cleared from a node.
type victim struct {
	gang int
	mask topology.Mask
	cost float64
}

// victims returns the gangs on a node that may be cleared, cheapest first. With a
// cell, only gangs that hold accelerators in it are returned.
func (s *search) victims(i int, cell topology.Mask) []victim {
	var out []victim
	for _, o := range s.table.Nodes[i].Tasks {
		if s.cleared[o.Gang] || (cell != 0 && o.Mask&cell == 0) {
			continue
		}
		if k := slices.IndexFunc(out, func(v victim) bool { return v.gang == o.Gang }); k >= 0 {
			out[k].mask |= o.Mask
			continue
		}
		if cost, ok := s.cost(o.Gang); ok {
			out = append(out, victim{gang: o.Gang, mask: o.Mask, cost: cost})
		}
	}
	slices.SortFunc(out, func(a, b victim) int {
		return cmp.Or(cmp.Compare(a.cost, b.cost), cmp.Compare(a.gang, b.gang))
	})
	return out
}
