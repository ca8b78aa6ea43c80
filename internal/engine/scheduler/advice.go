package scheduler

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/gravitational/trace"
	"go.uber.org/zap"

	"github.com/daisyfold/daisyfold/internal/engine/plan"
	"github.com/daisyfold/daisyfold/internal/engine/work"
	"github.com/daisyfold/daisyfold/internal/engine/workers"
)

// minAdviceWorkers and maxAdviceWorkers bound the number of workers that one call asks
// about. The platform accepts at most 100.
const minAdviceWorkers, maxAdviceWorkers = 30, 100

const (
	// adviceTimeout limits the duration of a call, which increases with the number of
	// workers.
	adviceTimeout = 2 * time.Second
	// adviceRetryDelay is the delay of all calls after one that failed.
	adviceRetryDelay = 300 * time.Millisecond
	// ticketMargin is the part of a ticket's validity that is kept for recording and
	// sending the start.
	ticketMargin = 300 * time.Millisecond
)

// advice is what the advice service has answered for one step.
type advice struct {
	// asked holds the ids of the workers that it was asked about; its answer for a worker
	// never changes.
	asked map[string]bool
	// tickets holds the tickets of the workers that may run the step, by worker id.
	tickets map[string]ticket
	// calls postpones calls for the step after failed ones.
	calls retry
}

// ticket permits tasks of a step to start on one incarnation of a worker.
type ticket struct {
	text      string
	workerKey string
	expiresAt time.Duration
}

// valid reports whether the ticket permits starts on the worker at the given time.
func (tk ticket) valid(w *worker, at time.Duration) bool {
	return tk.workerKey == w.key && at < tk.expiresAt
}

// adviceFor returns the advice for a step, given its number over all occurrences.
func (j *job) adviceFor(step int) *advice {
	a := j.advice[step]
	if a == nil {
		a = &advice{asked: map[string]bool{}, tickets: map[string]ticket{}}
		j.advice[step] = a
	}
	return a
}

// workersWithTicket returns the keys of the workers for which the step has a ticket that
// is valid long enough.
func (t *term) workersWithTicket(j *job, step int, now time.Duration) map[string]bool {
	allowed := map[string]bool{}
	for id, tk := range j.adviceFor(step).tickets {
		if w := t.workers[t.latestKeys[id]]; w != nil && tk.valid(w, now+ticketMargin) {
			allowed[w.key] = true
		}
	}
	return allowed
}

// workersNotDenied returns the keys of the workers that the step is or may yet be allowed
// on: all but those that were asked about without getting a ticket.
func (t *term) workersNotDenied(s *plan.Snapshot, q readyStep) map[string]bool {
	known := q.job.adviceFor(q.step)
	allowed := map[string]bool{}
	for _, n := range s.Nodes {
		id := t.workers[n.Key].entry.ID
		if _, hasTicket := known.tickets[id]; hasTicket || !known.asked[id] {
			allowed[n.Key] = true
		}
	}
	return allowed
}

// ticketFor returns the ticket for the start of a run; ok reports whether the ticket is
// valid.
func (t *term) ticketFor(r *run, now time.Duration) (text string, ok bool) {
	tk := r.job.adviceFor(r.job.StepNumber(r.name.Task)).tickets[r.worker.entry.ID]
	return tk.text, tk.valid(r.worker, now)
}

// requestAdvice asks about more workers for a waiting step. Only one call is in flight at
// a time, because the service processes the calls of a host one after the other.
func (t *term) requestAdvice(s *plan.Snapshot, q readyStep, now time.Duration) {
	if t.adviceInFlight || now < t.nextAdviceAt || t.Advisor == nil || now < q.job.adviceFor(q.step).calls.at {
		return
	}
	ids := t.adviceCandidates(s, q, now)
	if len(ids) == 0 {
		return
	}
	t.adviceInFlight = true
	j, step, name := q.job, q.step, work.StepName(q.job.TaskName(q.step, 0))
	t.spawn(func() {
		ctx, cancel := context.WithTimeout(t.ctx, adviceTimeout)
		defer cancel()
		answer, err := t.Advisor.Advise(ctx, name, ids)
		t.post(func(t *term) { t.handleAdvice(j, step, ids, now, answer, err) })
	})
}

// adviceCandidates returns the ids of workers without a valid ticket that may get one:
// those that were not asked about, and those whose ticket has expired. Workers with the
// most free resources come first.
func (t *term) adviceCandidates(s *plan.Snapshot, q readyStep, now time.Duration) []string {
	known := q.job.adviceFor(q.step)
	nodes := slices.Clone(s.Nodes)
	slices.SortStableFunc(nodes, func(a, b *plan.Node) int {
		return cmp.Or(cmp.Compare(b.Free.Accelerators, a.Free.Accelerators), cmp.Compare(b.Free.CPU, a.Free.CPU))
	})
	limit := min(max(minAdviceWorkers, 2*len(q.tasks)), maxAdviceWorkers)
	var ids []string
	for _, n := range nodes {
		w := t.workers[n.Key]
		tk, hasTicket := known.tickets[w.entry.ID]
		if (hasTicket && !tk.valid(w, now+ticketMargin)) || !known.asked[w.entry.ID] {
			ids = append(ids, w.entry.ID)
		}
		if len(ids) == limit {
			break
		}
	}
	return ids
}

// handleAdvice processes the answer to a call that was sent at the given time.
func (t *term) handleAdvice(j *job, step int, ids []string, sent time.Duration, answer workers.Advice, err error) {
	t.adviceInFlight = false
	known := j.adviceFor(step)
	if err == nil && len(answer.Tickets) > 0 && answer.ValidFor <= ticketMargin {
		err = trace.Errorf("the tickets are valid for %v, which is too short to use them", answer.ValidFor)
	}
	if err != nil {
		now := t.Now()
		known.calls.fail(now)
		t.nextAdviceAt = now + adviceRetryDelay
		t.log.Warn("no advice for a step", zap.String("job", j.ID), zap.Int("step", step), zap.Int("failures", known.calls.failures), zap.Error(err))
		t.nextPlanAt = min(t.nextPlanAt, t.nextAdviceAt)
		return
	}
	known.calls = retry{}
	for _, id := range ids {
		known.asked[id] = true
	}
	for id, text := range answer.Tickets {
		known.tickets[id] = ticket{text: text, workerKey: t.latestKeys[id], expiresAt: sent + answer.ValidFor}
	}
	t.log.Info("advice", zap.String("job", j.ID), zap.Int("step", step), zap.Int("asked", len(ids)),
		zap.Int("good", len(answer.Tickets)), zap.Duration("valid", answer.ValidFor), zap.Duration("took", t.Now()-sent))
	t.needsPlanning = true
}
