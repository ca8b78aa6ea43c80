package bench

import (
	"time"

	"github.com/daisyfold/daisyfold/internal/model"
	"github.com/daisyfold/daisyfold/internal/planner"
	"github.com/daisyfold/daisyfold/internal/topology"
)

// snapshot returns the planner's input for a zone, without waiting jobs.
func (s *jobSim) snapshot(zone int) *planner.Snapshot {
	z := s.zones[zone]
	snap := &planner.Snapshot{
		Now: simEpoch.Add(s.now), Shard: model.ShardID{Zone: z.name}, ZoneInService: z.inService,
		Workers: z.workers, History: s.history,
		Stopping: make(map[model.JobKey]bool), SavedRunTime: make(map[model.JobKey]time.Duration),
	}
	for _, j := range z.running {
		snap.Running = append(snap.Running, *j.placement)
		if j.stopsAt > 0 {
			snap.Stopping[j.job.Spec.Key] = true
		}
		snap.SavedRunTime[j.job.Spec.Key] = time.Duration(j.job.SavedRunMS) * time.Millisecond
	}
	for _, g := range s.deployment.guarantees {
		if g.Zone == z.name {
			snap.Guarantees = append(snap.Guarantees, g)
		}
	}
	for i, org := range s.deployment.organisations {
		snap.Organisations = append(snap.Organisations, planner.Organisation{Name: org, Weight: s.deployment.organisationWeights[i]})
	}
	return snap
}

// plannerPolicy plans the jobs of the zone, then starts jobs of other zones that fit into
// the remaining accelerators at once.
func plannerPolicy(s *jobSim, zone int) *planner.Plan {
	snap := s.snapshot(zone)
	for _, j := range s.waiting {
		if j.zone == zone {
			snap.Waiting = append(snap.Waiting, j.job)
		}
	}
	p := planner.Decide(snap)
	free := s.freeAfterPlan(snap, p)
	if free == 0 || len(p.Preemptions) > 0 || len(snap.Stopping) > 0 {
		return p // The accelerators being freed belong to the jobs that caused the preemptions.
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

// freeAfterPlan returns the number of accelerators that a plan leaves free.
func (s *jobSim) freeAfterPlan(snap *planner.Snapshot, p *planner.Plan) int {
	free := len(snap.Workers) * model.AcceleratorsPerWorker
	for i := range snap.Running {
		free -= s.jobs[snap.Running[i].Job].job.Spec.Accelerators()
	}
	for i := range p.Starts {
		free -= s.jobs[p.Starts[i].Job].job.Spec.Accelerators()
	}
	return free
}

// firstFit is the baseline: it starts the jobs of all zones in order of arrival, each at
// the first place that fits, and never preempts. A job that does not fit is skipped, which
// gives a shorter mean completion time than blocking the queue.
func firstFit(s *jobSim, zone int) *planner.Plan { return placeInArrivalOrder(s, zone, false) }

// strictFirstFit is first fit that stops at the first job that does not fit, so jobs start
// strictly in order of arrival.
func strictFirstFit(s *jobSim, zone int) *planner.Plan { return placeInArrivalOrder(s, zone, true) }

// placeInArrivalOrder returns a first-fit plan. If strict is true, it ends at the first
// job that does not fit.
func placeInArrivalOrder(s *jobSim, zone int, strict bool) *planner.Plan {
	s.sharedQueue = true
	p := &planner.Plan{}
	snap := s.snapshot(zone)
	t := topology.New(snap.Workers, snap.Running)
	for _, j := range s.waiting {
		if members := firstFitMembers(t, &j.job.Spec); members != nil {
			start := model.Placement{Job: j.job.Spec.Key, Attempt: j.job.Attempt + 1, Members: members}
			t.AddGang(&start)
			p.Starts = append(p.Starts, start)
		} else if strict {
			break
		}
	}
	return p
}

// firstFitMembers returns the members of the gang on the first aligned cells, in order of
// workers, or nil if the gang does not fit.
func firstFitMembers(t *topology.AllocationTable, spec *model.JobSpec) []model.GangMember {
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
			for start := 0; start < n.Capacity.Accelerators && len(members) < spec.Tasks; start += size {
				cell := topology.MaskRange(start, size) & n.FreeAccelerators
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
