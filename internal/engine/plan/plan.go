// Package plan chooses workers for ready tasks. It performs no I/O: it works on a
// snapshot of the workers that the caller owns, and changes only that snapshot.
package plan

import (
	"cmp"
	"slices"

	"github.com/daisyfold/daisyfold/internal/engine/work"
)

// Node is a worker that may get tasks.
type Node struct {
	Key      string
	Rack     string
	Labels   []string
	Capacity work.Resources
	Free     work.Resources
	// StepTasks counts the tasks on the worker by step, for steps that limit their tasks
	// per worker.
	StepTasks map[StepKey]int
	// LatencySensitiveTasks and BestEffortTasks count tasks of the two kinds, which share a worker
	// only if the request says so and all best-effort tasks are pausable. PausableTasks counts
	// those that are on the worker.
	LatencySensitiveTasks, BestEffortTasks, PausableTasks int
	// Overcommitted reports whether the tasks on the worker exceed its capacity, because it
	// was reduced. It gets no task, not even one that needs none of the resource in question.
	Overcommitted bool
	// ProbeOnly reports whether a request gets at most one task on the worker. Gangs are
	// exempt, because their tasks start together.
	ProbeOnly bool
	// Releases are the resources that will be free when runs end.
	Releases []Release
	// promised is the part of Releases that is reserved.
	promised work.Resources
	// Slower reports whether tasks take longer on the worker than on others.
	Slower bool
}

// usualCapacity returns the resources that tasks may use once the worker is empty: none while
// it is only probed.
func (n *Node) usualCapacity() work.Resources {
	if n.ProbeOnly {
		return work.Resources{}
	}
	return n.Capacity
}

// StepKey identifies a step of a job.
type StepKey struct {
	Job  string
	Step int
}

// Request asks for workers for a number of identical tasks.
type Request struct {
	Key   StepKey
	Step  *work.Step
	Tasks int
	// AnyRack allows workers on other racks than the preferred one, and spreading a gang
	// over several racks, although tasks run slower there.
	AnyRack bool
	// AvoidSlower excludes slower workers. Requests without it prefer them, so that the
	// others remain available.
	AvoidSlower bool
	// SharesWorkers allows pausable best-effort tasks beside latency-sensitive ones.
	SharesWorkers bool
	// Allowed holds the keys of the workers that may get tasks; nil allows all workers.
	Allowed map[string]bool
	// Owner is the organisation of the job. Its own victims must free Shortfall before a
	// preemption takes room of others: beyond its cap it could not use that.
	Owner     string
	Shortfall work.Resources
}

// slots returns how many tasks of the request fit on the worker, given its available
// resources.
func (req *Request) slots(n *Node, available work.Resources) int {
	if req.Step.RequiredLabel != "" && !slices.Contains(n.Labels, req.Step.RequiredLabel) {
		return 0
	}
	if req.Step.PreferredRack != "" && !req.AnyRack && n.Rack != req.Step.PreferredRack {
		return 0
	}
	if req.AvoidSlower && n.Slower {
		return 0
	}
	if n.Overcommitted && !(work.Resources{}).Fits(available) {
		return 0
	}
	if req.Allowed != nil && !req.Allowed[n.Key] {
		return 0
	}
	if !req.mayMeet(n) {
		return 0
	}
	d := req.Step.Demand
	count := req.Tasks
	count = capByResource(count, d.CPU, available.CPU)
	count = capByResource(count, d.MemoryMB, available.MemoryMB)
	count = capByResource(count, d.Accelerators, available.Accelerators)
	if limit := req.Step.MaxPerWorker; limit > 0 {
		count = min(count, limit-n.StepTasks[req.Key])
	}
	if n.ProbeOnly && !req.Step.Gang {
		count = min(count, 1)
	}
	return max(count, 0)
}

// mayMeet reports whether the tasks may be on a worker with the best-effort and
// latency-sensitive tasks that it has.
func (req *Request) mayMeet(n *Node) bool {
	switch {
	case req.Step.BestEffort && n.LatencySensitiveTasks > 0:
		return req.SharesWorkers && req.Step.Pausable()
	case req.Step.LatencySensitive && n.BestEffortTasks > 0:
		return req.SharesWorkers && n.PausableTasks == n.BestEffortTasks
	}
	return true
}

func capByResource(count, perTask, available int) int {
	if perTask <= 0 {
		return count
	}
	return min(count, max(available, 0)/perTask)
}

// allocate places one task of the request on the worker.
func (req *Request) allocate(n *Node) {
	n.Free = n.Free.Minus(req.Step.Demand)
	if req.Step.LatencySensitive {
		n.LatencySensitiveTasks++
	}
	if req.Step.BestEffort {
		n.BestEffortTasks++
		if req.Step.Pausable() {
			n.PausableTasks++
		}
	}
	if req.Step.MaxPerWorker > 0 {
		if n.StepTasks == nil {
			n.StepTasks = map[StepKey]int{}
		}
		n.StepTasks[req.Key]++
	}
}

// FitsBeside reports whether a task of the request fits on another worker than the given one.
func (s *Snapshot) FitsBeside(req *Request, key string) bool {
	return slices.ContainsFunc(s.Nodes, func(n *Node) bool { return n.Key != key && req.slots(n, n.Free) > 0 })
}

// Snapshot is the set of workers of one service.
type Snapshot struct {
	Nodes []*Node
	// excluded holds the free resources that Exclude hides, by worker.
	excluded     map[*Node]work.Resources
	reservations []reservation
	// keptEmpty are the workers that KeepEmpty hides; keepsEmpty reports whether it was called.
	keptEmpty  []*Node
	keepsEmpty bool
	// racksOf holds the result of racks for the first rackedNodes workers.
	racksOf     [][]*Node
	rackedNodes int
}

// UsedFraction returns the fraction of the workers' accelerators that is in use, or of
// their CPUs if they have no accelerators.
func (s *Snapshot) UsedFraction() float64 {
	var total, free work.Resources
	for _, n := range s.Nodes {
		total, free = total.Plus(n.Capacity), free.Plus(n.Free)
	}
	switch {
	case total.Accelerators > 0:
		return 1 - float64(free.Accelerators)/float64(total.Accelerators)
	case total.CPU > 0:
		return 1 - float64(free.CPU)/float64(total.CPU)
	}
	return 0
}

// Exclude keeps the workers with the given keys from getting tasks until RestoreExcluded
// is called.
func (s *Snapshot) Exclude(keys map[string]bool) {
	if len(keys) == 0 {
		return
	}
	s.excluded = make(map[*Node]work.Resources, len(keys))
	for _, n := range s.Nodes {
		if keys[n.Key] {
			s.excluded[n] = n.Free
			n.Free = work.Resources{}
		}
	}
}

// RestoreExcluded makes the excluded workers available again.
func (s *Snapshot) RestoreExcluded() {
	for n, d := range s.excluded {
		n.Free = d
	}
	s.excluded = nil
}

// racks returns the workers grouped by rack, ordered by the rack's name.
func (s *Snapshot) racks() [][]*Node {
	if s.rackedNodes == len(s.Nodes) {
		return s.racksOf
	}
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
	s.racksOf, s.rackedNodes = out, len(s.Nodes)
	return out
}

// Place allocates a worker for each task of the request and returns the workers, one per
// task. For a gang it returns nil unless all tasks fit; otherwise it returns as many
// workers as there are tasks that fit.
func (s *Snapshot) Place(req *Request) []*Node {
	if req.Step.Gang {
		return s.placeGang(req, func(n *Node) work.Resources { return n.Free })
	}
	return s.pack(req, s.Nodes, func(n *Node) work.Resources { return n.Free })
}

// FitsWhenEmpty reports whether the request would fit on the workers if nothing ran
// there: all tasks of a gang, or at least one task of any other request.
func (s *Snapshot) FitsWhenEmpty(req *Request) bool {
	if req.Step.Gang {
		return s.gangNodes(req, (*Node).usualCapacity) != nil
	}
	for _, n := range s.Nodes {
		if req.slots(n, n.usualCapacity()) > 0 {
			return true
		}
	}
	return false
}

// Fits reports whether all tasks of the gang fit into the free resources.
func (s *Snapshot) Fits(req *Request) bool {
	return s.gangNodes(req, func(n *Node) work.Resources { return n.Free }) != nil
}

func (s *Snapshot) placeGang(req *Request, available func(*Node) work.Resources) []*Node {
	nodes := s.gangNodes(req, available)
	if nodes == nil {
		return nil
	}
	return s.pack(req, nodes, available)
}

// gangNodes returns a set of workers that has room for the whole gang, or nil if there is
// none. For a gang that must stay in one rack, it is the rack with the fewest slots that
// suffice.
func (s *Snapshot) gangNodes(req *Request, available func(*Node) work.Resources) []*Node {
	if !req.Step.SameRack || req.AnyRack {
		if totalSlots(req, s.Nodes, available) < req.Tasks {
			return nil
		}
		return s.Nodes
	}
	var best []*Node
	bestSlots := 0
	for _, rack := range s.racks() {
		n := 0
		for _, node := range rack {
			n += uncappedSlots(req, node, available(node))
		}
		if totalSlots(req, rack, available) >= req.Tasks && (best == nil || n < bestSlots) {
			best, bestSlots = rack, n
		}
	}
	return best
}

// uncappedSlots returns the slots on the worker without the limit of the request's own
// size, so that racks with more slots than needed can be compared.
func uncappedSlots(req *Request, n *Node, available work.Resources) int {
	uncapped := *req
	uncapped.Tasks = 1 << 20
	return uncapped.slots(n, available)
}

func totalSlots(req *Request, nodes []*Node, available func(*Node) work.Resources) int {
	n := 0
	for _, node := range nodes {
		n += req.slots(node, available(node))
	}
	return n
}

// pack allocates the tasks on the fullest workers first, so that empty workers remain
// available for large tasks.
func (s *Snapshot) pack(req *Request, nodes []*Node, available func(*Node) work.Resources) []*Node {
	ordered := make([]*Node, 0, len(nodes))
	for _, n := range nodes {
		if req.slots(n, available(n)) > 0 {
			ordered = append(ordered, n)
		}
	}
	slices.SortStableFunc(ordered, func(x, y *Node) int {
		return cmp.Or(compareSlower(x, y), cmp.Compare(x.Free.CPU, y.Free.CPU), cmp.Compare(x.Free.Accelerators, y.Free.Accelerators))
	})
	placed := make([]*Node, 0, req.Tasks)
	for _, n := range ordered {
		for k := req.slots(n, available(n)); k > 0 && len(placed) < req.Tasks; k-- {
			req.allocate(n)
			placed = append(placed, n)
		}
	}
	return placed
}

// compareSlower orders slower workers first.
func compareSlower(x, y *Node) int {
	switch {
	case x.Slower == y.Slower:
		return 0
	case x.Slower:
		return -1
	}
	return 1
}
