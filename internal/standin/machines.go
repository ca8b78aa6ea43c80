package standin

import (
	"context"
	"time"

	"github.com/daisyfold/daisyfold/internal/engine/workers"
)

// upkeepDuration is how long a machine is down during upkeep.
const upkeepDuration = 2 * time.Second

// Machines simulates the platform's machine API. Each worker is a machine of the same
// name.
type Machines struct {
	fleet *Fleet
	// maxDown is how many machines of a wave may be down at the same time.
	maxDown     int
	begunUpkeep map[upkeepKey]bool
	fences      map[string]int64
	downByWave  map[int64]int // number of machines that are down, by wave
	// Unanswered is how many of the next orders are executed but get no response.
	Unanswered int
}

// upkeepKey identifies the upkeep of one machine in one wave.
type upkeepKey struct {
	machine string
	wave    int64
}

// Machines returns the machine API of the fleet. It is a violation if more than maxDown
// machines of a wave are down at the same time.
func (f *Fleet) Machines(maxDown int) *Machines {
	return &Machines{fleet: f, maxDown: maxDown, begunUpkeep: map[upkeepKey]bool{}, fences: map[string]int64{}, downByWave: map[int64]int{}}
}

// UpkeepCount returns the number of upkeeps that have begun, over all machines and waves.
func (m *Machines) UpkeepCount() int {
	m.fleet.mu.Lock()
	defer m.fleet.mu.Unlock()
	return len(m.begunUpkeep)
}

// List implements workers.Machines.
func (m *Machines) List(ctx context.Context) ([]workers.Machine, error) {
	if err := sleep(ctx, workerLatency); err != nil {
		return nil, err
	}
	m.fleet.mu.Lock()
	defer m.fleet.mu.Unlock()
	var out []workers.Machine
	for _, w := range m.fleet.workers {
		out = append(out, workers.Machine{Name: w.entry.ID, WorkerID: w.entry.ID, Up: w.up})
	}
	return out, nil
}

// Upkeep implements workers.Machines.
func (m *Machines) Upkeep(ctx context.Context, o workers.UpkeepOrder) (workers.UpkeepOutcome, error) {
	if err := sleep(ctx, workerLatency); err != nil {
		return 0, err
	}
	m.fleet.mu.Lock()
	outcome := m.startUpkeep(o)
	unanswered := m.Unanswered > 0
	if unanswered {
		m.Unanswered--
	}
	m.fleet.mu.Unlock()
	if unanswered {
		if err := sleep(ctx, orderTimeout); err != nil {
			return 0, err
		}
		return 0, errNoWorkerAnswer
	}
	return outcome, nil
}

// startUpkeep executes an upkeep order. The caller holds the fleet's lock.
func (m *Machines) startUpkeep(o workers.UpkeepOrder) workers.UpkeepOutcome {
	var w *Worker
	for _, candidate := range m.fleet.workers {
		if candidate.entry.ID == o.Machine {
			w = candidate
		}
	}
	switch {
	case w == nil:
		return workers.UpkeepNoMachine
	case o.Fence < m.fences[o.Machine]:
		return workers.UpkeepFenced
	case m.begunUpkeep[upkeepKey{o.Machine, o.Wave}]:
		return workers.UpkeepBegun
	case !w.up || w.entry.Draining:
		return workers.UpkeepBusy
	}
	m.fences[o.Machine], m.begunUpkeep[upkeepKey{o.Machine, o.Wave}] = o.Fence, true
	if m.downByWave[o.Wave]++; m.downByWave[o.Wave] > m.maxDown {
		m.fleet.ledger.addViolation("LIMIT: %d machines of wave %d are down", m.downByWave[o.Wave], o.Wave)
	}
	for _, r := range w.runs {
		m.fleet.ledger.recordStop(r)
	}
	w.terminate(EndingLeft)
	time.AfterFunc(upkeepDuration, func() {
		m.fleet.mu.Lock()
		defer m.fleet.mu.Unlock()
		m.downByWave[o.Wave]--
		if !w.up {
			w.startIncarnation()
		}
	})
	return workers.UpkeepBegun
}
