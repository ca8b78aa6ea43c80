package planner

import (
	"fmt"
	"testing"
	"time"

	"github.com/daisyfold/daisyfold/internal/model"
)

var testNow = time.UnixMilli(1_700_000_000_000)

// testWorkers returns racks of six workers with 8 accelerators.
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

// run turns a plan's starts into attempts that started the given time ago.
func run(s *Snapshot, p *Plan, ago time.Duration) {
	for _, start := range p.Starts {
		start.StartedUnixMS = s.Now.Add(-ago).UnixMilli()
		s.Running = append(s.Running, start)
	}
	s.Waiting = nil
}

func fullShard(workers int) *Snapshot {
	s := &Snapshot{Now: testNow, ZoneInService: true, Workers: testWorkers(workers)}
	for i := range workers * 8 {
		s.Waiting = append(s.Waiting, testJob(fmt.Sprintf("fill%d", i), "spare", 1, 1, model.LevelWorker))
	}
	run(s, Decide(s), time.Hour)
	return s
}

// TestUrgentPreemptsNoMoreThanNeeded guards against urgent work that waits on a full
// cluster and against preempting more gangs than it needs.
func TestUrgentPreemptsNoMoreThanNeeded(t *testing.T) {
	s := fullShard(6)
	if len(s.Running) != 48 {
		t.Fatalf("%d of 48 accelerators filled", len(s.Running))
	}
	urgent := testJob("u", "other", 2, 4, model.LevelRack)
	urgent.Spec.Priority = model.PriorityUrgent
	s.Waiting = []*model.Job{urgent}
	p := Decide(s)
	if len(p.Preempt) != 8 {
		t.Fatalf("preempts %d gangs, want 8: %+v", len(p.Preempt), p.Reasons)
	}
	s.Stopping = map[model.JobKey]bool{}
	for _, v := range p.Preempt {
		s.Stopping[v.Job] = true
	}
	if again := Decide(s); len(again.Preempt) != 0 {
		t.Fatalf("preempts %d more gangs while the first stop", len(again.Preempt))
	}
}

// TestGuaranteedShapeIsReclaimed guards against a guarantee that spare work blocks.
func TestGuaranteedShapeIsReclaimed(t *testing.T) {
	s := fullShard(6)
	shape := model.Shape{Cell: model.LevelWorker, Count: 2, Within: model.LevelRack}
	s.Guarantees = []model.Guarantee{{Organisation: "g", Shape: shape, ShapeCount: 1}}
	s.Waiting = []*model.Job{testJob("g1", "g", 2, 8, model.LevelRack)}
	if p := Decide(s); len(p.Preempt) != 16 {
		t.Fatalf("preempts %d gangs, want 16: %+v", len(p.Preempt), p.Reasons)
	}
}
