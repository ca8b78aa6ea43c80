package bench

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/daisyfold/daisyfold/internal/guarantee"
	"github.com/daisyfold/daisyfold/internal/model"
	"github.com/daisyfold/daisyfold/internal/planner"
	"github.com/daisyfold/daisyfold/internal/topology"
)

const (
	randomShards         = 10_000
	shardCheckGoroutines = 6 // concurrent checks
	maxClaimPlans        = 6 // plans within which every claim must start
)

// reclaimResults counts guarantees that could not be claimed in random shards.
func reclaimResults(seed int64) []Result {
	var violations atomic.Int64
	var group errgroup.Group
	group.SetLimit(shardCheckGoroutines)
	for i := range randomShards {
		group.Go(func() error {
			violations.Add(int64(CountReclaimViolations(rand.New(rand.NewPCG(uint64(seed), uint64(i))))))
			return nil
		})
	}
	_ = group.Wait() // The checks return no errors.
	return []Result{{Name: "reclaim_violations", Value: float64(violations.Load()), Unit: "count"}}
}

var guaranteeShapes = []model.Shape{
	newShape(model.LevelWorker, 4, model.LevelRack), newShape(model.LevelWorker, 2, model.LevelRack),
	newShape(model.LevelWorker, 1, model.LevelWorker), newShape(model.LevelFour, 2, model.LevelRack),
	newShape(model.LevelFour, 1, model.LevelWorker), newShape(model.LevelPair, 3, model.LevelWorker),
	newShape(model.LevelPair, 1, model.LevelWorker), newShape(model.LevelAccelerator, 1, model.LevelAccelerator),
	newShape(model.LevelWorker, 3, model.LevelZone),
}

// randomShard is a shard with random workers, guarantees and jobs.
type randomShard struct {
	rand     *rand.Rand
	snap     *planner.Snapshot
	jobCount int
}

// CountReclaimViolations builds a random full shard with lost workers and returns how many
// guaranteed shapes cannot be claimed although no finding of the planner names them. In
// one of 20 shards the zone is out of service and each start of a job counts instead.
func CountReclaimViolations(r *rand.Rand) int {
	s := &randomShard{rand: r, snap: &planner.Snapshot{
		Now: simEpoch, ZoneInService: true, NonPreemptible: make(map[model.JobKey]bool),
	}}
	s.addWorkers()
	s.addGuarantees()
	for range 2 {
		s.fillWithJobs()
		s.finishRandomJobs()
	}
	s.fillWithJobs()
	if len(planner.Decide(s.snap).Findings) > 0 {
		return 1 // A finding is a violation: the guarantees fit the undamaged shard.
	}
	if r.IntN(20) == 0 {
		return s.countStartsOutOfService()
	}
	s.failRandomWorkers()
	return s.claimGuarantees()
}

// addWorkers adds 3 to 13 workers, some with fewer accelerators than usual.
func (s *randomShard) addWorkers() {
	rack := 0
	for i := range 3 + s.rand.IntN(11) {
		if s.rand.IntN(5) == 0 {
			rack++ // racks of different sizes
		}
		n := model.AcceleratorsPerWorker
		if s.rand.IntN(8) == 0 {
			n = s.rand.IntN(model.AcceleratorsPerWorker)
		}
		s.snap.Workers = append(s.snap.Workers, model.Worker{
			ID: model.WorkerID(fmt.Sprintf("w%d", i)), Rack: fmt.Sprintf("r%d", rack),
			Capacity: model.Resources{CPUs: n*16 + 8, MemoryMB: n<<16 + 1<<14, Accelerators: n},
		})
	}
}

// addGuarantees adds random guarantees until four of them did not fit.
func (s *randomShard) addGuarantees() {
	empty := topology.New(s.snap.Workers, nil)
	for failures := 0; failures < 4; {
		g := model.Guarantee{
			Organisation: model.Organisation(fmt.Sprintf("o%d", s.rand.IntN(4))),
			Shape:        guaranteeShapes[s.rand.IntN(len(guaranteeShapes))], ShapeCount: 1,
		}
		guarantees := append(slices.Clone(s.snap.Guarantees), g)
		if guarantee.NewState(empty, guarantees, guarantee.Options{}).Shortfall() > 0 {
			failures++
			continue
		}
		s.snap.Guarantees = guarantees
	}
}

// addWaitingJob adds a job with a random priority to the queue and returns it.
func (s *randomShard) addWaitingJob(org model.Organisation, tasks, accelerators int, within model.Level) *model.Job {
	s.jobCount++
	j := &model.Job{Spec: model.JobSpec{
		Key: model.JobKey{Organisation: org, ID: model.JobID(fmt.Sprint(s.jobCount))}, Service: "s",
		Tasks: tasks, Within: within, Priority: model.Priority(s.rand.IntN(4)),
		Task: model.Resources{CPUs: accelerators * 12, MemoryMB: accelerators << 14, Accelerators: accelerators},
	}, AcceptedUnixMS: simEpoch.UnixMilli()}
	s.snap.Waiting = append(s.snap.Waiting, j)
	return j
}

// fillWithJobs offers more work than fits, by organisations with and without guarantees,
// and drops the jobs that did not start.
func (s *randomShard) fillWithJobs() {
	for range 20 {
		org := model.Organisation(fmt.Sprintf("o%d", s.rand.IntN(6)))
		tasks, within := 1, model.LevelWorker
		if s.rand.IntN(4) == 0 {
			tasks, within = 1+s.rand.IntN(6), model.LevelRack
		}
		j := s.addWaitingJob(org, tasks, s.rand.IntN(model.AcceleratorsPerWorker+1), within)
		j.Spec.NonRepeatable = s.rand.IntN(10) == 0
	}
	s.applyPlan()
	s.snap.Waiting = nil
}

// applyPlan applies one plan: preempted jobs stop at once and started jobs run.
func (s *randomShard) applyPlan() {
	p := planner.Decide(s.snap)
	stopped := make(map[model.JobKey]bool)
	for _, v := range p.Preemptions {
		stopped[v.Job] = true
	}
	s.snap.Running = slices.DeleteFunc(s.snap.Running, func(r model.Placement) bool { return stopped[r.Job] })
	started := make(map[model.JobKey]bool)
	for _, start := range p.Starts {
		start.StartedUnixMS = s.snap.Now.Add(-time.Duration(s.rand.IntN(7200)) * time.Second).UnixMilli()
		s.snap.Running = append(s.snap.Running, start)
		started[start.Job] = true
	}
	for _, j := range s.snap.Waiting {
		if j.Spec.NonRepeatable && started[j.Spec.Key] {
			s.snap.NonPreemptible[j.Spec.Key] = true
		}
	}
	s.snap.Waiting = slices.DeleteFunc(s.snap.Waiting, func(j *model.Job) bool { return started[j.Spec.Key] })
}

// finishRandomJobs ends about a third of the running jobs.
func (s *randomShard) finishRandomJobs() {
	s.snap.Running = slices.DeleteFunc(s.snap.Running, func(model.Placement) bool { return s.rand.IntN(3) == 0 })
}

// countStartsOutOfService takes the zone out of service and returns the number of jobs that
// start nevertheless.
func (s *randomShard) countStartsOutOfService() int {
	s.addWaitingJob("o0", 1, 1, model.LevelWorker)
	s.snap.ZoneInService = false
	return len(planner.Decide(s.snap).Starts)
}

// failRandomWorkers makes workers unusable and ends the gangs of lost workers.
func (s *randomShard) failRandomWorkers() {
	lost := make(map[model.WorkerID]bool)
	for i := range s.snap.Workers {
		w := &s.snap.Workers[i]
		switch s.rand.IntN(12) {
		case 0:
			w.Health = model.WorkerLost
			lost[w.ID] = true
		case 1:
			w.Health = model.WorkerLeaving
		case 2:
			w.Health = model.WorkerProbation
		}
	}
	s.snap.Running = slices.DeleteFunc(s.snap.Running, func(r model.Placement) bool {
		return slices.ContainsFunc(r.Members, func(m model.GangMember) bool { return lost[m.Worker] })
	})
}

// claimGuarantees submits a job for each unused guaranteed shape at once and returns how
// many of them do not start.
func (s *randomShard) claimGuarantees() int {
	nonPreemptible := func(i int) bool { return s.snap.NonPreemptible[s.snap.Running[i].Job] }
	guarantees := guarantee.NewState(topology.New(s.snap.Workers, s.snap.Running), s.snap.Guarantees, guarantee.Options{NonPreemptible: nonPreemptible})
	for _, g := range guarantees.UnusedShapes() {
		tasks, acceleratorsPerTask, within := g.Shape.Count, model.AcceleratorsPerCell(g.Shape.Cell), g.Shape.Within
		s.addWaitingJob(g.Organisation, tasks, acceleratorsPerTask, within).Spec.Priority = model.PriorityNormal
	}
	for range maxClaimPlans {
		s.applyPlan()
		if len(s.snap.Waiting) == 0 {
			return 0
		}
	}
	return len(s.snap.Waiting)
}
