package load

import (
	"context"
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/daisyfold/daisyfold/internal/judge"
	"github.com/daisyfold/daisyfold/internal/model"
)

// recorder collects what callers and operators were told. It is safe for
// concurrent use.
type recorder struct {
	mu      sync.Mutex
	history judge.History
	// causes counts the refusals and uncertain outcomes by their cause.
	causes map[string]int
}

func newRecorder() *recorder { return &recorder{causes: map[string]int{}} }

func (r *recorder) addJob(j judge.Job) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.history.Jobs = append(r.history.Jobs, j)
}

func (r *recorder) addRequest(q judge.Request) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.history.Requests = append(r.history.Requests, q)
}

func (r *recorder) addZone(z judge.ZoneChange) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.history.Zones = append(r.history.Zones, z)
}

// addCause counts why something was not answered or accepted.
func (r *recorder) addCause(what string, reply judge.Reply, cause string) {
	if reply == judge.ReplyAnswered || reply == judge.ReplyAccepted {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.causes[fmt.Sprintf("%s %s: %.160s", what, reply, cause)]++
}

// writeCauses prints the causes, which are not part of the judgement.
func (r *recorder) writeCauses(w io.Writer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for cause, n := range r.causes {
		_, _ = fmt.Fprintf(w, "%5d x %s\n", n, cause)
	}
}

// snapshot returns the history. It is called when all callers are done.
func (r *recorder) snapshot() judge.History {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.history
}

// drive plays a workload and waits until all jobs and requests are settled or the
// context ends. Everything goes into the recorder.
func drive(ctx context.Context, c *callers, w *Workload, r *recorder) {
	begin := time.Now()
	var all sync.WaitGroup
	for _, job := range w.jobs {
		all.Go(func() {
			pause(ctx, time.Until(begin.Add(job.at)))
			r.addJob(c.runJob(ctx, job, r))
		})
	}
	for _, request := range w.requests {
		all.Go(func() {
			pause(ctx, time.Until(begin.Add(request.at)))
			record, cause := c.send(ctx, request)
			r.addRequest(record)
			r.addCause("request", record.Reply, cause)
		})
	}
	all.Wait()
}

// runJob submits a job, cancels it if its caller does so, and waits for its end.
func (c *callers) runJob(ctx context.Context, job plannedJob, r *recorder) judge.Job {
	record := judge.Job{
		Key:      model.JobKey{Organisation: job.organisation, ID: model.JobID(job.request.ID.Value)},
		Tasks:    job.request.Tasks,
		Expected: job.fate,
	}
	var cause string
	record.Reply, cause = c.submit(ctx, job)
	if job.fate != judge.FateRefuse {
		r.addCause("job", record.Reply, cause)
	}
	if record.Reply != judge.ReplyAccepted {
		return record
	}
	if job.fate == judge.FateCancel {
		pause(ctx, job.cancelAfter)
		record.CancelAccepted = c.cancel(ctx, record.Key)
		record.CancelMS = time.Now().UnixMilli()
	}
	record.State = c.wait(ctx, record.Key)
	return record
}
