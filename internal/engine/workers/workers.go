// Package workers describes the orders that the scheduler gives to workers and what they
// report. The adapter to the platform implements Client.
package workers

import (
	"context"
	"time"

	"github.com/gravitational/trace"

	"github.com/daisyfold/daisyfold/internal/engine/work"
)

// Ref is how a worker is called.
type Ref struct {
	ID      string
	Address string
}

// Entry is a worker's report about itself in the platform's list.
type Entry struct {
	ID       string
	BornMS   int64 // Unix milliseconds of its start; tells lives of one id apart
	Service  string
	Address  string
	Zone     string
	Draining bool
	// RemainingMS is the least time left, while it drains.
	RemainingMS int64
	Capacity    work.Resources
	Rack        string
	Labels      []string // its kind and its rack
	ClockMS     int64    // on its own clock, when it wrote the report
}

// Key identifies this life of the worker.
func (e *Entry) Key() string { return work.WorkerKey(e.ID, e.BornMS) }

// Outcome is a worker's answer to an order.
type Outcome int

// Outcomes. All but Accepted mean that the order was not carried out and will not be.
const (
	Accepted Outcome = iota
	// Fenced means that the worker has seen a higher fencing token.
	Fenced
	// RunTooOld means that a run with this number or a higher one ended there.
	RunTooOld
	// LeaseOver means that the lease would end in the past on the worker's clock.
	LeaseOver
	// NoRoom means that the task does not fit.
	NoRoom
	// NoTicket means that the advice service's ticket is missing or has expired.
	NoTicket
	// OtherLife means that another life of the worker answers at the address.
	OtherLife
	// Unhealthy workers turn orders away.
	Unhealthy
	// Malformed orders were not understood.
	Malformed
	// NotSent orders did not reach the worker, because there was no connection.
	NotSent
)

var outcomeNames = [...]string{"accepted", "fenced", "run_too_old", "lease_over", "no_room", "no_ticket", "other_life", "unhealthy", "malformed", "not_sent"}

// String is for logs.
func (o Outcome) String() string { return outcomeNames[o] }

// Answer to a start or stop. ClockMS is 0 when the answer did not carry the clock.
type Answer struct {
	Outcome Outcome
	ClockMS int64
}

// StartOrder starts one run.
type StartOrder struct {
	Run          work.RunName
	Spec         string
	Checkpoint   string
	LeaseUntilMS int64 // on the worker's clock
	Fence        int64
	// Ticket is the advice service's, for jobs that need one.
	Ticket string
}

// LookOrder extends the lease of everything on the worker and asks what runs there.
type LookOrder struct {
	LeaseUntilMS int64 // on the worker's clock; 0 extends nothing
	Fence        int64
	// EndsRecorded is the number up to which the ends of runs are in the store; the
	// worker forgets them.
	EndsRecorded int64
	// Wait is how long the worker may hold the answer back until a run ends.
	Wait time.Duration
}

// Running is a run that a worker has.
type Running struct {
	Run        work.RunName
	Checkpoint string
	Percent    float64 // of its work
}

// Ending is how a run ended.
type Ending int

// Endings.
const (
	EndedDone Ending = iota
	// EndedFailed is a fault of the task or of the worker.
	EndedFailed
	EndedStopped
	// EndedLapsed runs lost their lease.
	EndedLapsed
	// EndedBroken gang members ended because another one did.
	EndedBroken
	// EndedAlone gang members waited too long for the others.
	EndedAlone
)

var endingNames = [...]string{"done", "failed", "stopped", "lapsed", "broken", "alone"}

// String is for logs.
func (e Ending) String() string { return endingNames[e] }

// Ended is the end of a run. Number counts the ends of one life of the worker from 1.
type Ended struct {
	Number     int64
	Run        work.RunName
	How        Ending
	Checkpoint string
}

// Report is the answer to a look.
type Report struct {
	BornMS  int64
	ClockMS int64
	Running []Running
	Ended   []Ended
}

// Errors of a look. Any other error means that the worker did not answer.
var (
	ErrFenced    = &trace.CompareFailedError{Message: "the worker has seen a higher fencing token"}
	ErrOtherLife = &trace.NotFoundError{Message: "another life of the worker answers at the address"}
)

// Advice names the workers, of those asked about, that may run a step.
type Advice struct {
	Tickets map[string]string // by worker id
	Valid   time.Duration     // of the tickets
}

// Advisor asks the platform's advice service which workers may run a step. An error means
// that there is no answer; asking again is harmless.
type Advisor interface {
	Advise(ctx context.Context, step string, workers []string) (Advice, error)
}

// Client calls workers. An error of Start or Stop means that the order may have been
// carried out, or may be later.
type Client interface {
	Start(ctx context.Context, w Ref, order StartOrder) (Answer, error)
	Stop(ctx context.Context, w Ref, run work.RunName, fence int64) (Answer, error)
	Look(ctx context.Context, w Ref, order LookOrder) (Report, error)
}
