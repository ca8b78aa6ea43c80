package cli

import (
	"context"
	"errors"
	"time"

	"github.com/daisyfold/daisyfold/internal/api"
	"github.com/daisyfold/daisyfold/internal/apierror"
	"github.com/daisyfold/daisyfold/internal/model"
)

// longPollSeconds is the maximum duration of one wait call to a daemon.
const longPollSeconds = 20

// maxWaitFailures is the number of consecutive failed calls that ends the command. Waiting has
// no side effects, so it continues at another daemon if one fails. With waitRetryDelay, the
// retries last longer than the 5 s within which the work of a failed daemon is taken over.
const maxWaitFailures = 15

// waitRetryDelay is the delay between two wait calls. It limits the rate of calls after
// failures and early responses.
const waitRetryDelay = 500 * time.Millisecond

type waitCommand struct {
	env     *env
	MaxWait time.Duration `long:"for" value-name:"DURATION" description:"Maximum time to wait; unlimited by default"`
	jobOptions
}

// Execute implements flags.Commander.
func (c *waitCommand) Execute([]string) error {
	ctx, cancel := c.context()
	defer cancel()
	client, err := c.env.newAPIClient()
	if err != nil {
		return err
	}
	p := c.env.progress("waiting for job " + c.Args.ID)
	job, err := c.wait(ctx, client, p)
	p.stop()
	if err != nil {
		return withRequestID(err, c.Args.ID)
	}
	if err := c.env.printJob(job); err != nil {
		return err
	}
	return jobStateError(job)
}

func (c *waitCommand) context() (context.Context, context.CancelFunc) {
	if c.MaxWait <= 0 {
		return context.WithCancel(context.Background())
	}
	return context.WithTimeout(context.Background(), c.MaxWait)
}

// wait calls the daemons until the job is in a final state or ctx ends. If ctx ends, it
// returns the last known state of the job, if there is one.
func (c *waitCommand) wait(ctx context.Context, client *api.Client, p *progress) (*api.Job, error) {
	failures := 0
	var last *api.Job
	cause := context.DeadlineExceeded
	for ctx.Err() == nil && failures < maxWaitFailures {
		job, err := c.waitOnce(ctx, client)
		switch {
		case err != nil && ctx.Err() != nil:
			cause = errors.Join(cause, err)
		case err != nil && !isRetryable(err):
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
		sleepContext(ctx, waitRetryDelay)
	}
	if last != nil && ctx.Err() != nil {
		return last, nil
	}
	return nil, unknownStateError(cause)
}

// waitOnce makes one wait call, which returns when the job ends or after longPollSeconds.
func (c *waitCommand) waitOnce(ctx context.Context, client *api.Client) (*api.Job, error) {
	seconds := longPollSeconds
	if deadline, ok := ctx.Deadline(); ok {
		seconds = min(seconds, int(time.Until(deadline).Seconds()))
	}
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return client.WaitJob(callCtx, api.WaitJobParams{
		ID:           c.Args.ID,
		Organisation: c.organisation(),
		Seconds:      api.NewOptInt(max(0, seconds)),
	})
}

// isRetryable reports whether another call may succeed after err: err is not a response of
// a daemon, or is a response with a 5xx status.
func isRetryable(err error) bool {
	var apiErr *api.ErrorStatusCode
	return !errors.As(err, &apiErr) || apiErr.StatusCode >= 500
}

// unknownStateError returns the error for a job whose state no daemon reported. The outcome
// is unknown whatever the outcome of the failed wait call was.
func unknownStateError(err error) error {
	cause := toCommandError(err)
	return newCommandError(exitUnknown, model.OutcomeUnknown, apierror.Code(cause.Code), "the state of the job is unknown: "+cause.Message)
}

// sleepContext waits for d or until ctx is done.
func sleepContext(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// jobStateError returns the error for the state of a job, or nil if the job finished
// successfully.
func jobStateError(job *api.Job) error {
	switch state := model.JobState(job.State); {
	case state == model.JobFinished:
		return nil
	case state.Final():
		return &commandError{exitCode: exitFailed, printed: true}
	default:
		return newCommandError(exitUnknown, model.OutcomeUnknown, apierror.CodeDeadlineExceeded, "the job is not final yet")
	}
}
