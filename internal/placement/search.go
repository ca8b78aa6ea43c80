// Package placement finds workers and accelerators for all tasks of a gang or for none.
// The tasks lie as close together as the job requires, and the choice keeps fragmentation
// of the free accelerators low.
package placement

import (
	"container/heap"

	"github.com/daisyfold/daisyfold/internal/model"
	"github.com/daisyfold/daisyfold/internal/topology"
)

// Request describes the gang to place.
type Request struct {
	Tasks  int
	Task   model.Resources // of each task
	Within model.Level
	// Allowed limits the accelerators that may be used on each node; nil means all.
	Allowed []topology.Mask
	// Blocked holds accelerators on each node that may not be used; nil means none.
	Blocked []topology.Mask
	// AllowProbation permits a worker on probation, which takes one small job of a
	// single task.
	AllowProbation bool
}

// CostFunc returns the cost of preempting a gang, and false if the gang must not be
// preempted. gang is an index in AllocationTable.Gangs.
type CostFunc func(gang int) (float64, bool)

// Result is a placement that Find has chosen.
type Result struct {
	Members []model.GangMember
	// Victims lists the gangs that must be preempted first.
	Victims []int
	Cost    float64 // of preempting the victims
	score   int     // fragmentation score, lower is better
}

// nodeState holds a node's free resources during one search.
type nodeState struct {
	freeAccelerators topology.Mask
	freeCPUs         int
	freeMemoryMB     int
	idleInRack       int // idle workers in the rack when the search began
	placedTasks      int // tasks placed by this search
	version          int // slots of earlier versions are out of date
}

// search is the state of one call of Find.
type search struct {
	table     *topology.AllocationTable
	request   *Request
	cost      CostFunc
	nodes     []nodeState  // by node index
	preempted map[int]bool // by gang index
}

// Find returns the placement with the lowest cost, then the lowest fragmentation score,
// or nil if there is none. With a nil cost function it uses free resources only.
func Find(t *topology.AllocationTable, r *Request, cost CostFunc) *Result {
	if r.Tasks <= 0 {
		return nil
	}
	s := &search{table: t, request: r, cost: cost, nodes: make([]nodeState, len(t.Nodes))}
	idleByRack := make([]int, len(t.Racks))
	for i := range t.Nodes {
		if t.IsIdle(i) && t.Nodes[i].Usable() {
			idleByRack[t.Nodes[i].Rack]++
		}
	}
	switch r.Within {
	case model.LevelAccelerator, model.LevelPair, model.LevelFour, model.LevelWorker:
		return s.findWorker(idleByRack)
	case model.LevelRack:
		return s.findRack(idleByRack)
	default:
		return s.placeGang(nil, idleByRack)
	}
}

// findWorker places the gang within one worker.
func (s *search) findWorker(idleByRack []int) *Result {
	if s.request.Tasks == 1 {
		return s.placeGang(nil, idleByRack)
	}
	var best *Result
	domain := make([]int, 1)
	for i := range s.table.Nodes {
		domain[0] = i
		best = betterResult(best, s.placeGang(domain, idleByRack))
	}
	return best
}

// findRack places the gang within one rack.
func (s *search) findRack(idleByRack []int) *Result {
	if s.request.Tasks == 1 {
		return s.placeGang(nil, idleByRack)
	}
	var best *Result
	for _, nodes := range s.table.Racks {
		best = betterResult(best, s.placeGang(nodes, idleByRack))
	}
	return best
}

// betterResult returns the result with the lower cost, then the lower score. Either may be
// nil.
func betterResult(a, b *Result) *Result {
	if a == nil {
		return b
	}
	if b == nil {
		return a
	}
	if b.Cost < a.Cost || (b.Cost == a.Cost && b.score < a.score) {
		return b
	}
	return a
}

// placeGang places the whole gang on the nodes of domain, taking the cheapest slot for
// each task. A nil domain means all nodes. It returns nil if the gang does not fit.
func (s *search) placeGang(domain []int, idleByRack []int) *Result {
	s.preempted = nil
	if s.request.Tasks == 1 {
		return s.placeSingleTask(idleByRack)
	}
	candidates := s.candidateSlots(domain, idleByRack)
	result := &Result{Members: make([]model.GangMember, 0, s.request.Tasks)}
	for len(result.Members) < s.request.Tasks {
		if len(candidates) == 0 {
			return nil
		}
		candidate := heap.Pop(&candidates).(slot)
		if candidate.version != s.nodes[candidate.node].version {
			continue
		}
		changed := s.assignSlot(&candidate, result)
		for _, i := range changed {
			s.reevaluate(&candidates, i, domain)
		}
	}
	return result
}

// placeSingleTask places a gang of one task on the cheapest slot of all nodes.
func (s *search) placeSingleTask(idleByRack []int) *Result {
	var best slot
	found := false
	for i := range s.table.Nodes {
		s.resetNode(i, idleByRack)
		candidate, ok := s.evaluateNode(i)
		if ok && (!found || candidate.before(&best)) {
			best, found = candidate, true
		}
	}
	if !found {
		return nil
	}
	result := &Result{}
	s.assignSlot(&best, result)
	return result
}

// resetNode sets the state of node i to that before the search.
func (s *search) resetNode(i int, idleByRack []int) {
	n := &s.table.Nodes[i]
	s.nodes[i] = nodeState{
		freeAccelerators: n.FreeAccelerators &^ s.blocked(i),
		freeCPUs:         n.FreeCPUs, freeMemoryMB: n.FreeMemoryMB, idleInRack: idleByRack[n.Rack],
	}
}

// candidateSlots returns a heap of the best slot of each node of domain, nil meaning all
// nodes.
func (s *search) candidateSlots(domain []int, idleByRack []int) slotHeap {
	candidates := make(slotHeap, 0, max(len(domain), 16))
	if domain == nil {
		candidates = make(slotHeap, 0, len(s.table.Nodes))
	}
	addNode := func(i int) {
		s.resetNode(i, idleByRack)
		if candidate, ok := s.evaluateNode(i); ok {
			candidates = append(candidates, candidate)
		}
	}
	if domain == nil {
		for i := range s.table.Nodes {
			addNode(i)
		}
	}
	for _, i := range domain {
		addNode(i)
	}
	heap.Init(&candidates)
	return candidates
}

// blocked returns the accelerators of node i that may not be used.
func (s *search) blocked(i int) topology.Mask {
	if s.request.Blocked == nil {
		return 0
	}
	return s.request.Blocked[i]
}

// reevaluate adds an up-to-date slot of node i if the node lies in the domain, and
// invalidates the earlier ones.
func (s *search) reevaluate(candidates *slotHeap, i int, domain []int) {
	if domain != nil && !contains(domain, i) {
		return
	}
	s.nodes[i].version++
	if candidate, ok := s.evaluateNode(i); ok {
		heap.Push(candidates, candidate)
	}
}

func contains(domain []int, node int) bool {
	for _, i := range domain {
		if i == node {
			return true
		}
	}
	return false
}

// assignSlot adds the slot to the result and returns the nodes whose free resources
// changed.
func (s *search) assignSlot(chosen *slot, result *Result) []int {
	changed := []int{chosen.node}
	for _, gang := range chosen.victims {
		changed = append(changed, s.preemptGang(gang)...)
		result.Victims = append(result.Victims, gang)
	}
	state := &s.nodes[chosen.node]
	task := s.request.Task
	state.freeAccelerators &^= chosen.accelerators
	state.freeCPUs -= task.CPUs
	state.freeMemoryMB -= task.MemoryMB
	state.placedTasks++
	result.Cost += chosen.cost
	result.score += chosen.score
	result.Members = append(result.Members, model.GangMember{
		TaskIndex: len(result.Members), Worker: s.table.Nodes[chosen.node].ID,
		Accelerators: chosen.accelerators.Indices(), Resources: task,
	})
	return changed
}

// preemptGang marks the gang's resources as free for this search and returns the gang's
// nodes.
func (s *search) preemptGang(gang int) []int {
	if s.preempted == nil {
		s.preempted = make(map[int]bool)
	}
	s.preempted[gang] = true
	nodes := s.table.Gangs[gang].Nodes
	for _, i := range nodes {
		for _, alloc := range s.table.Nodes[i].Allocations {
			if alloc.Gang == gang {
				s.nodes[i].freeAccelerators |= alloc.Accelerators &^ s.blocked(i)
				s.nodes[i].freeCPUs += alloc.Resources.CPUs
				s.nodes[i].freeMemoryMB += alloc.Resources.MemoryMB
			}
		}
	}
	return nodes
}
