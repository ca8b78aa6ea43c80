// Package workerlink is the adapter to the platform's workers. It holds the
// messages of the worker API and a client. Another platform's worker protocol
// replaces this package only.
//
// Every call is an HTTP POST with a JSON body to the worker's base URL followed by
// one of the Path constants. Calls after Acquire carry the fencing token; a worker
// answers 409 with an ErrorBody of code CodeFenced to an older one.
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

// Code is a machine-readable cause of a refused call.
type Code string

// Codes of refused calls.
const (
	CodeFenced    Code = "fenced"     // the token is older than the worker's
	CodeBusy      Code = "busy"       // the resources are held or in use
	CodeNoHold    Code = "no_hold"    // the hold lapsed or never existed
	CodeStartFail Code = "start_fail" // the worker could not start the task
	CodeLeaving   Code = "leaving"    // the worker takes no new tasks
	CodeBadInput  Code = "bad_input"
)

// ErrorBody is the JSON body of an answer with a status of 400 or above.
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
	TaskLapsed   TaskState = "lapsed"  // its lease ran out
)

// Task is a task as its worker reports it.
type Task struct {
	ID     model.TaskID     `json:"id"`
	Member model.GangMember `json:"member"`
	State  TaskState        `json:"state"`
	// GangSize is the number of tasks in the gang.
	GangSize int `json:"gangSize"`
	// Confirmed is set after Confirm; until then the first, short lease applies.
	Confirmed bool `json:"confirmed"`
	// StartedUnixMS is the start time by the worker's clock, ms since 1970.
	StartedUnixMS int64 `json:"startedUnixMS"`
	// ServedMS is the run time that the last checkpoint kept, including earlier
	// attempts, in milliseconds; 0 without a checkpoint.
	ServedMS int64 `json:"servedMS,omitempty"`
	// UsageCPUs is the lagging CPU usage; a hint only.
	UsageCPUs float64 `json:"usageCPUs,omitempty"`
	// Result is set on finished tasks.
	Result []byte `json:"result,omitempty"`
	// Detail describes a failure.
	Detail string `json:"detail,omitempty"`
}

// Event is a change of a task, numbered by the worker from 1.
type Event struct {
	Seq  uint64 `json:"seq"`
	Task Task   `json:"task"`
}

// AcquireRequest takes the worker's lease. Force takes it from a live holder; the
// token rises and fences that holder off.
type AcquireRequest struct {
	Holder model.HostID `json:"holder"`
	TTLMS  int64        `json:"ttlMS"`
	Force  bool         `json:"force"`
}

// AcquireAnswer is the worker's whole state: the new token and every task that
// runs or whose final state was not acknowledged.
type AcquireAnswer struct {
	Token model.FencingToken `json:"token"`
	Seq   uint64             `json:"seq"`
	Tasks []Task             `json:"tasks"`
}

// RenewRequest extends the worker lease and the leases of confirmed tasks by
// TTLMS and waits up to WaitMS for an event after SinceSeq. AckSeq acknowledges
// events up to it: the worker then forgets the final tasks among them. The two
// differ because a final state is acknowledged only after it was recorded.
type RenewRequest struct {
	Token    model.FencingToken `json:"token"`
	TTLMS    int64              `json:"ttlMS"`
	SinceSeq uint64             `json:"sinceSeq"`
	AckSeq   uint64             `json:"ackSeq"`
	WaitMS   int64              `json:"waitMS"`
}

// RenewAnswer holds the events after SinceSeq in order.
type RenewAnswer struct {
	Events []Event `json:"events,omitempty"`
}

// ReleaseRequest gives the lease up; confirmed tasks keep their leases.
type ReleaseRequest struct {
	Token model.FencingToken `json:"token"`
}

// HoldRequest reserves members' resources for one attempt for TTLMS.
type HoldRequest struct {
	Token   model.FencingToken `json:"token"`
	Job     model.JobKey       `json:"job"`
	Attempt int                `json:"attempt"`
	Members []model.GangMember `json:"members"`
	TTLMS   int64              `json:"ttlMS"`
}

// StartRequest starts the members that were held, under a first lease of LeaseMS.
type StartRequest struct {
	Token    model.FencingToken `json:"token"`
	Job      model.JobKey       `json:"job"`
	Attempt  int                `json:"attempt"`
	GangSize int                `json:"gangSize"`
	LeaseMS  int64              `json:"leaseMS"`
	// RestoreMS is run time kept by a checkpoint of an earlier attempt.
	RestoreMS int64  `json:"restoreMS,omitempty"`
	Payload   []byte `json:"payload,omitempty"`
}

// ConfirmRequest marks all of an attempt's tasks on the worker as confirmed and
// sets their leases to TTLMS.
type ConfirmRequest struct {
	Token   model.FencingToken `json:"token"`
	Job     model.JobKey       `json:"job"`
	Attempt int                `json:"attempt"`
	TTLMS   int64              `json:"ttlMS"`
}

// StopRequest stops an attempt's tasks on the worker and drops its holds. With
// Checkpoint set the worker first saves progress, for at most GraceMS. It is
// idempotent: an unknown attempt is not an error.
type StopRequest struct {
	Token      model.FencingToken `json:"token"`
	Job        model.JobKey       `json:"job"`
	Attempt    int                `json:"attempt"`
	Checkpoint bool               `json:"checkpoint"`
	GraceMS    int64              `json:"graceMS"`
}

// StopAnswer reports the run time that the checkpoint kept, in milliseconds, and
// how many of the attempt's tasks had finished before the stop and are not
// acknowledged.
type StopAnswer struct {
	ServedMS int64 `json:"servedMS"`
	Finished int   `json:"finished,omitempty"`
}

// CheckpointRequest saves the progress of an attempt's tasks and lets them run on.
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

// Error is a refused call.
type Error struct {
	Status int // HTTP status
	Body   ErrorBody
}

// Error implements error.
func (e *Error) Error() string { return string(e.Body.Code) + ": " + e.Body.Message }

// Worker is one worker. Every method is bounded by its context. A method returns
// *Error when the worker refused the call; any other error leaves open whether
// the call took effect.
type Worker interface {
	Acquire(ctx context.Context, r AcquireRequest) (AcquireAnswer, error)
	Renew(ctx context.Context, r RenewRequest) (RenewAnswer, error)
	Release(ctx context.Context, r ReleaseRequest) error
	Hold(ctx context.Context, r HoldRequest) error
	Start(ctx context.Context, r StartRequest) error
	Confirm(ctx context.Context, r ConfirmRequest) error
	Stop(ctx context.Context, r StopRequest) (StopAnswer, error)
	Checkpoint(ctx context.Context, r CheckpointRequest) (StopAnswer, error)
	Throttle(ctx context.Context, r ThrottleRequest) error
}

// Dialer returns the client of one worker.
type Dialer interface {
	Worker(w model.Worker) Worker
}
