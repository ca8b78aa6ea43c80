package bench

import (
	"fmt"
	"time"

	"github.com/daisyfold/daisyfold/internal/model"
	"github.com/daisyfold/daisyfold/internal/planner"
	"github.com/daisyfold/daisyfold/internal/queue"
)

const (
	planRuns      = 200 // plans of each smaller shard
	largePlanRuns = 40  // plans of the largest shard
	cancelledJobs = 10_000
)

// scaleSnapshot returns the snapshot of a shard in which the first acceleratorWorkers
// workers have accelerators and the given number of tasks runs.
func scaleSnapshot(workers, acceleratorWorkers, runningTasks int) *planner.Snapshot {
	snap := &planner.Snapshot{Now: simEpoch, ZoneInService: true}
	for i := range workers {
		n := 0
		if i < acceleratorWorkers {
			n = model.AcceleratorsPerWorker
		}
		snap.Workers = append(snap.Workers, model.Worker{
			ID: model.WorkerID(fmt.Sprintf("w%05d", i)), Rack: fmt.Sprintf("r%04d", i/workersPerRack),
			Capacity: model.Resources{CPUs: workerCPUs, MemoryMB: workerMemoryMB, Accelerators: n},
		})
	}
	snap.Guarantees = []model.Guarantee{
		{Organisation: "o0", Shape: newShape(model.LevelWorker, 4, model.LevelRack), ShapeCount: 4},
		{Organisation: "o1", Shape: newShape(model.LevelFour, 1, model.LevelWorker), ShapeCount: 8},
	}
	snap.Limits = planner.NewCapacityLimits(snap.Workers)
	for i := range runningTasks {
		snap.Running = append(snap.Running, scaleRunningTask(i, workers, acceleratorWorkers))
	}
	return snap
}

// scaleRunningTask returns the placement of the i-th running job, which has one task. The
// first tasks use six accelerators of each worker that has them, the others only CPUs.
func scaleRunningTask(i, workers, acceleratorWorkers int) model.Placement {
	const acceleratorsPerWorker = 6
	m := model.GangMember{Resources: model.Resources{CPUs: 4, MemoryMB: 4096}}
	if i < acceleratorWorkers*acceleratorsPerWorker {
		m.Worker = model.WorkerID(fmt.Sprintf("w%05d", i/acceleratorsPerWorker))
		m.Accelerators = []int{i % acceleratorsPerWorker}
		m.Resources.Accelerators = 1
	} else {
		m.Worker = model.WorkerID(fmt.Sprintf("w%05d", i%workers))
	}
	return model.Placement{
		Job:     model.JobKey{Organisation: model.Organisation(fmt.Sprintf("o%d", i%76)), ID: model.JobID(fmt.Sprintf("r%d", i))},
		Attempt: 1, Members: []model.GangMember{m}, Priority: model.PriorityNormal,
		StartedUnixMS: simEpoch.Add(-time.Duration(i%7200) * time.Second).UnixMilli(),
	}
}

// scaleWaitingJob returns the i-th of a mix of waiting jobs.
func scaleWaitingJob(i int) *model.Job {
	sizes := []int{1, 2, 8, 4, 32, 1}
	size := sizes[i%len(sizes)]
	tasks, within := splitGang(size)
	return &model.Job{Spec: model.JobSpec{
		Key:     model.JobKey{Organisation: model.Organisation(fmt.Sprintf("o%d", i%76)), ID: model.JobID(fmt.Sprintf("q%d", i))},
		Service: "s", Tasks: tasks, Within: within, Priority: model.Priority(i % 4),
		Task: model.Resources{CPUs: 4, MemoryMB: 1024, Accelerators: size / tasks},
	}, AcceptedUnixMS: simEpoch.Add(-time.Duration(i%600) * time.Second).UnixMilli()}
}

// measurePlansMS returns the sorted durations of plans with a few new jobs each, in
// milliseconds.
func measurePlansMS(snap *planner.Snapshot, runs int) []float64 {
	const newJobs = 6
	next := 0
	return measureMS(runs, func(int) {
		snap.Waiting = nil
		for range newJobs {
			snap.Waiting = append(snap.Waiting, scaleWaitingJob(next))
			next++
		}
		planner.Decide(snap)
	})
}

// scaleResults measures how long plans take, and how that time grows with the shard.
func scaleResults() []Result {
	current := measurePlansMS(scaleSnapshot(600, 600, 3000), planRuns)
	small := measurePlansMS(scaleSnapshot(750, 100, 3900), planRuns)
	large := scaleSnapshot(7500, 1000, 39_000)
	slope := quantile(measurePlansMS(large, largePlanRuns), 0.5) / quantile(small, 0.5)
	return []Result{
		{Name: "decision_p99", Value: quantile(current, 0.99), Unit: "ms"},
		{Name: "gang_512_decision_p99", Value: measureGang512P99MS(large), Unit: "ms"},
		{Name: "decision_slope", Value: slope, Unit: "ratio"},
		{Name: "cancel_10000", Value: measureCancelMS(), Unit: "ms"},
	}
}

// measureGang512P99MS returns the 99th percentile of the duration of plans with one gang of
// 512 tasks with one accelerator each, in milliseconds.
func measureGang512P99MS(snap *planner.Snapshot) float64 {
	j := scaleWaitingJob(0)
	j.Spec.Tasks, j.Spec.Within, j.Spec.Task.Accelerators = 512, model.LevelZone, 1
	snap.Waiting = []*model.Job{j}
	return quantile(measureMS(largePlanRuns, func(int) { planner.Decide(snap) }), 0.99)
}

// measureCancelMS returns the time to remove cancelledJobs jobs from a queue of twice as
// many, in milliseconds.
func measureCancelMS() float64 {
	var waiting queue.WaitingJobs
	var keys []model.JobKey
	for i := range 2 * cancelledJobs {
		j := scaleWaitingJob(i)
		waiting.Add(j)
		if i%2 == 0 {
			keys = append(keys, j.Spec.Key)
		}
	}
	return measureMS(1, func(int) {
		for _, key := range keys {
			waiting.Remove(key)
		}
	})[0]
}
