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
	randomStates = 10_000
	stateWorkers = 6 // goroutines that check states
	claimRounds  = 6 // plans after which every claim must run
)

// reclaimFigures counts guarantees that could not be served in random states.
func reclaimFigures(seed int64) []Figure {
	var violations atomic.Int64
	var group errgroup.Group
	group.SetLimit(stateWorkers)
	for i := range randomStates {
		group.Go(func() error {
			violations.Add(int64(CheckState(rand.New(rand.NewPCG(uint64(seed), uint64(i))))))
			return nil
		})
	}
	_ = group.Wait() // The checks return no errors.
	return []Figure{{Name: "reclaim_violations", Value: float64(violations.Load()), Unit: "count"}}
}

var stateShapes = []model.Shape{
	shape(model.LevelWorker, 4, model.LevelRack), shape(model.LevelWorker, 2, model.LevelRack),
	shape(model.LevelWorker, 1, model.LevelWorker), shape(model.LevelFour, 2, model.LevelRack),
	shape(model.LevelFour, 1, model.LevelWorker), shape(model.LevelPair, 3, model.LevelWorker),
	shape(model.LevelPair, 1, model.LevelWorker), shape(model.LevelAccelerator, 1, model.LevelAccelerator),
	shape(model.LevelWorker, 3, model.LevelZone),
}

// state is a random shard.
type state struct {
	rand *rand.Rand
	snap *planner.Snapshot
	jobs int
}

// CheckState builds a random full shard with lost workers and returns how many
// guaranteed shapes cannot be claimed, although no finding names them.
func CheckState(r *rand.Rand) int {
	s := &state{rand: r, snap: &planner.Snapshot{
		Now: epoch, ZoneInService: true, NonPreemptible: make(map[model.JobKey]bool),
	}}
	s.addWorkers()
	s.addGuarantees()
	for range 2 {
		s.fill()
		s.finishSome()
	}
	s.fill()
	if len(planner.Decide(s.snap).Findings) > 0 {
		return 1 // The guarantees fit the whole hardware when they were drawn.
	}
	if r.IntN(20) == 0 {
		return s.checkZoneOut()
	}
	s.damage()
	return s.claim()
}

func (s *state) addWorkers() {
	rack := 0
	for i := range 3 + s.rand.IntN(11) {
		if s.rand.IntN(5) == 0 {
			rack++ // ragged racks
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

// addGuarantees draws shapes until the next ones no longer fit.
func (s *state) addGuarantees() {
	empty := topology.New(s.snap.Workers, nil)
	for failures := 0; failures < 4; {
		g := model.Guarantee{
			Organisation: model.Organisation(fmt.Sprintf("o%d", s.rand.IntN(4))),
			Shape:        stateShapes[s.rand.IntN(len(stateShapes))], ShapeCount: 1,
		}
		more := append(slices.Clone(s.snap.Guarantees), g)
		if guarantee.NewState(empty, more, guarantee.Options{}).Shortfall() > 0 {
			failures++
			continue
		}
		s.snap.Guarantees = more
	}
}

func (s *state) wait(org model.Organisation, tasks, accelerators int, within model.Level) *model.Job {
	s.jobs++
	j := &model.Job{Spec: model.JobSpec{
		Key: model.JobKey{Organisation: org, ID: model.JobID(fmt.Sprint(s.jobs))}, Service: "s",
		Tasks: tasks, Within: within, Priority: model.Priority(s.rand.IntN(4)),
		Task: model.Resources{CPUs: accelerators * 12, MemoryMB: accelerators << 14, Accelerators: accelerators},
	}, AcceptedUnixMS: epoch.UnixMilli()}
	s.snap.Waiting = append(s.snap.Waiting, j)
	return j
}

// fill offers more work than fits, of organisations with and without guarantees.
func (s *state) fill() {
	for range 20 {
		org := model.Organisation(fmt.Sprintf("o%d", s.rand.IntN(6)))
		tasks, within := 1, model.LevelWorker
		if s.rand.IntN(4) == 0 {
			tasks, within = 1+s.rand.IntN(6), model.LevelRack
		}
		j := s.wait(org, tasks, s.rand.IntN(model.AcceleratorsPerWorker+1), within)
		j.Spec.NonRepeatable = s.rand.IntN(10) == 0
	}
	s.step()
	s.snap.Waiting = nil
}

// step applies one plan: victims stop at once and starts run.
func (s *state) step() {
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

func (s *state) finishSome() {
	s.snap.Running = slices.DeleteFunc(s.snap.Running, func(model.Placement) bool { return s.rand.IntN(3) == 0 })
}

func (s *state) checkZoneOut() int {
	s.wait("o0", 1, 1, model.LevelWorker)
	s.snap.ZoneInService = false
	return len(planner.Decide(s.snap).Starts)
}

// damage makes workers unusable; the gangs of lost workers end.
func (s *state) damage() {
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

// claim asks for all unused shapes at once and counts those that do not start.
func (s *state) claim() int {
	pinned := func(i int) bool { return s.snap.NonPreemptible[s.snap.Running[i].Job] }
	book := guarantee.NewState(topology.New(s.snap.Workers, s.snap.Running), s.snap.Guarantees, guarantee.Options{NonPreemptible: pinned})
	for _, g := range book.UnusedShapes() {
		tasks, n, within := g.Shape.Count, model.AcceleratorsPerCell(g.Shape.Cell), g.Shape.Within
		s.wait(g.Organisation, tasks, n, within).Spec.Priority = model.PriorityNormal
	}
	for range claimRounds {
		s.step()
		if len(s.snap.Waiting) == 0 {
			return 0
		}
	}
	return len(s.snap.Waiting)
}
