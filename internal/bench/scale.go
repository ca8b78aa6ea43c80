package bench

import (
	"fmt"
	"time"

	"github.com/daisyfold/daisyfold/internal/model"
	"github.com/daisyfold/daisyfold/internal/planner"
	"github.com/daisyfold/daisyfold/internal/queue"
)

const (
	decisionRuns = 200
	largeRuns    = 40 // plans at the design size
	cancelled    = 10_000
)

// shard builds a snapshot of a shard on which a share of the workers has accelerators
// and the given number of tasks runs.
func shard(workers, withAccelerators, tasks int) *planner.Snapshot {
	snap := &planner.Snapshot{Now: epoch, ZoneInService: true}
	for i := range workers {
		n := 0
		if i < withAccelerators {
			n = model.AcceleratorsPerWorker
		}
		snap.Workers = append(snap.Workers, model.Worker{
			ID: model.WorkerID(fmt.Sprintf("w%05d", i)), Rack: fmt.Sprintf("r%04d", i/workersPerRack),
			Capacity: model.Resources{CPUs: workerCPUs, MemoryMB: workerMemoryMB, Accelerators: n},
		})
	}
	snap.Guarantees = []model.Guarantee{
		{Organisation: "o0", Shape: shape(model.LevelWorker, 4, model.LevelRack), ShapeCount: 4},
		{Organisation: "o1", Shape: shape(model.LevelFour, 1, model.LevelWorker), ShapeCount: 8},
	}
	snap.Limits = planner.NewCapacityLimits(snap.Workers)
	for i := range tasks {
		snap.Running = append(snap.Running, scaleTask(i, workers, withAccelerators))
	}
	return snap
}

// scaleTask is a running task of its own job: three of every four accelerators are
// used first, then CPUs.
func scaleTask(i, workers, withAccelerators int) model.Placement {
	const perWorker = 6
	m := model.GangMember{Resources: model.Resources{CPUs: 4, MemoryMB: 4096}}
	if i < withAccelerators*perWorker {
		m.Worker = model.WorkerID(fmt.Sprintf("w%05d", i/perWorker))
		m.Accelerators = []int{i % perWorker}
		m.Resources.Accelerators = 1
	} else {
		m.Worker = model.WorkerID(fmt.Sprintf("w%05d", i%workers))
	}
	return model.Placement{
		Job:     model.JobKey{Organisation: model.Organisation(fmt.Sprintf("o%d", i%76)), ID: model.JobID(fmt.Sprintf("r%d", i))},
		Attempt: 1, Members: []model.GangMember{m}, Priority: model.PriorityNormal,
		StartedUnixMS: epoch.Add(-time.Duration(i%7200) * time.Second).UnixMilli(),
	}
}

// scaleJob returns the i-th of a mix of waiting jobs.
func scaleJob(i int) *model.Job {
	sizes := []int{1, 2, 8, 4, 32, 1}
	size := sizes[i%len(sizes)]
	tasks, within := gang(size)
	return &model.Job{Spec: model.JobSpec{
		Key:     model.JobKey{Organisation: model.Organisation(fmt.Sprintf("o%d", i%76)), ID: model.JobID(fmt.Sprintf("q%d", i))},
		Service: "s", Tasks: tasks, Within: within, Priority: model.Priority(i % 4),
		Task: model.Resources{CPUs: 4, MemoryMB: 1024, Accelerators: size / tasks},
	}, AcceptedUnixMS: epoch.Add(-time.Duration(i%600) * time.Second).UnixMilli()}
}

// decisions returns the sorted times of plans with a few new jobs each, in
// milliseconds.
func decisions(snap *planner.Snapshot, runs int) []float64 {
	const newJobs = 6
	next := 0
	return measure(runs, func(int) {
		snap.Waiting = nil
		for range newJobs {
			snap.Waiting = append(snap.Waiting, scaleJob(next))
			next++
		}
		planner.Decide(snap)
	})
}

func scaleFigures() []Figure {
	today := decisions(shard(600, 600, 3000), decisionRuns)
	small := decisions(shard(750, 100, 3900), decisionRuns)
	large := shard(7500, 1000, 39_000)
	slope := quantile(decisions(large, largeRuns), 0.5) / quantile(small, 0.5)
	return []Figure{
		{Name: "decision_p99", Value: quantile(today, 0.99), Unit: "ms"},
		{Name: "gang_512_decision_p99", Value: gang512(large), Unit: "ms"},
		{Name: "decision_slope", Value: slope, Unit: "ratio"},
		{Name: "cancel_10000", Value: cancelFigure(), Unit: "ms"},
	}
}

// gang512 measures plans with one gang of 512 tasks, each with one accelerator.
func gang512(snap *planner.Snapshot) float64 {
	j := scaleJob(0)
	j.Spec.Tasks, j.Spec.Within, j.Spec.Task.Accelerators = 512, model.LevelZone, 1
	snap.Waiting = []*model.Job{j}
	return quantile(measure(largeRuns, func(int) { planner.Decide(snap) }), 0.99)
}

func cancelFigure() float64 {
	var waiting queue.WaitingJobs
	var keys []model.JobKey
	for i := range 2 * cancelled {
		j := scaleJob(i)
		waiting.Add(j)
		if i%2 == 0 {
			keys = append(keys, j.Spec.Key)
		}
	}
	return measure(1, func(int) {
		for _, key := range keys {
			waiting.Remove(key)
		}
	})[0]
}
