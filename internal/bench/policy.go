package bench

import (
	"time"

	"github.com/daisyfold/daisyfold/internal/model"
	"github.com/daisyfold/daisyfold/internal/planner"
	"github.com/daisyfold/daisyfold/internal/topology"
)

// snapshot returns the planner's view of a zone without waiting jobs.
func (s *sim) snapshot(zone int) *planner.Snapshot {
	z := s.zones[zone]
	snap := &planner.Snapshot{
		Now: epoch.Add(s.now), Shard: model.ShardID{Zone: z.name}, ZoneInService: z.in,
		Workers: z.workers, History: s.history,
		Stopping: make(map[model.JobKey]bool), CheckpointedRunTime: make(map[model.JobKey]time.Duration),
	}
	for _, j := range z.running {
		snap.Running = append(snap.Running, *j.running)
		if j.stops > 0 {
			snap.Stopping[j.job.Spec.Key] = true
		}
		snap.CheckpointedRunTime[j.job.Spec.Key] = time.Duration(j.job.SavedRunMS) * time.Millisecond
	}
	for _, g := range s.d.guarantees {
		if g.Zone == z.name {
			snap.Guarantees = append(snap.Guarantees, g)
		}
	}
	for i, org := range s.d.orgs {
		snap.Organisations = append(snap.Organisations, planner.Organisation{Name: org, Weight: s.d.orgWeights[i]})
	}
	return snap
}

// daisyfold plans the zone's own jobs, then takes over jobs of other zones that can
// start at once.
func daisyfold(s *sim, zone int) *planner.Plan {
	snap := s.snapshot(zone)
	for _, j := range s.waiting {
		if j.zone == zone {
			snap.Waiting = append(snap.Waiting, j.job)
		}
	}
	p := planner.Decide(snap)
	free := s.free(snap, p)
	if free == 0 || len(p.Preemptions) > 0 || len(snap.Stopping) > 0 {
		return p // Freed places belong to the jobs that had work stopped.
	}
	snap.Running = append(snap.Running, p.Starts...)
	snap.Waiting = nil
	for _, j := range s.waiting {
		if j.zone != zone && j.job.Spec.Accelerators() <= free {
			snap.Waiting = append(snap.Waiting, j.job)
		}
	}
	if len(snap.Waiting) > 0 {
		p.Starts = append(p.Starts, planner.Decide(snap).Starts...)
	}
	return p
}

// free returns the accelerators that a plan leaves free.
func (s *sim) free(snap *planner.Snapshot, p *planner.Plan) int {
	free := len(snap.Workers) * model.AcceleratorsPerWorker
	for i := range snap.Running {
		free -= s.all[snap.Running[i].Job].job.Spec.Accelerators()
	}
	for i := range p.Starts {
		free -= s.all[p.Starts[i].Job].job.Spec.Accelerators()
	}
	return free
}

// firstFit is the baseline: it goes through the jobs of all zones in order of arrival
// and starts each at the first place that holds it. It never preempts. A job that
// does not fit is passed over, which serves the mean better than blocking the queue.
func firstFit(s *sim, zone int) *planner.Plan { return arrivalOrder(s, zone, false) }

// blockingFirstFit stops at the first job that fits nowhere, so jobs start strictly in
// order of arrival.
func blockingFirstFit(s *sim, zone int) *planner.Plan { return arrivalOrder(s, zone, true) }

func arrivalOrder(s *sim, zone int, blocking bool) *planner.Plan {
	s.oneQueue = true
	p := &planner.Plan{}
	snap := s.snapshot(zone)
	t := topology.New(snap.Workers, snap.Running)
	for _, j := range s.waiting {
		if members := firstPlace(t, &j.job.Spec); members != nil {
			start := model.Placement{Job: j.job.Spec.Key, Attempt: j.job.Attempt + 1, Members: members}
			t.AddGang(&start)
			p.Starts = append(p.Starts, start)
		} else if blocking {
			break
		}
	}
	return p
}

// firstPlace returns the first aligned cells in order of workers that hold the gang.
func firstPlace(t *topology.AllocationTable, spec *model.JobSpec) []model.GangMember {
	domains := t.Racks
	if spec.Within == model.LevelZone {
		var all []int
		for i := range t.Nodes {
			all = append(all, i)
		}
		domains = [][]int{all}
	}
	size := topology.CellSize(spec.Task.Accelerators)
	for _, nodes := range domains {
		var members []model.GangMember
		for _, i := range nodes {
			n := &t.Nodes[i]
			cpus := n.FreeCPUs
			for base := 0; base < n.Capacity.Accelerators && len(members) < spec.Tasks; base += size {
				cell := topology.MaskRange(base, size) & n.FreeAccelerators
				if cell.Count() < spec.Task.Accelerators || cpus < spec.Task.CPUs {
					continue
				}
				cpus -= spec.Task.CPUs
				members = append(members, model.GangMember{
					TaskIndex: len(members), Worker: n.ID, Resources: spec.Task,
					Accelerators: cell.Lowest(spec.Task.Accelerators).Indices(),
				})
			}
		}
		if len(members) == spec.Tasks {
			return members
		}
	}
	return nil
}
