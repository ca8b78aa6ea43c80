// Package workerlink defines the messages of the platform's worker API and provides a
// client. To support another worker protocol, only this package is replaced.
//
// Every call is an HTTP POST with a JSON body to the worker's base URL followed by
// one of the Path constants. Calls after Acquire carry the fencing token; to an older
// token a worker responds with status 409 and an ErrorBody of code CodeFenced.
package workerlink

import (
	"context"

	"github.com/daisyfold/daisyfold/internal/model"
)

// Paths of the worker API, relative to the worker's base URL.
const (
	PathAcquire    = "/acquire"
	PathRenew      = "/renew"
	PathRelease    = "/release"
	PathHold       = "/hold"
	PathStart      = "/start"
	PathConfirm    = "/confirm"
	PathStop       = "/stop"
	PathCheckpoint = "/checkpoint"
	PathThrottle   = "/throttle"
)

// Code is the machine-readable reason of a refused call.
type Code string

// Codes of refused calls.
const (
	CodeFenced      Code = "fenced"     // the token is older than the worker's current one
	CodeBusy        Code = "busy"       // the resources are held or in use
	CodeNoHold      Code = "no_hold"    // the hold expired or never existed
	CodeStartFailed Code = "start_fail" // the worker could not start the task
	CodeLeaving     Code = "leaving"    // the worker takes no new tasks
	CodeBadInput    Code = "bad_input"
)

// ErrorBody is the JSON body of a response with a status of 400 or above.
type ErrorBody struct {
	Code    Code   `json:"code"`
	Message string `json:"message"`
}

// TaskState is the state of a task on its worker.
type TaskState string

// Task states on a worker. Finished, failed, stopped and lapsed are final.
const (
	TaskRunning  TaskState = "running"
	TaskFinished TaskState = "finished"
	TaskFailed   TaskState = "failed"
	TaskStopped  TaskState = "stopped" // by a Stop call
	TaskLapsed   TaskState = "lapsed"  // its lease expired
)

// Task is a task as its worker reports it.
type Task struct {
	ID     model.TaskID     `json:"id"`
	Member model.GangMember `json:"member"`
	State  TaskState        `json:"state"`
	// GangSize is the number of tasks in the gang.
	GangSize int `json:"gangSize"`
	// Confirmed is set after Confirm. Until then the short lease of Start applies.
	Confirmed bool `json:"confirmed"`
	// StartedUnixMS is the start time by the worker's clock, in milliseconds since 1970.
	StartedUnixMS int64 `json:"startedUnixMS"`
	// SavedRunMS is the run time, in milliseconds, that the last checkpoint saved,
	// including earlier attempts; 0 without a checkpoint.
	SavedRunMS int64 `json:"servedMS,omitempty"`
	// UsageCPUs is the measured CPU usage in CPUs. It lags, so it is only a hint.
	UsageCPUs float64 `json:"usageCPUs,omitempty"`
	// Result is set on finished tasks.
	Result []byte `json:"result,omitempty"`
	// Detail describes a failure.
	Detail string `json:"detail,omitempty"`
}

// Event is a state change of a task. The worker numbers its events from 1.
type Event struct {
	Seq  uint64 `json:"seq"`
	Task Task   `json:"task"`
}

// AcquireRequest acquires the worker's lease for TTLMS milliseconds. Force takes it from a
// live holder: the token increases, so that calls of that holder are refused.
type AcquireRequest struct {
	Holder model.HostID `json:"holder"`
	TTLMS  int64        `json:"ttlMS"`
	Force  bool         `json:"force"`
}

// AcquireResponse is the complete state of the worker: the new token, the sequence number
// of the last event, and every task that runs or whose final state was not acknowledged.
type AcquireResponse struct {
	Token model.FencingToken `json:"token"`
	Seq   uint64             `json:"seq"`
	Tasks []Task             `json:"tasks"`
}

// RenewRequest renews the worker's lease and the leases of confirmed tasks for TTLMS
// milliseconds and waits up to WaitMS milliseconds for an event after SinceSeq. AckSeq
// acknowledges the events up to it, so that the worker can drop their final tasks. AckSeq
// can be lower than SinceSeq because a final state is acknowledged only after it was
// recorded.
type RenewRequest struct {
	Token    model.FencingToken `json:"token"`
	TTLMS    int64              `json:"ttlMS"`
	SinceSeq uint64             `json:"sinceSeq"`
	AckSeq   uint64             `json:"ackSeq"`
	WaitMS   int64              `json:"waitMS"`
}

// RenewResponse holds the events after SinceSeq, in order.
type RenewResponse struct {
	Events []Event `json:"events,omitempty"`
}

// ReleaseRequest releases the worker's lease. Confirmed tasks keep their leases.
type ReleaseRequest struct {
	Token model.FencingToken `json:"token"`
}

// HoldRequest reserves the resources of members for one attempt of a job, for TTLMS
// milliseconds.
type HoldRequest struct {
	Token   model.FencingToken `json:"token"`
	Job     model.JobKey       `json:"job"`
	Attempt int                `json:"attempt"`
	Members []model.GangMember `json:"members"`
	TTLMS   int64              `json:"ttlMS"`
}

// StartRequest starts the members whose resources are held, with a first lease of LeaseMS
// milliseconds.
type StartRequest struct {
	Token    model.FencingToken `json:"token"`
	Job      model.JobKey       `json:"job"`
	Attempt  int                `json:"attempt"`
	GangSize int                `json:"gangSize"`
	LeaseMS  int64              `json:"leaseMS"`
	// SavedRunMS is the run time, in milliseconds, that a checkpoint of an earlier attempt
	// saved and from which the tasks continue; 0 without a checkpoint.
	SavedRunMS int64  `json:"restoreMS,omitempty"`
	Payload    []byte `json:"payload,omitempty"`
}

// ConfirmRequest marks all of an attempt's tasks on the worker as confirmed and sets their
// leases to TTLMS milliseconds.
type ConfirmRequest struct {
	Token   model.FencingToken `json:"token"`
	Job     model.JobKey       `json:"job"`
	Attempt int                `json:"attempt"`
	TTLMS   int64              `json:"ttlMS"`
}

// StopRequest stops an attempt's tasks on the worker and releases its holds. If Checkpoint
// is set, the worker first saves the progress, within at most GraceMS milliseconds. The
// call is idempotent: an unknown attempt is not an error.
type StopRequest struct {
	Token      model.FencingToken `json:"token"`
	Job        model.JobKey       `json:"job"`
	Attempt    int                `json:"attempt"`
	Checkpoint bool               `json:"checkpoint"`
	GraceMS    int64              `json:"graceMS"`
}

// StopResponse holds the run time in milliseconds that the checkpoint saved, and the
// number of the attempt's tasks that had finished before the stop and are not
// acknowledged.
type StopResponse struct {
	SavedRunMS int64 `json:"servedMS"`
	Finished   int   `json:"finished,omitempty"`
}

// CheckpointRequest saves the progress of an attempt's tasks without stopping them.
type CheckpointRequest struct {
	Token   model.FencingToken `json:"token"`
	Job     model.JobKey       `json:"job"`
	Attempt int                `json:"attempt"`
}

// ThrottleRequest limits an attempt's tasks to Percent of their CPU reservation.
type ThrottleRequest struct {
	Token   model.FencingToken `json:"token"`
	Job     model.JobKey       `json:"job"`
	Attempt int                `json:"attempt"`
	Percent int                `json:"percent"`
}

// Error is the error of a refused call.
type Error struct {
	Status int // HTTP status
	Body   ErrorBody
}

// Error implements error.
func (e *Error) Error() string { return string(e.Body.Code) + ": " + e.Body.Message }

// Worker is the API of one worker. The context limits the duration of a call. A method
// returns *Error if the worker refused the call; after any other error the call may have
// taken effect.
type Worker interface {
	Acquire(ctx context.Context, r AcquireRequest) (AcquireResponse, error)
	Renew(ctx context.Context, r RenewRequest) (RenewResponse, error)
	Release(ctx context.Context, r ReleaseRequest) error
	Hold(ctx context.Context, r HoldRequest) error
	Start(ctx context.Context, r StartRequest) error
	Confirm(ctx context.Context, r ConfirmRequest) error
	Stop(ctx context.Context, r StopRequest) (StopResponse, error)
	Checkpoint(ctx context.Context, r CheckpointRequest) (StopResponse, error)
	Throttle(ctx context.Context, r ThrottleRequest) error
}

// Dialer returns clients of workers.
type Dialer interface {
	Worker(w model.Worker) Worker
}
