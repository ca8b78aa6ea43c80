// Package placement chooses the members of a gang: all or none, adjacent as the job
// asks, on the place that leaves the largest shapes whole.
package placement

import (
	"container/heap"

	"github.com/daisyfold/daisyfold/internal/model"
	"github.com/daisyfold/daisyfold/internal/topology"
)

// Request is the gang to place.
type Request struct {
	Tasks  int
	Task   model.Resources
	Within model.Level
	// Allowed limits the accelerators that may be used on each node; nil means all.
	Allowed []topology.Mask
	// Blocked holds accelerators on each node that may not be used; nil means none.
	Blocked []topology.Mask
	// Trial permits a worker on probation, which takes one task of one small job.
	Trial bool
}

// CostFunc returns what it costs to clear a gang away, and false when the gang must
// stay.
type CostFunc func(gang int) (float64, bool)

// Result is a place for a gang.
type Result struct {
	Members []model.GangMember
	// Clear lists the gangs that must stop before the place is free.
	Clear []int
	Cost  float64
	score int
}

// nodeState is a node's free resources during one search.
type nodeState struct {
	free    topology.Mask
	cpus    int
	memory  int
	whole   int // whole free workers in the rack when the search began
	tasks   int // tasks placed by this search
	version int
}

type search struct {
	table   *topology.Table
	request *Request
	cost    CostFunc
	state   []nodeState
	cleared map[int]bool
}

// Find returns the cheapest place for the request, or nil. With a nil cost function
// only free resources are used.
func Find(t *topology.Table, r *Request, cost CostFunc) *Result {
	if r.Tasks <= 0 {
		return nil
	}
	s := &search{table: t, request: r, cost: cost, state: make([]nodeState, len(t.Nodes))}
	whole := make([]int, len(t.Racks))
	for i := range t.Nodes {
		if t.Whole(i) && t.Nodes[i].Usable() {
			whole[t.Nodes[i].Rack]++
		}
	}
	switch r.Within {
	case model.LevelAccelerator, model.LevelPair, model.LevelFour, model.LevelWorker:
		return s.findWorker(whole)
	case model.LevelRack:
		return s.findRack(whole)
	default:
		return s.gather(nil, whole)
	}
}

func (s *search) findWorker(whole []int) *Result {
	if s.request.Tasks == 1 {
		return s.gather(nil, whole)
	}
	var best *Result
	domain := make([]int, 1)
	for i := range s.table.Nodes {
		domain[0] = i
		best = better(best, s.gather(domain, whole))
	}
	return best
}

func (s *search) findRack(whole []int) *Result {
	if s.request.Tasks == 1 {
		return s.gather(nil, whole)
	}
	var best *Result
	for _, nodes := range s.table.Racks {
		best = better(best, s.gather(nodes, whole))
	}
	return best
}

func better(a, b *Result) *Result {
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

// gather places the whole gang on the nodes of domain, nil meaning all nodes. It
// takes the cheapest slot each time.
func (s *search) gather(domain []int, whole []int) *Result {
	s.cleared = nil
	if s.request.Tasks == 1 {
		return s.single(whole)
	}
	queue := s.slots(domain, whole)
	result := &Result{Members: make([]model.GangMember, 0, s.request.Tasks)}
	for len(result.Members) < s.request.Tasks {
		if len(queue) == 0 {
			return nil
		}
		next := heap.Pop(&queue).(slot)
		if next.version != s.state[next.node].version {
			continue
		}
		touched := s.take(&next, result)
		for _, i := range touched {
			s.push(&queue, i, domain)
		}
	}
	return result
}

// single places a gang of one task on the cheapest slot of all nodes.
func (s *search) single(whole []int) *Result {
	var best slot
	found := false
	for i := range s.table.Nodes {
		s.reset(i, whole)
		next, ok := s.evaluate(i)
		if ok && (!found || next.before(&best)) {
			best, found = next, true
		}
	}
	if !found {
		return nil
	}
	result := &Result{}
	s.take(&best, result)
	return result
}

func (s *search) reset(i int, whole []int) {
	n := &s.table.Nodes[i]
	s.state[i] = nodeState{
		free: n.Free &^ s.blocked(i), cpus: n.CPUs, memory: n.MemoryMB, whole: whole[n.Rack],
	}
}

func (s *search) slots(domain []int, whole []int) slotHeap {
	queue := make(slotHeap, 0, max(len(domain), 16))
	if domain == nil {
		queue = make(slotHeap, 0, len(s.table.Nodes))
	}
	visit := func(i int) {
		s.reset(i, whole)
		if next, ok := s.evaluate(i); ok {
			queue = append(queue, next)
		}
	}
	if domain == nil {
		for i := range s.table.Nodes {
			visit(i)
		}
	}
	for _, i := range domain {
		visit(i)
	}
	heap.Init(&queue)
	return queue
}

func (s *search) blocked(i int) topology.Mask {
	if s.request.Blocked == nil {
		return 0
	}
	return s.request.Blocked[i]
}

// push evaluates node i again if it lies in the domain.
func (s *search) push(queue *slotHeap, i int, domain []int) {
	if domain != nil && !contains(domain, i) {
		return
	}
	s.state[i].version++
	if next, ok := s.evaluate(i); ok {
		heap.Push(queue, next)
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

// take adds the slot to the result and returns the nodes whose slots changed.
func (s *search) take(next *slot, result *Result) []int {
	touched := []int{next.node}
	for _, gang := range next.clear {
		touched = append(touched, s.clear(gang)...)
		result.Clear = append(result.Clear, gang)
	}
	state := &s.state[next.node]
	task := s.request.Task
	state.free &^= next.mask
	state.cpus -= task.CPUs
	state.memory -= task.MemoryMB
	state.tasks++
	result.Cost += next.cost
	result.score += next.score
	result.Members = append(result.Members, model.GangMember{
		TaskIndex: len(result.Members), Worker: s.table.Nodes[next.node].ID,
		Accelerators: next.mask.Indices(), Resources: task,
	})
	return touched
}

// clear returns a gang's resources to the search's state.
func (s *search) clear(gang int) []int {
	if s.cleared == nil {
		s.cleared = make(map[int]bool)
	}
	s.cleared[gang] = true
	nodes := s.table.Gangs[gang].Nodes
	for _, i := range nodes {
		for _, o := range s.table.Nodes[i].Tasks {
			if o.Gang == gang {
				s.state[i].free |= o.Mask &^ s.blocked(i)
				s.state[i].cpus += o.Use.CPUs
				s.state[i].memory += o.Use.MemoryMB
			}
		}
	}
	return nodes
}
