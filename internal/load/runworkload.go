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

// recorder records the outcomes that callers and operators were told. It is safe for
// concurrent use.
type recorder struct {
	mu      sync.Mutex
	history judge.History
	// errorCounts counts the operations that were not answered or accepted, by error text.
	errorCounts map[string]int
}

func newRecorder() *recorder { return &recorder{errorCounts: map[string]int{}} }

func (r *recorder) addJob(job judge.Job) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.history.Jobs = append(r.history.Jobs, job)
}

func (r *recorder) addRequest(request judge.Request) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.history.Requests = append(r.history.Requests, request)
}

func (r *recorder) addZoneChange(change judge.ZoneChange) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.history.ZoneChanges = append(r.history.ZoneChanges, change)
}

// countError counts the error text of an operation unless it was answered or accepted.
func (r *recorder) countError(operation string, reply judge.Reply, errText string) {
	if reply == judge.ReplyAnswered || reply == judge.ReplyAccepted {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.errorCounts[fmt.Sprintf("%s %s: %.160s", operation, reply, errText)]++
}

// writeErrorCounts prints the counts by error text, which the judge does not use.
func (r *recorder) writeErrorCounts(w io.Writer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for errText, n := range r.errorCounts {
		_, _ = fmt.Fprintf(w, "%5d x %s\n", n, errText)
	}
}

// snapshot returns the history. It must be called after all callers have finished.
func (r *recorder) snapshot() judge.History {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.history
}

// runWorkload runs a workload and records the outcomes. It returns when all jobs and requests
// have an outcome or the context ends.
func runWorkload(ctx context.Context, caller *apiCaller, w *Workload, r *recorder) {
	begin := time.Now()
	var wg sync.WaitGroup
	for _, job := range w.jobs {
		wg.Go(func() {
			sleepContext(ctx, time.Until(begin.Add(job.startAfter)))
			r.addJob(caller.runJob(ctx, job, r))
		})
	}
	for _, request := range w.requests {
		wg.Go(func() {
			sleepContext(ctx, time.Until(begin.Add(request.startAfter)))
			record, errText := caller.sendRequest(ctx, request)
			r.addRequest(record)
			r.countError("request", record.Reply, errText)
		})
	}
	wg.Wait()
}

// runJob submits a job, cancels it if the plan says so, and waits for its final state.
func (c *apiCaller) runJob(ctx context.Context, job plannedJob, r *recorder) judge.Job {
	record := judge.Job{
		Key:      model.JobKey{Organisation: job.organisation, ID: model.JobID(job.request.ID.Value)},
		Tasks:    job.request.Tasks,
		Expected: job.expected,
	}
	var errText string
	record.Reply, errText = c.submitJob(ctx, job)
	if job.expected != judge.ExpectReject {
		r.countError("job", record.Reply, errText)
	}
	if record.Reply != judge.ReplyAccepted {
		return record
	}
	if job.expected == judge.ExpectCancel {
		sleepContext(ctx, job.cancelAfter)
		record.CancelAccepted = c.cancelJob(ctx, record.Key)
		record.CancelledUnixMS = time.Now().UnixMilli()
	}
	record.State = c.waitForJob(ctx, record.Key)
	return record
}
