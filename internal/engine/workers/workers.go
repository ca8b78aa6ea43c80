// Package workers defines the orders that the scheduler sends to workers and the reports
// that they return. Package platform implements the interfaces.
package workers

import (
	"context"
	"time"

	"github.com/gravitational/trace"

	"github.com/daisyfold/daisyfold/internal/engine/work"
)

// Ref identifies a worker and the address for calls to it.
type Ref struct {
	ID      string
	Address string
}

// Entry is a worker's own entry in the platform's list of workers.
type Entry struct {
	ID       string
	StartMS  int64 `json:"BornMS"` // start time in Unix milliseconds; distinguishes incarnations with one id
	Service  string
	Address  string
	Zone     string
	Draining bool
	// RemainingMS is the minimum time in milliseconds until a draining worker leaves.
	RemainingMS int64
	Capacity    work.Resources
	Rack        string
	Labels      []string // the worker's kind and rack
	ClockMS     int64    // worker's clock in milliseconds when it wrote the entry
}

// Key returns the key of this incarnation of the worker.
func (e *Entry) Key() string { return work.WorkerKey(e.ID, e.StartMS) }

// Outcome is a worker's response to a start or stop order.
type Outcome int

// Outcomes of an order. All except Accepted mean that the order was not executed and
// will not be.
const (
	Accepted Outcome = iota
	// Fenced means that the worker has seen a higher fencing token.
	Fenced
	// RunTooOld means that a run of the task with this or a higher number has ended on
	// the worker.
	RunTooOld
	// LeaseExpired means that the lease would end in the past on the worker's clock.
	LeaseExpired
	// NoRoom means that the worker lacks the free resources for the task.
	NoRoom
	// NoTicket means that the advice service's ticket is missing or has expired.
	NoTicket
	// OtherIncarnation means that another incarnation of the worker responds at the
	// address.
	OtherIncarnation
	// Unhealthy means that the worker is unhealthy and rejects orders.
	Unhealthy
	// Malformed means that the worker could not decode the order.
	Malformed
	// NotSent means that the order did not reach the worker, because no connection was
	// made.
	NotSent
)

var outcomeNames = [...]string{"accepted", "fenced", "run_too_old", "lease_over", "no_room", "no_ticket", "other_life", "unhealthy", "malformed", "not_sent"}

// String returns the outcome's name for logs and metrics.
func (o Outcome) String() string { return outcomeNames[o] }

// Answer is the response to a start or stop order.
type Answer struct {
	Outcome Outcome
	// ClockMS is the worker's clock in milliseconds, or 0 if the response had none.
	ClockMS int64
}

// StartOrder starts a run.
type StartOrder struct {
	Run          work.RunName
	Spec         string
	Checkpoint   string
	LeaseUntilMS int64 // end of the lease in milliseconds on the worker's clock
	Fence        int64
	// Ticket is the advice service's ticket, for jobs that need one.
	Ticket string
}

// PollRequest renews the lease of all runs on a worker and asks for a report.
type PollRequest struct {
	LeaseUntilMS int64 // end of the lease in milliseconds on the worker's clock; 0 renews nothing
	Fence        int64
	// AckedThrough is the highest EndedRun.Number that is recorded in the store. The
	// worker deletes the endings up to it.
	AckedThrough int64
	// MaxWait is how long the worker may delay the response until a run ends.
	MaxWait time.Duration
}

// RunProgress is the progress of a run that has not ended.
type RunProgress struct {
	Run        work.RunName
	Checkpoint string
	Percent    float64 // completed part of the work, 0 to 100
}

// Ending is how a run ended.
type Ending int

// Endings of a run.
const (
	EndedDone Ending = iota
	// EndedFailed means that the task or the worker failed.
	EndedFailed
	EndedStopped
	// EndedLapsed means that the lease expired.
	EndedLapsed
	// EndedGangBroken means that another member of the gang ended.
	EndedGangBroken
	// EndedGangIncomplete means that the run waited too long for the other members of
	// its gang.
	EndedGangIncomplete
	// EndedWorkerCrashed and EndedWorkerLeft mean that the run ended with its worker, which
	// crashed or left as announced. No worker reports these endings.
	EndedWorkerCrashed
	EndedWorkerLeft
)

var endingNames = [...]string{"done", "failed", "stopped", "lapsed", "broken", "alone", "worker_crashed", "worker_left"}

// String returns the ending's name for logs and metrics.
func (e Ending) String() string { return endingNames[e] }

// EndedRun is the end of a run.
type EndedRun struct {
	// Number counts the endings of one incarnation of the worker from 1.
	Number     int64
	Run        work.RunName
	Ending     Ending
	Checkpoint string
}

// Report is the response to a poll.
type Report struct {
	StartMS int64 // start time of the worker in Unix milliseconds
	ClockMS int64 // worker's clock in milliseconds
	Running []RunProgress
	// Ended lists the ends that are not acknowledged, the oldest first, as many as fit.
	Ended []EndedRun
	// Complete reports whether Ended lists all of them. A run that an incomplete report does
	// not contain may have ended.
	Complete bool
}

// Errors of Client.Poll. Any other error means that the worker did not respond.
var (
	ErrFenced           = &trace.CompareFailedError{Message: "the worker has seen a higher fencing token"}
	ErrOtherIncarnation = &trace.NotFoundError{Message: "another incarnation of the worker responds at the address"}
)

// Advice lists the workers that may run a step, with their tickets.
type Advice struct {
	Tickets  map[string]string // by worker id
	ValidFor time.Duration     // time until the tickets expire
}

// Advisor is a client of the platform's advice service.
type Advisor interface {
	// Advise returns which of the workers may run the step. After an error the call may
	// be repeated; it has no side effects.
	Advise(ctx context.Context, step string, workers []string) (Advice, error)
}

// Client sends orders and polls to workers. An error of Start, Stop or Pace leaves open
// whether the order was executed; it may also be executed later.
type Client interface {
	Start(ctx context.Context, w Ref, order StartOrder) (Answer, error)
	Stop(ctx context.Context, w Ref, run work.RunName, fence int64) (Answer, error)
	// Pace limits a best-effort run to a share of its speed, in percent. A run starts with 100.
	Pace(ctx context.Context, w Ref, run work.RunName, percent int, fence int64) (Answer, error)
	Poll(ctx context.Context, w Ref, request PollRequest) (Report, error)
}
