package cli

import (
	"context"
	"errors"
	"time"

	"github.com/daisyfold/daisyfold/internal/api"
	"github.com/daisyfold/daisyfold/internal/apierror"
	"github.com/daisyfold/daisyfold/internal/model"
)

const (
	// waitSeconds is the length of one wait at a daemon.
	waitSeconds = 20
	// waitTries is how many waits in a row may fail. Waiting changes nothing, so it
	// goes on at another daemon when one dies; with waitPause the tries last longer
	// than the 5 s in which a failed daemon's work is taken over.
	waitTries = 15
	// waitPause separates waits after a failure or an early answer.
	waitPause = 500 * time.Millisecond
)

type waitCommand struct {
	env *env
	For time.Duration `long:"for" value-name:"DURATION" description:"Longest time to wait; without it there is no limit"`
	jobOptions
}

// Execute implements flags.Commander.
func (c *waitCommand) Execute([]string) error {
	ctx, cancel := c.context()
	defer cancel()
	client, err := c.env.client()
	if err != nil {
		return err
	}
	p := c.env.progress("waiting for job " + c.Args.ID)
	job, err := c.wait(ctx, client, p)
	p.stop()
	if err != nil {
		return withID(err, c.Args.ID)
	}
	if err := c.env.printJob(job); err != nil {
		return err
	}
	return jobExit(job)
}

func (c *waitCommand) context() (context.Context, context.CancelFunc) {
	if c.For <= 0 {
		return context.WithCancel(context.Background())
	}
	return context.WithTimeout(context.Background(), c.For)
}

// wait asks until the job is final or ctx ends.
func (c *waitCommand) wait(ctx context.Context, client *api.Client, p *progress) (*api.Job, error) {
	failures := 0
	var last *api.Job
	cause := context.DeadlineExceeded
	for ctx.Err() == nil && failures < waitTries {
		job, err := c.ask(ctx, client)
		switch {
		case err != nil && ctx.Err() != nil:
			cause = errors.Join(cause, err)
		case err != nil && !worthRepeating(err):
			return nil, err
		case err != nil:
			failures++
			cause = err
		case model.JobState(job.State).Final():
			return job, nil
		default:
			failures = 0
			last = job
			p.set("job %s is %s, attempt %d", job.ID, job.State, job.Attempt)
		}
		pause(ctx, waitPause)
	}
	if last != nil && ctx.Err() != nil {
		return last, nil
	}
	return nil, stateUnknown(cause)
}

func (c *waitCommand) ask(ctx context.Context, client *api.Client) (*api.Job, error) {
	seconds := waitSeconds
	if deadline, ok := ctx.Deadline(); ok {
		seconds = min(seconds, int(time.Until(deadline).Seconds()))
	}
	askCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return client.WaitJob(askCtx, api.WaitJobParams{
		ID:           c.Args.ID,
		Organisation: c.organisation(),
		Seconds:      api.NewOptInt(max(0, seconds)),
	})
}

// worthRepeating reports whether another daemon may answer what this one did not.
func worthRepeating(err error) bool {
	var answer *api.ErrorStatusCode
	return !errors.As(err, &answer) || answer.StatusCode >= 500
}

// stateUnknown returns the failure for a job that no daemon reported on. Whether the
// wait itself ran does not matter to the caller.
func stateUnknown(err error) error {
	cause := asFailure(err)
	return newFailure(exitUnknown, model.OutcomeUnknown, apierror.Code(cause.Code), "the state of the job is unknown: "+cause.Message)
}

func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// jobExit returns the failure that the state of a job stands for, or nil.
func jobExit(job *api.Job) error {
	switch state := model.JobState(job.State); {
	case state == model.JobFinished:
		return nil
	case state.Final():
		return &failure{exit: exitFailed, quiet: true}
	default:
		return newFailure(exitUnknown, model.OutcomeUnknown, apierror.CodeDeadlineExceeded, "the job is not final yet")
	}
}
