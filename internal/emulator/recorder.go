package emulator

import (
	"slices"
	"sync"
	"time"

	"github.com/daisyfold/daisyfold/internal/ledger"
	"github.com/daisyfold/daisyfold/internal/model"
)

// recorder collects the ledger.
type recorder struct {
	mu  sync.Mutex
	all ledger.Ledger
}

// startTask adds a running task and returns its index.
func (r *recorder) startTask(t ledger.TaskRun) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	t.StartUnixMS = time.Now().UnixMilli()
	r.all.Tasks = append(r.all.Tasks, t)
	return len(r.all.Tasks) - 1
}

func (r *recorder) confirmTask(index int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.all.Tasks[index].Confirmed = true
}

func (r *recorder) endTask(index int, end ledger.TaskOutcome) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.all.Tasks[index].EndUnixMS = time.Now().UnixMilli()
	r.all.Tasks[index].Outcome = end
}

// startExecution adds a running execution and returns its index.
func (r *recorder) startExecution(e ledger.Execution) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	e.StartUnixMS = time.Now().UnixMilli()
	r.all.Executions = append(r.all.Executions, e)
	return len(r.all.Executions) - 1
}

func (r *recorder) endExecution(index, status int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.all.Executions[index].EndUnixMS = time.Now().UnixMilli()
	r.all.Executions[index].Status = status
}

func (r *recorder) targetLeft(id model.TargetID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.all.LeavingTargets = append(r.all.LeavingTargets, ledger.LeavingTarget{Target: id, SinceUnixMS: time.Now().UnixMilli()})
}

// snapshot returns a copy of the ledger.
func (r *recorder) snapshot() ledger.Ledger {
	r.mu.Lock()
	defer r.mu.Unlock()
	return ledger.Ledger{
		NowUnixMS:      time.Now().UnixMilli(),
		Tasks:          slices.Clone(r.all.Tasks),
		Executions:     slices.Clone(r.all.Executions),
		LeavingTargets: slices.Clone(r.all.LeavingTargets),
	}
}
