package planner

import (
	"github.com/gravitational/trace"

	"github.com/daisyfold/daisyfold/internal/model"
	"github.com/daisyfold/daisyfold/internal/partition"
	"github.com/daisyfold/daisyfold/internal/topology"
)

// CapacityLimits checks whether jobs can ever run on a set of workers, including lost ones.
// It caches the results and is not safe for concurrent use.
type CapacityLimits struct {
	tables []*topology.AllocationTable // one for each shard, without gangs
	zones  []model.Zone                // zone of each table
	cache  map[limitsKey]error
}

type limitsKey struct {
	zone   model.Zone
	tasks  int
	task   model.Resources
	within model.Level
}

// NewCapacityLimits returns the limits that the workers' capacities set.
func NewCapacityLimits(workers []model.Worker) *CapacityLimits {
	l := &CapacityLimits{cache: make(map[limitsKey]error)}
	byZone := make(map[model.Zone][]model.Worker)
	for i := range workers {
		zone := workers[i].Zone
		if _, ok := byZone[zone]; !ok {
			l.zones = append(l.zones, zone)
		}
		byZone[zone] = append(byZone[zone], workers[i])
	}
	var zones []model.Zone
	for _, zone := range l.zones {
		for _, shard := range partition.Split(byZone[zone]) {
			l.tables = append(l.tables, topology.New(shard.Workers, nil))
			zones = append(zones, zone)
		}
	}
	l.zones = zones
	return l
}

// Check returns an error that names the limit if the job can never run. The error is a
// trace.LimitExceeded or trace.BadParameter.
func (l *CapacityLimits) Check(spec *model.JobSpec) error {
	key := limitsKey{spec.Zone, spec.Tasks, spec.Task, spec.Within}
	err, ok := l.cache[key]
	if !ok {
		err = l.check(spec)
		l.cache[key] = err
	}
	return err
}

func (l *CapacityLimits) check(spec *model.JobSpec) error {
	if spec.Tasks <= 0 {
		return trace.BadParameter("tasks is %d, it must be at least 1", spec.Tasks)
	}
	if t := spec.Task; t.Accelerators < 0 || t.CPUs < 0 || t.MemoryMB < 0 {
		return trace.BadParameter("a task's resources must not be negative")
	}
	var largest model.Resources
	maxCount, zoneFound := 0, false
	for i, t := range l.tables {
		if spec.Zone != "" && spec.Zone != l.zones[i] {
			continue
		}
		zoneFound = true
		for n := range t.Nodes {
			raiseTo(&largest, t.Nodes[n].Capacity)
		}
		maxCount = max(maxCount, maxTasks(t, spec))
	}
	if !zoneFound {
		return trace.LimitExceeded("availability zone %q has no workers", spec.Zone)
	}
	if err := checkTaskSize(spec.Task, largest); err != nil {
		return err
	}
	if maxCount < spec.Tasks {
		return trace.LimitExceeded("tasks is %d, at most %d such tasks fit within one %s", spec.Tasks, maxCount, spec.Within)
	}
	return nil
}

// raiseTo raises each resource of largest to at least that of capacity.
func raiseTo(largest *model.Resources, capacity model.Resources) {
	largest.CPUs = max(largest.CPUs, capacity.CPUs)
	largest.MemoryMB = max(largest.MemoryMB, capacity.MemoryMB)
	largest.Accelerators = max(largest.Accelerators, capacity.Accelerators)
}

// checkTaskSize returns an error if a task needs more of a resource than the largest worker
// has.
func checkTaskSize(task, largest model.Resources) error {
	switch {
	case task.Accelerators > largest.Accelerators:
		return trace.LimitExceeded("a task needs %d accelerators, the largest worker has %d", task.Accelerators, largest.Accelerators)
	case task.CPUs > largest.CPUs:
		return trace.LimitExceeded("a task needs %d CPUs, the largest worker has %d", task.CPUs, largest.CPUs)
	case task.MemoryMB > largest.MemoryMB:
		return trace.LimitExceeded("a task needs %d MB of memory, the largest worker has %d", task.MemoryMB, largest.MemoryMB)
	}
	return nil
}

// maxTasks returns the largest number of the job's tasks that fit on one empty worker, rack
// or shard, as the job's Within requires.
func maxTasks(t *topology.AllocationTable, spec *model.JobSpec) int {
	worker, rack, shard := 0, 0, 0
	for _, nodes := range t.Racks {
		inRack := 0
		for _, i := range nodes {
			n := maxTasksOnWorker(&t.Nodes[i], spec.Task)
			inRack += n
			worker = max(worker, n)
		}
		rack = max(rack, inRack)
		shard += inRack
	}
	switch spec.Within {
	case model.LevelAccelerator, model.LevelPair, model.LevelFour, model.LevelWorker:
		return worker
	case model.LevelRack:
		return rack
	default:
		return shard
	}
}

// maxTasksOnWorker returns the number of tasks that fit on an empty worker.
func maxTasksOnWorker(n *topology.Node, task model.Resources) int {
	const unlimited = 1 << 20 // exceeds the number of tasks of any gang
	count := unlimited
	if task.CPUs > 0 {
		count = min(count, n.Capacity.CPUs/task.CPUs)
	}
	if task.MemoryMB > 0 {
		count = min(count, n.Capacity.MemoryMB/task.MemoryMB)
	}
	if task.Accelerators > 0 {
		size := topology.CellSize(task.Accelerators)
		cells := n.Capacity.Accelerators / size
		if n.Capacity.Accelerators%size >= task.Accelerators {
			cells++
		}
		count = min(count, cells)
	}
	return count
}

// CheckFeasible returns an error that names the limit if the job can never run: the
// hardware of the workers, including lost ones, or the organisation's quota of
// accelerators, 0 meaning no quota. The error is a trace.LimitExceeded or
// trace.BadParameter. Use CapacityLimits to check many jobs.
func CheckFeasible(spec *model.JobSpec, workers []model.Worker, quotaAccelerators int) error {
	if n := spec.Accelerators(); quotaAccelerators > 0 && n > quotaAccelerators {
		return trace.LimitExceeded("the job needs %d accelerators, the organisation's quota is %d", n, quotaAccelerators)
	}
	return NewCapacityLimits(workers).Check(spec)
}
