package plan

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"github.com/daisyfold/daisyfold/internal/engine/work"
)

var workerCapacity = work.Resources{CPU: 128_000, MemoryMB: 512_000, Accelerators: 8}

// emptySnapshot returns n empty workers, six to a rack.
func emptySnapshot(n int) *Snapshot {
	s := &Snapshot{}
	for i := range n {
		s.Nodes = append(s.Nodes, &Node{Key: fmt.Sprintf("w%02d", i), Rack: fmt.Sprintf("r%d", i/6), Capacity: workerCapacity, Free: workerCapacity})
	}
	return s
}

func newRequest(tasks int, step work.Step) *Request {
	step.Tasks = tasks
	return &Request{Key: StepKey{Job: "j"}, Step: &step, Tasks: tasks}
}

var halfWorker = work.Resources{CPU: 60_000, MemoryMB: 1000, Accelerators: 4}

// TestGangStaysInRack guards against spreading a gang over racks although one rack can
// hold it, and against placing only part of a gang.
func TestGangStaysInRack(t *testing.T) {
	s := emptySnapshot(12)
	req := newRequest(12, work.Step{Demand: halfWorker, Gang: true, SameRack: true})
	placed := s.Place(req)
	if len(placed) != 12 {
		t.Fatalf("%d of 12 tasks are placed", len(placed))
	}
	for _, n := range placed {
		if n.Rack != placed[0].Rack {
			t.Errorf("the gang is on racks %s and %s", placed[0].Rack, n.Rack)
		}
	}
	if got := s.Place(newRequest(13, work.Step{Demand: halfWorker, Gang: true, SameRack: true})); got != nil {
		t.Errorf("a gang that fits in no rack is placed on %d workers", len(got))
	}
	if got := s.Place(newRequest(13, work.Step{Demand: halfWorker, Gang: true})); got != nil {
		t.Errorf("a gang of 13 is placed although only 12 fit")
	}
}

// TestPlacePrefersFullestWorker guards against spreading small tasks over empty workers,
// which then have no room for large tasks.
func TestPlacePrefersFullestWorker(t *testing.T) {
	s := emptySnapshot(3)
	s.Nodes[1].Free = work.Resources{CPU: 70_000, MemoryMB: 400_000, Accelerators: 5}
	placed := s.Place(newRequest(1, work.Step{Demand: halfWorker}))
	if placed[0].Key != "w01" {
		t.Errorf("the task goes to %s", placed[0].Key)
	}
}

// TestMaxPerWorker guards against placing more tasks of a step on a worker than the step
// allows.
func TestMaxPerWorker(t *testing.T) {
	s := emptySnapshot(2)
	s.Nodes[0].StepTasks = map[StepKey]int{{Job: "j"}: 1}
	small := work.Resources{CPU: 1000, MemoryMB: 10, Accelerators: 1}
	if got := s.Place(newRequest(5, work.Step{Demand: small, MaxPerWorker: 2})); len(got) != 3 {
		t.Errorf("%d tasks are placed, want 3", len(got))
	}
}

// TestPreemptPrefersCheapestRack guards against stopping more runs or costlier runs than
// necessary, and against claims that exceed the freed resources.
func TestPreemptPrefersCheapestRack(t *testing.T) {
	s := emptySnapshot(12)
	var victims []Victim
	for i, n := range s.Nodes {
		n.Free = work.Resources{}
		cost := 10.0
		if n.Rack == "r1" {
			cost = 1
		}
		victims = append(victims, Victim{ID: i, Freed: []Freed{{n, workerCapacity}}, Cost: cost})
	}
	preemption := s.Preempt(newRequest(3, work.Step{Demand: halfWorker, Gang: true, SameRack: true}), NewVictims(victims, nil))
	if preemption == nil || len(preemption.Victims) != 2 {
		t.Fatalf("got %+v, want two victims", preemption)
	}
	claimed := 0
	for key, k := range preemption.Claims {
		claimed += k
		if key < "w06" {
			t.Errorf("the claim is on %s, outside the cheapest rack", key)
		}
	}
	if claimed != 3 {
		t.Errorf("%d tasks are claimed, want 3", claimed)
	}
	s.Claim(newRequest(3, work.Step{Demand: halfWorker}), preemption.Claims)
	for key, k := range preemption.Claims {
		for _, n := range s.Nodes {
			if n.Key == key && n.Free.CPU != -60_000*k {
				t.Errorf("%s has %d of CPU free with %d claims", key, n.Free.CPU, k)
			}
		}
	}
	if got := s.Preempt(newRequest(99, work.Step{Demand: halfWorker, Gang: true}), NewVictims(victims, nil)); got != nil {
		t.Errorf("a preemption is found for a gang that never fits")
	}
}

// TestPlaceStaysWithinCapacity guards against placing more on a worker than fits, for
// random requests.
func TestPlaceStaysWithinCapacity(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := emptySnapshot(rapid.IntRange(1, 20).Draw(t, "workers"))
		for range rapid.IntRange(1, 30).Draw(t, "requests") {
			step := work.Step{
				Demand: work.Resources{
					CPU: rapid.IntRange(0, 90_000).Draw(t, "cpu"), MemoryMB: rapid.IntRange(0, 300_000).Draw(t, "memory"),
					Accelerators: rapid.IntRange(0, 8).Draw(t, "accelerators"),
				},
				Gang: rapid.Bool().Draw(t, "gang"), SameRack: rapid.Bool().Draw(t, "rack"),
				MaxPerWorker: rapid.IntRange(0, 3).Draw(t, "max per worker"),
			}
			req := newRequest(rapid.IntRange(1, 40).Draw(t, "tasks"), step)
			placed := s.Place(req)
			if step.Gang && len(placed) != 0 && len(placed) != req.Tasks {
				t.Fatalf("a gang of %d is placed in part: %d", req.Tasks, len(placed))
			}
			for _, n := range s.Nodes {
				if n.Free.CPU < 0 || n.Free.MemoryMB < 0 || n.Free.Accelerators < 0 {
					t.Fatalf("%s is overfull: %+v", n.Key, n.Free)
				}
			}
		}
	})
}

// TestSlowerWorkers guards against urgent gangs on slower workers, which determine how long
// the whole gang takes, and against other work that takes the faster workers first.
func TestSlowerWorkers(t *testing.T) {
	s := emptySnapshot(4)
	s.Nodes[1].Slower, s.Nodes[3].Slower = true, true
	if n := s.Place(newRequest(1, work.Step{Demand: halfWorker}))[0]; !n.Slower {
		t.Errorf("other work goes to %s although a slower worker is free", n.Key)
	}
	urgent := newRequest(4, work.Step{Demand: halfWorker, Gang: true})
	urgent.AvoidSlower = true
	for _, n := range s.Place(urgent) {
		if n.Slower {
			t.Errorf("an urgent gang is on %s, a slower worker", n.Key)
		}
	}
	if got := s.Place(urgent); got != nil {
		t.Errorf("%d tasks are placed although the faster workers are full", len(got))
	}
}

// TestOvercommittedWorkerGetsNoTask guards against a task without accelerators on a worker whose accelerators were reduced below those in use.
func TestOvercommittedWorkerGetsNoTask(t *testing.T) {
	n := &Node{Key: "a", Capacity: work.Resources{CPU: 8000, MemoryMB: 8000, Accelerators: 1}, Free: work.Resources{CPU: 4000, MemoryMB: 4000, Accelerators: -3}, Overcommitted: true}
	s := &Snapshot{Nodes: []*Node{n}}
	filler := &Request{Step: &work.Step{Tasks: 1, Demand: work.Resources{MemoryMB: 100}, BestEffort: true}, Tasks: 1}
	if nodes := s.Place(filler); len(nodes) != 0 {
		t.Errorf("placed on %d overcommitted workers", len(nodes))
	}
	n.Free, n.Overcommitted = work.Resources{CPU: 4000, MemoryMB: 4000}, false
	if nodes := s.Place(filler); len(nodes) != 1 {
		t.Errorf("placed on %d workers with room, want 1", len(nodes))
	}
}
