package placement

import (
	"cmp"
	"slices"

	"github.com/daisyfold/daisyfold/internal/model"
	"github.com/daisyfold/daisyfold/internal/topology"
)

// slot is a possible placement of one task on one node.
type slot struct {
	node         int
	accelerators topology.Mask
	victims      []int   // gangs to preempt first
	cost         float64 // of preempting the victims
	score        int     // fragmentation score, lower is better
	version      int     // of the nodeState that the slot was computed from
}

// slotHeap is a heap of slots. The slot with the lowest cost, then the lowest
// fragmentation score comes first.
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

// Weights of the fragmentation score. Breaking up a larger free cell outweighs everything
// else, and using an idle worker of a rack with many idle workers outweighs the rest.
const (
	cellSizeWeight   = 10_000
	idleWorkerWeight = 100
)

// maxProbationAccelerators is the size of the largest job that a worker on probation
// takes.
const maxProbationAccelerators = model.AcceleratorsPerPair

// evaluateNode returns the cheapest slot on node i, and false if the task does not fit.
func (s *search) evaluateNode(i int) (slot, bool) {
	n := &s.table.Nodes[i]
	task := s.request.Task
	if task.Accelerators > n.Capacity.Accelerators || task.CPUs > n.Capacity.CPUs || task.MemoryMB > n.Capacity.MemoryMB {
		return slot{}, false
	}
	if !s.healthAllowsTask(n, &s.nodes[i]) {
		return slot{}, false
	}
	if task.Accelerators == 0 {
		return s.fitCPUsAndMemory(slot{node: i, score: cpuOnlyScore(n, &s.nodes[i])})
	}
	return s.evaluateCells(i)
}

// healthAllowsTask reports whether the worker's health permits the task. A worker on
// probation takes one small job of a single task, and only while it is empty.
func (s *search) healthAllowsTask(n *topology.Node, state *nodeState) bool {
	if n.Usable() {
		return true
	}
	if n.Health != model.WorkerProbation || !s.request.AllowProbation {
		return false
	}
	return s.request.Tasks == 1 && s.request.Task.Accelerators <= maxProbationAccelerators &&
		len(n.Allocations) == 0 && state.placedTasks == 0
}

// cpuOnlyScore returns the score of a node for a task without accelerators. It prefers
// nodes with the fewest free accelerators, then the fewest accelerators, then the fewest
// free CPUs.
func cpuOnlyScore(n *topology.Node, state *nodeState) int {
	return state.freeAccelerators.Count()*cellSizeWeight + n.Capacity.Accelerators*idleWorkerWeight + state.freeCPUs
}

// evaluateCells returns the cheapest slot in the aligned cells of node i.
func (s *search) evaluateCells(i int) (slot, bool) {
	n := &s.table.Nodes[i]
	size := topology.CellSize(s.request.Task.Accelerators)
	usable := n.AllAccelerators &^ s.blocked(i)
	if s.request.Allowed != nil {
		usable &= s.request.Allowed[i]
	}
	var best slot
	found := false
	for start := 0; start < n.Capacity.Accelerators; start += size {
		candidate, ok := s.evaluateCell(i, usable&topology.MaskRange(start, size))
		if !ok {
			continue
		}
		if !found || candidate.cost < best.cost || (candidate.cost == best.cost && candidate.score < best.score) {
			best, found = candidate, true
		}
	}
	return best, found
}

// evaluateCell returns the slot in one aligned cell. If the cell has too few free
// accelerators, the cheapest gangs in it become victims.
func (s *search) evaluateCell(i int, cell topology.Mask) (slot, bool) {
	required := s.request.Task.Accelerators
	if cell.Count() < required {
		return slot{}, false
	}
	state := &s.nodes[i]
	free := state.freeAccelerators & cell
	candidate := slot{node: i}
	if free.Count() < required {
		if s.cost == nil {
			return slot{}, false
		}
		for _, v := range s.victims(i, cell) {
			if free.Count() >= required {
				break
			}
			free |= v.accelerators & cell
			candidate.victims = append(candidate.victims, v.gang)
			candidate.cost += v.cost
		}
		if free.Count() < required {
			return slot{}, false
		}
	}
	candidate.accelerators = free.Lowest(required)
	candidate.score = s.cellScore(i, candidate.accelerators)
	return s.fitCPUsAndMemory(candidate)
}

// cellScore returns the fragmentation score of using the accelerators of mask on node i.
// It grows with the size of the free cell that they break up.
func (s *search) cellScore(i int, mask topology.Mask) int {
	state := &s.nodes[i]
	cellSize := topology.EnclosingFreeCellSize(mask, state.freeAccelerators|mask)
	score := cellSize*cellSizeWeight + state.freeAccelerators.Count()
	if cellSize == model.AcceleratorsPerWorker {
		score += state.idleInRack * idleWorkerWeight
	}
	if s.table.Nodes[i].Health == model.WorkerProbation {
		score = 0 // The worker leaves probation only by running a small job.
	}
	return score
}

// fitCPUsAndMemory returns the slot with the victims added that free enough CPUs and
// memory, and false if that is not possible.
func (s *search) fitCPUsAndMemory(candidate slot) (slot, bool) {
	state := &s.nodes[candidate.node]
	candidate.version = state.version
	task := s.request.Task
	cpus, memoryMB := state.freeCPUs, state.freeMemoryMB
	for _, gang := range candidate.victims {
		use := s.gangUsage(candidate.node, gang)
		cpus += use.CPUs
		memoryMB += use.MemoryMB
	}
	if cpus >= task.CPUs && memoryMB >= task.MemoryMB {
		return candidate, true
	}
	if s.cost == nil {
		return slot{}, false
	}
	for _, v := range s.victims(candidate.node, 0) {
		if cpus >= task.CPUs && memoryMB >= task.MemoryMB {
			break
		}
		if slices.Contains(candidate.victims, v.gang) {
			continue
		}
		use := s.gangUsage(candidate.node, v.gang)
		cpus += use.CPUs
		memoryMB += use.MemoryMB
		candidate.victims = append(candidate.victims, v.gang)
		candidate.cost += v.cost
	}
	return candidate, cpus >= task.CPUs && memoryMB >= task.MemoryMB
}

// gangUsage returns the CPUs and memory that a gang uses on a node.
func (s *search) gangUsage(node, gang int) model.Resources {
	var sum model.Resources
	for _, alloc := range s.table.Nodes[node].Allocations {
		if alloc.Gang == gang {
			sum.CPUs += alloc.Resources.CPUs
			sum.MemoryMB += alloc.Resources.MemoryMB
		}
	}
	return sum
}

// victim is a gang on a node that may be preempted.
type victim struct {
	gang         int
	accelerators topology.Mask
	cost         float64
}

// victims returns the gangs on node i that may be preempted, the cheapest first. If cell
// is not empty, only gangs that hold accelerators in it are returned.
func (s *search) victims(i int, cell topology.Mask) []victim {
	var out []victim
	for _, alloc := range s.table.Nodes[i].Allocations {
		if s.preempted[alloc.Gang] || (cell != 0 && alloc.Accelerators&cell == 0) {
			continue
		}
		if index := slices.IndexFunc(out, func(v victim) bool { return v.gang == alloc.Gang }); index >= 0 {
			out[index].accelerators |= alloc.Accelerators
			continue
		}
		if cost, ok := s.cost(alloc.Gang); ok {
			out = append(out, victim{gang: alloc.Gang, accelerators: alloc.Accelerators, cost: cost})
		}
	}
	slices.SortFunc(out, func(a, b victim) int {
		return cmp.Or(cmp.Compare(a.cost, b.cost), cmp.Compare(a.gang, b.gang))
	})
	return out
}
