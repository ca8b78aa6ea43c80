package planner

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/daisyfold/daisyfold/internal/model"
	"github.com/daisyfold/daisyfold/internal/topology"
)

// drawShard draws racks of different sizes with lost and leaving workers and workers on
// probation.
func drawShard(t *rapid.T) *Snapshot {
	s := &Snapshot{Now: testNow, ZoneInService: rapid.IntRange(0, 9).Draw(t, "zone") > 0}
	health := []model.WorkerHealth{"", "", "", "", model.WorkerLost, model.WorkerLeaving, model.WorkerProbation}
	for i := range rapid.IntRange(1, 14).Draw(t, "workers") {
		n := rapid.SampledFrom([]int{8, 8, 8, 0, 3, 6}).Draw(t, "accelerators")
		s.Workers = append(s.Workers, model.Worker{
			ID: model.WorkerID(fmt.Sprint(i)), Rack: fmt.Sprint(rapid.IntRange(0, 2).Draw(t, "rack")),
			Health: rapid.SampledFrom(health).Draw(t, "health"), Capacity: model.Resources{CPUs: 64, MemoryMB: 8192, Accelerators: n},
		})
	}
	return s
}

// drawJobs replaces the waiting jobs by random ones.
func drawJobs(t *rapid.T, s *Snapshot, round int) {
	s.Waiting = nil
	for i := range rapid.IntRange(1, 20).Draw(t, "jobs") {
		j := testJob(fmt.Sprintf("%d-%d", round, i), rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "org"),
			rapid.IntRange(1, 6).Draw(t, "tasks"), rapid.IntRange(0, 8).Draw(t, "size"),
			rapid.SampledFrom([]model.Level{model.LevelWorker, model.LevelRack, model.LevelZone}).Draw(t, "within"))
		j.Spec.Priority = model.Priority(rapid.IntRange(0, 3).Draw(t, "priority"))
		s.Waiting = append(s.Waiting, j)
	}
}

// TestPlanFits guards against partial gangs, accelerators that are assigned twice or not
// adjacent, overcommitted CPUs and memory, starts on unusable workers or in a zone out of
// service, and jobs without a reason.
func TestPlanFits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := drawShard(t)
		for round := range 3 {
			drawJobs(t, s, round)
			p := Decide(s)
			checkPlan(t, s, p)
			startPlanned(s, p, time.Duration(rapid.IntRange(0, 200).Draw(t, "minutes"))*time.Minute)
		}
	})
}

func checkPlan(t *rapid.T, s *Snapshot, p *Plan) {
	specs := make(map[model.JobKey]*model.JobSpec)
	for _, j := range s.Waiting {
		specs[j.Spec.Key] = &j.Spec
	}
	reasons := make(map[model.JobKey]bool)
	for _, r := range p.Reasons {
		reasons[r.Job] = true
	}
	for key := range specs {
		if !reasons[key] {
			t.Fatalf("job %s has no reason", key)
		}
	}
	if !s.ZoneInService && len(p.Starts)+len(p.Preemptions) > 0 {
		t.Fatalf("%d starts in a zone that is out of service", len(p.Starts))
	}
	table := topology.New(s.Workers, s.Running)
	for i := range p.Starts {
		checkStart(t, table, &p.Starts[i], specs[p.Starts[i].Job])
	}
}

func checkStart(t *rapid.T, table *topology.AllocationTable, start *model.Placement, spec *model.JobSpec) {
	if len(start.Members) != spec.Tasks {
		t.Fatalf("%s starts %d of %d tasks", start.Job, len(start.Members), spec.Tasks)
	}
	racks, nodes := make(map[int]bool), make(map[int]bool)
	for _, m := range start.Members {
		i, _ := table.NodeIndex(m.Worker)
		n := &table.Nodes[i]
		mask := topology.MaskOf(m.Accelerators)
		if mask.Count() != spec.Task.Accelerators || mask&^n.FreeAccelerators != 0 {
			t.Fatalf("%s: accelerators %v are not free on %s", start.Job, m.Accelerators, m.Worker)
		}
		if mask != 0 && topology.EnclosingCell(mask, topology.CellSize(mask.Count())) == 0 {
			t.Fatalf("%s: accelerators %v are not adjacent", start.Job, m.Accelerators)
		}
		if !n.Usable() && (n.Health != model.WorkerProbation || spec.Tasks > 1 || len(n.Allocations) > 0) {
			t.Fatalf("%s starts on %s, which is %s", start.Job, m.Worker, n.Health)
		}
		racks[n.Rack], nodes[i] = true, true
	}
	if spec.Within == model.LevelWorker && len(nodes) > 1 || spec.Within == model.LevelRack && len(racks) > 1 {
		t.Fatalf("%s is not within one %s", start.Job, spec.Within)
	}
	table.AddGang(start)
	for i := range nodes {
		if n := &table.Nodes[i]; n.FreeCPUs < 0 || n.FreeMemoryMB < 0 {
			t.Fatalf("%s overcommits %s", start.Job, n.ID)
		}
	}
}

// TestCheckFeasible guards against accepting jobs that can never run, and against rejecting
// jobs that can.
func TestCheckFeasible(t *testing.T) {
	cases := []struct {
		job   *model.Job
		quota int
		fits  bool
	}{
		{testJob("fits", "o", 6, 8, model.LevelRack), 0, true},
		{testJob("rack", "o", 7, 8, model.LevelRack), 0, false},
		{testJob("task", "o", 1, 9, model.LevelWorker), 0, false},
		{testJob("quota", "o", 2, 8, model.LevelRack), 15, false},
		{testJob("none", "o", 0, 1, model.LevelZone), 0, false},
	}
	for _, c := range cases {
		err := CheckFeasible(&c.job.Spec, testWorkers(12), c.quota)
		if (err == nil) != c.fits {
			t.Errorf("%s: error %v, fits %t", c.job.Spec.Key.ID, err, c.fits)
		}
	}
}
