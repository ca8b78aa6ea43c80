package emulator

import (
	"encoding/json"
	"time"

	"github.com/daisyfold/daisyfold/internal/ledger"
	"github.com/daisyfold/daisyfold/internal/model"
	"github.com/daisyfold/daisyfold/internal/platform/workerlink"
)

// Payload is the JSON payload of a job that controls its emulated tasks. Tasks of a
// job whose payload cannot be parsed run for defaultRunMS.
type Payload struct {
	// RunMS is the actual run time, independent of the declared one.
	RunMS int64 `json:"runMS"`
	// Fail makes the tasks fail at the end of the run time.
	Fail bool `json:"fail,omitempty"`
	// CheckpointMS is the duration of a checkpoint.
	CheckpointMS int64 `json:"checkpointMS,omitempty"`
	// CPUs is the CPU usage that is reported for each task.
	CPUs float64 `json:"cpus,omitempty"`
	// Result is the result of each task.
	Result string `json:"result,omitempty"`
}

const defaultRunMS = 1000

// parsePayload parses the payload of a job. It returns the default payload if data is not
// valid JSON.
func parsePayload(data []byte) Payload {
	p := Payload{RunMS: defaultRunMS}
	if json.Unmarshal(data, &p) != nil {
		return Payload{RunMS: defaultRunMS}
	}
	return p
}

// attemptKey identifies an attempt of a job on one worker.
type attemptKey struct {
	job     model.JobKey
	attempt int
}

// attempt is the part of an attempt that is held or runs on one worker. Its tasks
// start and end together. It is guarded by the mutex of the worker.
type attempt struct {
	key        attemptKey
	members    []model.GangMember
	holdExpiry time.Time // end of the hold, until the attempt is started

	started       bool
	final         bool
	gangSize      int
	confirmed     bool
	startTime     time.Time
	leaseExpiry   time.Time
	payload       Payload
	savedRunMS    int64 // run time saved by the last checkpoint
	usageReported bool
	ledgerIndices []int // ledger index of the task of each member

	// progress is the run time completed at progressAt. Since then it grows at rate.
	progress   time.Duration
	progressAt time.Time
	rate       float64

	finishTimer *time.Timer
	leaseTimer  *time.Timer
}

// updateProgress adds the run time since the last update.
func (a *attempt) updateProgress(now time.Time) {
	a.progress += time.Duration(float64(now.Sub(a.progressAt)) * a.rate)
	a.progressAt = now
}

// remaining returns the time until the tasks finish at the current rate.
func (a *attempt) remaining() time.Duration {
	total := time.Duration(a.payload.RunMS) * time.Millisecond
	return max(0, time.Duration(float64(total-a.progress)/a.rate))
}

// active reports whether the attempt is held or runs, and so occupies resources.
func (a *attempt) active(now time.Time) bool {
	if a.final {
		return false
	}
	return a.started || now.Before(a.holdExpiry)
}

// stopTimers stops the attempt's timers.
func (a *attempt) stopTimers() {
	for _, t := range []*time.Timer{a.finishTimer, a.leaseTimer} {
		if t != nil {
			t.Stop()
		}
	}
}

// task returns the description of one member's task in the given state.
func (a *attempt) task(m model.GangMember, state workerlink.TaskState) workerlink.Task {
	t := workerlink.Task{
		ID:            model.TaskID{Job: a.key.job, Attempt: a.key.attempt, Index: m.TaskIndex},
		Member:        m,
		State:         state,
		GangSize:      a.gangSize,
		Confirmed:     a.confirmed,
		StartedUnixMS: a.startTime.UnixMilli(),
		SavedRunMS:    a.savedRunMS,
	}
	if a.usageReported {
		t.UsageCPUs = a.payload.CPUs
	}
	if state == workerlink.TaskFinished {
		t.Result = []byte(a.payload.Result)
	}
	if state == workerlink.TaskFailed {
		t.Detail = "the task exited with status 1"
	}
	return t
}

// newTaskRun returns a new ledger entry for one member's task.
func (a *attempt) newTaskRun(m model.GangMember, w model.Worker) ledger.TaskRun {
	return ledger.TaskRun{
		Job:      a.key.job,
		Attempt:  a.key.attempt,
		Index:    m.TaskIndex,
		GangSize: a.gangSize,
		Member:   m,
		Worker:   w.ID,
		Zone:     w.Zone,
	}
}
