package emulator

import (
	"encoding/json"
	"time"

	"github.com/daisyfold/daisyfold/internal/ledger"
	"github.com/daisyfold/daisyfold/internal/model"
	"github.com/daisyfold/daisyfold/internal/platform/workerlink"
)

// Payload is what the emulator reads from a job's payload. Other payloads run for
// defaultRunMS.
type Payload struct {
	// RunMS is the true run time, independent of the declared one.
	RunMS int64 `json:"runMS"`
	// Fail makes the tasks fail at the end of their run time.
	Fail bool `json:"fail,omitempty"`
	// CheckpointMS is how long a checkpoint takes.
	CheckpointMS int64 `json:"checkpointMS,omitempty"`
	// CPUs is the reported usage of each task.
	CPUs float64 `json:"cpus,omitempty"`
	// Result is the tasks' result.
	Result string `json:"result,omitempty"`
}

const defaultRunMS = 1000

func parsePayload(data []byte) Payload {
	p := Payload{RunMS: defaultRunMS}
	if json.Unmarshal(data, &p) != nil {
		return Payload{RunMS: defaultRunMS}
	}
	return p
}

// attemptKey names an attempt of a job on one worker.
type attemptKey struct {
	job     model.JobKey
	attempt int
}

// attempt is the part of an attempt that is held or runs on one worker. Its tasks
// start and end together. The worker's lock guards it.
type attempt struct {
	key       attemptKey
	members   []model.GangMember
	holdUntil time.Time // while it is held and not started

	started    bool
	final      bool
	gangSize   int
	confirmed  bool
	startTime  time.Time
	leaseUntil time.Time
	payload    Payload
	servedMS   int64 // run time kept by the last checkpoint
	usageShown bool
	entries    []int // indices in the ledger, one per member

	// progress is the run time done at progressAt, at the given rate since.
	progress   time.Duration
	progressAt time.Time
	rate       float64

	finish *time.Timer
	lease  *time.Timer
}

// advance accounts for the run time up to now.
func (a *attempt) advance(now time.Time) {
	a.progress += time.Duration(float64(now.Sub(a.progressAt)) * a.rate)
	a.progressAt = now
}

// remaining returns the time until the tasks finish at the present rate.
func (a *attempt) remaining() time.Duration {
	total := time.Duration(a.payload.RunMS) * time.Millisecond
	return max(0, time.Duration(float64(total-a.progress)/a.rate))
}

// active reports whether the attempt occupies resources.
func (a *attempt) active(now time.Time) bool {
	if a.final {
		return false
	}
	return a.started || now.Before(a.holdUntil)
}

// stopTimers ends the attempt's timers.
func (a *attempt) stopTimers() {
	for _, t := range []*time.Timer{a.finish, a.lease} {
		if t != nil {
			t.Stop()
		}
	}
}

// task returns the task of one member in the given state.
func (a *attempt) task(m model.GangMember, state workerlink.TaskState) workerlink.Task {
	t := workerlink.Task{
		ID:            model.TaskID{Job: a.key.job, Attempt: a.key.attempt, Index: m.TaskIndex},
		Member:        m,
		State:         state,
		GangSize:      a.gangSize,
		Confirmed:     a.confirmed,
		StartedUnixMS: a.startTime.UnixMilli(),
		ServedMS:      a.servedMS,
	}
	if a.usageShown {
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

// ledgerRun returns the ledger entry of one member.
func (a *attempt) ledgerRun(m model.GangMember, w model.Worker) ledger.TaskRun {
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
