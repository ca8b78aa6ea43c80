package emulator

import (
	"slices"
	"sync"
	"time"

	"github.com/daisyfold/daisyfold/internal/ledger"
	"github.com/daisyfold/daisyfold/internal/model"
)

// recorder writes the ledger.
type recorder struct {
	mu     sync.Mutex
	ledger ledger.Ledger
}

// startTask adds a running task and returns its index in the ledger.
func (r *recorder) startTask(t ledger.TaskRun) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	t.StartUnixMS = time.Now().UnixMilli()
	r.ledger.Tasks = append(r.ledger.Tasks, t)
	return len(r.ledger.Tasks) - 1
}

func (r *recorder) confirmTask(index int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ledger.Tasks[index].Confirmed = true
}

func (r *recorder) endTask(index int, outcome ledger.TaskOutcome) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ledger.Tasks[index].EndUnixMS = time.Now().UnixMilli()
	r.ledger.Tasks[index].Outcome = outcome
}

// startExecution adds a running execution and returns its index in the ledger.
func (r *recorder) startExecution(e ledger.Execution) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	e.StartUnixMS = time.Now().UnixMilli()
	r.ledger.Executions = append(r.ledger.Executions, e)
	return len(r.ledger.Executions) - 1
}

func (r *recorder) endExecution(index, status int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ledger.Executions[index].EndUnixMS = time.Now().UnixMilli()
	r.ledger.Executions[index].Status = status
}

func (r *recorder) recordLeavingTarget(id model.TargetID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ledger.LeavingTargets = append(r.ledger.LeavingTargets, ledger.LeavingTarget{Target: id, SinceUnixMS: time.Now().UnixMilli()})
}

// snapshot returns a copy of the ledger.
func (r *recorder) snapshot() ledger.Ledger {
	r.mu.Lock()
	defer r.mu.Unlock()
	return ledger.Ledger{
		NowUnixMS:      time.Now().UnixMilli(),
		Tasks:          slices.Clone(r.ledger.Tasks),
		Executions:     slices.Clone(r.ledger.Executions),
		LeavingTargets: slices.Clone(r.ledger.LeavingTargets),
	}
}
