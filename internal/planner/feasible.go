package planner

import (
	"github.com/gravitational/trace"

	"github.com/daisyfold/daisyfold/internal/model"
	"github.com/daisyfold/daisyfold/internal/partition"
	"github.com/daisyfold/daisyfold/internal/topology"
)

// Limits answers whether jobs can ever run on a set of workers, lost ones included.
type Limits struct {
	shards []*topology.Table
	zones  []model.Zone
	known  map[limitKey]error
}

type limitKey struct {
	zone   model.Zone
	tasks  int
	task   model.Resources
	within model.Level
}

// NewLimits reads the workers' capacities.
func NewLimits(workers []model.Worker) *Limits {
	l := &Limits{known: make(map[limitKey]error)}
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
			l.shards = append(l.shards, topology.New(shard.Workers, nil))
			zones = append(zones, zone)
		}
	}
	l.zones = zones
	return l
}

// Check returns an error that names the limit which keeps the job from ever running.
// The error is a trace.LimitExceeded or trace.BadParameter.
func (l *Limits) Check(spec *model.JobSpec) error {
	key := limitKey{spec.Zone, spec.Tasks, spec.Task, spec.Within}
	err, ok := l.known[key]
	if !ok {
		err = l.check(spec)
		l.known[key] = err
	}
	return err
}

func (l *Limits) check(spec *model.JobSpec) error {
	if spec.Tasks <= 0 {
		return trace.BadParameter("tasks is %d, it must be at least 1", spec.Tasks)
	}
	if t := spec.Task; t.Accelerators < 0 || t.CPUs < 0 || t.MemoryMB < 0 {
		return trace.BadParameter("a task's resources must not be negative")
	}
	var most model.Resources
	best, found := 0, false
	for i, t := range l.shards {
		if spec.Zone != "" && spec.Zone != l.zones[i] {
			continue
		}
		found = true
		for n := range t.Nodes {
			raise(&most, t.Nodes[n].Capacity)
		}
		best = max(best, mostTasks(t, spec))
	}
	if !found {
		return trace.LimitExceeded("availability zone %q has no workers", spec.Zone)
	}
	if err := checkTask(spec.Task, most); err != nil {
		return err
	}
	if best < spec.Tasks {
		return trace.LimitExceeded("tasks is %d, at most %d such tasks fit within one %s", spec.Tasks, best, spec.Within)
	}
	return nil
}

func raise(most *model.Resources, c model.Resources) {
	most.CPUs = max(most.CPUs, c.CPUs)
	most.MemoryMB = max(most.MemoryMB, c.MemoryMB)
	most.Accelerators = max(most.Accelerators, c.Accelerators)
}

func checkTask(task, most model.Resources) error {
	switch {
	case task.Accelerators > most.Accelerators:
		return trace.LimitExceeded("a task needs %d accelerators, the largest worker has %d", task.Accelerators, most.Accelerators)
	case task.CPUs > most.CPUs:
		return trace.LimitExceeded("a task needs %d CPUs, the largest worker has %d", task.CPUs, most.CPUs)
	case task.MemoryMB > most.MemoryMB:
		return trace.LimitExceeded("a task needs %d MB of memory, the largest worker has %d", task.MemoryMB, most.MemoryMB)
	}
	return nil
}

// mostTasks returns the largest number of the job's tasks that one worker, rack or
// shard holds when it is empty, whichever the job asks for.
func mostTasks(t *topology.Table, spec *model.JobSpec) int {
	worker, rack, shard := 0, 0, 0
	for _, nodes := range t.Racks {
		inRack := 0
		for _, i := range nodes {
			n := tasksOn(&t.Nodes[i], spec.Task)
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

// tasksOn returns how many tasks an empty worker holds.
func tasksOn(n *topology.Node, task model.Resources) int {
	const many = 1 << 20 // more tasks than any gang has
	count := many
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

// Feasible returns an error that names the limit which keeps the job from ever
// running: the workers' hardware, lost workers included, or the organisation's quota
// of accelerators, 0 meaning no quota. Use Limits to check many jobs.
func Feasible(spec *model.JobSpec, workers []model.Worker, quotaAccelerators int) error {
	if n := spec.Accelerators(); quotaAccelerators > 0 && n > quotaAccelerators {
		return trace.LimitExceeded("the job needs %d accelerators, the organisation's quota is %d", n, quotaAccelerators)
	}
	return NewLimits(workers).Check(spec)
}
