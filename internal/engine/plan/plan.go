// Package plan places ready tasks on workers. It is pure: it works on a snapshot that
// the caller owns and changes only the snapshot's free room.
package plan

import (
	"cmp"
	"slices"

	"github.com/daisyfold/daisyfold/internal/engine/work"
)

// Node is a worker that may get tasks.
type Node struct {
	Key    string
	Rack   string
	Labels []string
	Total  work.Demand
	Free   work.Demand
	// StepTasks counts the tasks of each step that are on the worker, for steps with a
	// bound.
	StepTasks map[StepKey]int
	// Serving and Fillers count tasks that are not put on the same worker.
	Serving, Fillers int
}

// StepKey identifies a step of a job.
type StepKey struct {
	Job  string
	Step int
}

// Ask is a number of equal tasks that want a worker each.
type Ask struct {
	Key   StepKey
	Step  *work.Step
	Tasks int
	// AnyRack allows workers away from the data, and gangs over several racks, although
	// they are slower there.
	AnyRack bool
	// Allowed names the workers that may get tasks; nil means all.
	Allowed map[string]bool
}

// slots is how many tasks of the ask fit on the worker with the given room.
func (a *Ask) slots(n *Node, room work.Demand) int {
	if a.Step.Label != "" && !slices.Contains(n.Labels, a.Step.Label) {
		return 0
	}
	if a.Step.Rack != "" && !a.AnyRack && n.Rack != a.Step.Rack {
		return 0
	}
	if a.Allowed != nil && !a.Allowed[n.Key] {
		return 0
	}
	if (a.Step.Fills && n.Serving > 0) || (a.Step.Serves && n.Fillers > 0) {
		return 0
	}
	d := a.Step.Demand
	count := a.Tasks
	count = bounded(count, d.CPU, room.CPU)
	count = bounded(count, d.MemoryMB, room.MemoryMB)
	count = bounded(count, d.Accelerators, room.Accelerators)
	if most := a.Step.MaxPerWorker; most > 0 {
		count = min(count, most-n.StepTasks[a.Key])
	}
	return max(count, 0)
}

func bounded(count, demand, room int) int {
	if demand <= 0 {
		return count
	}
	return min(count, max(room, 0)/demand)
}

// take puts one task of the ask on the worker.
func (a *Ask) take(n *Node) {
	n.Free = n.Free.Minus(a.Step.Demand)
	if a.Step.Serves {
		n.Serving++
	}
	if a.Step.Fills {
		n.Fillers++
	}
	if a.Step.MaxPerWorker > 0 {
		if n.StepTasks == nil {
			n.StepTasks = map[StepKey]int{}
		}
		n.StepTasks[a.Key]++
	}
}

// Snapshot is the set of workers of one service.
type Snapshot struct {
	Nodes []*Node
	// held is room that Avoid took, by worker, and reserved what Reserve took.
	held, reserved map[*Node]work.Demand
}

// InUse is the part of the workers' accelerators, or of their processors if there are no
// accelerators, that is taken.
func (s *Snapshot) InUse() float64 {
	var total, free work.Demand
	for _, n := range s.Nodes {
		total, free = total.Plus(n.Total), free.Plus(n.Free)
	}
	switch {
	case total.Accelerators > 0:
		return 1 - float64(free.Accelerators)/float64(total.Accelerators)
	case total.CPU > 0:
		return 1 - float64(free.CPU)/float64(total.CPU)
	}
	return 0
}

// DropReservations gives reserved room back.
func (s *Snapshot) DropReservations() {
	for n, d := range s.reserved {
		n.Free = n.Free.Plus(d)
	}
	s.reserved = nil
}

// Avoid keeps the named workers from getting tasks until Release.
func (s *Snapshot) Avoid(keys map[string]bool) {
	if len(keys) == 0 {
		return
	}
	s.held = make(map[*Node]work.Demand, len(keys))
	for _, n := range s.Nodes {
		if keys[n.Key] {
			s.held[n] = n.Free
			n.Free = work.Demand{}
		}
	}
}

// Release gives the room of avoided workers back.
func (s *Snapshot) Release() {
	for n, d := range s.held {
		n.Free = d
	}
	s.held = nil
}

// racks returns the workers by rack, in a stable order.
func (s *Snapshot) racks() [][]*Node {
	byName := map[string][]*Node{}
	var names []string
	for _, n := range s.Nodes {
		if byName[n.Rack] == nil {
			names = append(names, n.Rack)
		}
		byName[n.Rack] = append(byName[n.Rack], n)
	}
	slices.Sort(names)
	out := make([][]*Node, len(names))
	for i, name := range names {
		out[i] = byName[name]
	}
	return out
}

// Place finds a worker for each task of the ask and takes the room. For a gang it
// returns nil unless all tasks fit; otherwise it returns as many as fit.
func (s *Snapshot) Place(a *Ask) []*Node {
	if a.Step.Gang {
		return s.placeGang(a, func(n *Node) work.Demand { return n.Free })
	}
	return s.fill(a, s.Nodes, func(n *Node) work.Demand { return n.Free })
}

// CouldEver tells whether the ask would fit on the workers if they were empty.
func (s *Snapshot) CouldEver(a *Ask) bool {
	whole := func(n *Node) work.Demand { return n.Total }
	if a.Step.Gang {
		return s.gangNodes(a, whole) != nil
	}
	for _, n := range s.Nodes {
		if a.slots(n, n.Total) > 0 {
			return true
		}
	}
	return false
}

func (s *Snapshot) placeGang(a *Ask, room func(*Node) work.Demand) []*Node {
	nodes := s.gangNodes(a, room)
	if nodes == nil {
		return nil
	}
	return s.fill(a, nodes, room)
}

// gangNodes returns a set of workers that holds the whole gang: for gangs of one rack
// the rack that it fills best, if one does.
func (s *Snapshot) gangNodes(a *Ask, room func(*Node) work.Demand) []*Node {
	if !a.Step.SameRack || a.AnyRack {
		if total(a, s.Nodes, room) < a.Tasks {
			return nil
		}
		return s.Nodes
	}
	var best []*Node
	bestSlots := 0
	for _, rack := range s.racks() {
		n := 0
		for _, node := range rack {
			n += uncapped(a, node, room(node))
		}
		if total(a, rack, room) >= a.Tasks && (best == nil || n < bestSlots) {
			best, bestSlots = rack, n
		}
	}
	return best
}

// uncapped is slots without the bound of the ask's own size, so that racks with more
// room than needed differ.
func uncapped(a *Ask, n *Node, room work.Demand) int {
	wide := *a
	wide.Tasks = 1 << 20
	return wide.slots(n, room)
}

func total(a *Ask, nodes []*Node, room func(*Node) work.Demand) int {
	n := 0
	for _, node := range nodes {
		n += a.slots(node, room(node))
	}
	return n
}

// fill places tasks on the fullest workers first, so that empty ones stay whole for
// wide demands.
func (s *Snapshot) fill(a *Ask, nodes []*Node, room func(*Node) work.Demand) []*Node {
	order := make([]*Node, 0, len(nodes))
	for _, n := range nodes {
		if a.slots(n, room(n)) > 0 {
			order = append(order, n)
		}
	}
	slices.SortStableFunc(order, func(x, y *Node) int {
		return cmp.Or(cmp.Compare(x.Free.CPU, y.Free.CPU), cmp.Compare(x.Free.Accelerators, y.Free.Accelerators))
	})
	placed := make([]*Node, 0, a.Tasks)
	for _, n := range order {
		for k := a.slots(n, room(n)); k > 0 && len(placed) < a.Tasks; k-- {
			a.take(n)
			placed = append(placed, n)
		}
	}
	return placed
}

// Reserve takes the room that is free now from workers which the ask is waiting for, so
// that smaller work does not keep it from ever fitting. It returns the workers.
func (s *Snapshot) Reserve(a *Ask) []*Node {
	nodes := s.gangNodes(a, func(n *Node) work.Demand { return n.Total })
	if nodes == nil {
		return nil
	}
	if a.Step.SameRack && !a.AnyRack {
		nodes = s.roomiestRack(a)
	}
	order := slices.Clone(nodes)
	slices.SortStableFunc(order, func(x, y *Node) int { return cmp.Compare(y.Free.CPU, x.Free.CPU) })
	left := a.Tasks
	var reserved []*Node
	for _, n := range order {
		k := min(a.slots(n, n.Total), left)
		if k == 0 {
			continue
		}
		left -= k
		taken := a.Step.Demand.Times(k)
		n.Free = n.Free.Minus(taken)
		if s.reserved == nil {
			s.reserved = map[*Node]work.Demand{}
		}
		s.reserved[n] = s.reserved[n].Plus(taken)
		reserved = append(reserved, n)
	}
	return reserved
}

// roomiestRack is the rack that could hold the gang and has the most room now.
func (s *Snapshot) roomiestRack(a *Ask) []*Node {
	var best []*Node
	bestFree := -1
	for _, rack := range s.racks() {
		if total(a, rack, func(n *Node) work.Demand { return n.Total }) < a.Tasks {
			continue
		}
		free := total(a, rack, func(n *Node) work.Demand { return n.Free })
		if free > bestFree {
			best, bestFree = rack, free
		}
	}
	return best
}
