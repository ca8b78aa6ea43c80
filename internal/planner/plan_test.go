package planner

import (
	"fmt"
	"testing"
	"time"

	"github.com/daisyfold/daisyfold/internal/model"
)

var testNow = time.UnixMilli(1_700_000_000_000)

// testWorkers returns n workers with 8 accelerators each, six to a rack.
func testWorkers(n int) []model.Worker {
	out := make([]model.Worker, n)
	for i := range out {
		out[i] = model.Worker{
			ID: model.WorkerID(fmt.Sprintf("w%03d", i)), Zone: "z", Rack: fmt.Sprintf("r%02d", i/6),
			Capacity: model.Resources{CPUs: 128, MemoryMB: 512 << 10, Accelerators: 8},
		}
	}
	return out
}

func testJob(id, org string, tasks, accelerators int, within model.Level) *model.Job {
	return &model.Job{
		Spec: model.JobSpec{
			Key: model.JobKey{Organisation: model.Organisation(org), ID: model.JobID(id)}, Service: "s",
			Tasks: tasks, Within: within, Priority: model.PriorityNormal,
			Task: model.Resources{CPUs: 4 * accelerators, MemoryMB: 1024, Accelerators: accelerators},
		},
		State: model.JobWaiting, AcceptedUnixMS: testNow.UnixMilli(),
	}
}

// startPlanned turns the plan's starts into attempts that started the given time ago, and
// empties the queue.
func startPlanned(s *Snapshot, p *Plan, ago time.Duration) {
	for _, start := range p.Starts {
		start.StartedUnixMS = s.Now.Add(-ago).UnixMilli()
		s.Running = append(s.Running, start)
	}
	s.Waiting = nil
}

// fullShard returns a shard on which jobs of one accelerator use all accelerators.
func fullShard(workers int) *Snapshot {
	s := &Snapshot{Now: testNow, ZoneInService: true, Workers: testWorkers(workers)}
	for i := range workers * 8 {
		s.Waiting = append(s.Waiting, testJob(fmt.Sprintf("fill%d", i), "spare", 1, 1, model.LevelWorker))
	}
	startPlanned(s, Decide(s), time.Hour)
	return s
}

// TestUrgentPreemptsNoMoreThanNeeded guards against urgent jobs that wait on a full shard,
// and against preempting more gangs than such a job needs.
func TestUrgentPreemptsNoMoreThanNeeded(t *testing.T) {
	s := fullShard(6)
	if len(s.Running) != 48 {
		t.Fatalf("%d of 48 accelerators filled", len(s.Running))
	}
	urgent := testJob("u", "other", 2, 4, model.LevelRack)
	urgent.Spec.Priority = model.PriorityUrgent
	s.Waiting = []*model.Job{urgent}
	p := Decide(s)
	if len(p.Preemptions) != 8 {
		t.Fatalf("preempts %d gangs, want 8: %+v", len(p.Preemptions), p.Reasons)
	}
	s.Stopping = map[model.JobKey]bool{}
	for _, v := range p.Preemptions {
		s.Stopping[v.Job] = true
	}
	if again := Decide(s); len(again.Preemptions) != 0 {
		t.Fatalf("preempts %d more gangs while the first stop", len(again.Preemptions))
	}
}

// TestGuaranteedShapeIsReclaimed guards against a guarantee that cannot be claimed because
// other jobs use its accelerators.
func TestGuaranteedShapeIsReclaimed(t *testing.T) {
	s := fullShard(6)
	shape := model.Shape{Cell: model.LevelWorker, Count: 2, Within: model.LevelRack}
	s.Guarantees = []model.Guarantee{{Organisation: "g", Shape: shape, ShapeCount: 1}}
	s.Waiting = []*model.Job{testJob("g1", "g", 2, 8, model.LevelRack)}
	if p := Decide(s); len(p.Preemptions) != 16 {
		t.Fatalf("preempts %d gangs, want 16: %+v", len(p.Preemptions), p.Reasons)
	}
}
