package scheduler

import (
	"cmp"
	"context"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/daisyfold/daisyfold/internal/engine/plan"
	"github.com/daisyfold/daisyfold/internal/engine/work"
	"github.com/daisyfold/daisyfold/internal/engine/workers"
)

const (
	// adviceWorkers is how many workers one call asks about, at the least; the platform
	// takes 100 at most.
	adviceWorkers, adviceWorkersMost = 30, 100
	// adviceTimeout bounds a call, which takes longer the more workers it names.
	adviceTimeout = 2 * time.Second
	// adviceRetry is the wait after a call that was not answered.
	adviceRetry = 300 * time.Millisecond
	// ticketMargin is kept of a ticket's time for the record and the start.
	ticketMargin = 300 * time.Millisecond
)

// advice is what the advice service has said of one step.
type advice struct {
	// asked are the ids of workers that were asked about; the answer never changes.
	asked map[string]bool
	// tickets are those of the workers that may run the step, by id.
	tickets map[string]ticket
}

// ticket lets a step's tasks start on one life of a worker.
type ticket struct {
	text  string
	life  string // the worker's key
	until time.Duration
}

// valid tells whether the ticket still works for the worker at a time.
func (k ticket) valid(w *worker, at time.Duration) bool { return k.life == w.key && at < k.until }

// advise returns what is known of a step, by its number over all occurrences.
func (j *job) advise(step int) *advice {
	a := j.advice[step]
	if a == nil {
		a = &advice{asked: map[string]bool{}, tickets: map[string]ticket{}}
		j.advice[step] = a
	}
	return a
}

// ticketed are the workers that the step may run on now.
func (t *term) ticketed(j *job, step int, now time.Duration) map[string]bool {
	allowed := map[string]bool{}
	for id, k := range j.advise(step).tickets {
		if w := t.workers[t.current[id]]; w != nil && k.valid(w, now+ticketMargin) {
			allowed[w.key] = true
		}
	}
	return allowed
}

// adviceMayAllow are the workers that the step may turn out to be allowed on: all but
// those that were asked about and got no ticket.
func (t *term) adviceMayAllow(s *plan.Snapshot, q ready) map[string]bool {
	known := q.job.advise(q.step)
	allowed := map[string]bool{}
	for _, n := range s.Nodes {
		id := t.workers[n.Key].entry.ID
		if _, good := known.tickets[id]; good || !known.asked[id] {
			allowed[n.Key] = true
		}
	}
	return allowed
}

// ticketFor is the ticket that a run's start carries; ok is false if there is none.
func (t *term) ticketFor(r *run, now time.Duration) (text string, ok bool) {
	k := r.job.advise(r.job.StepOf(r.name.Task)).tickets[r.worker.entry.ID]
	return k.text, k.valid(r.worker, now)
}

// askAdvice asks about more workers for a step that waits. One call at a time is on its
// way, because the service answers each host's calls in turn.
func (t *term) askAdvice(s *plan.Snapshot, q ready, now time.Duration) {
	if t.advising || now < t.adviceAt || t.Advisor == nil {
		return
	}
	ids := t.adviceCandidates(s, q, now)
	if len(ids) == 0 {
		return
	}
	t.advising = true
	j, step, name := q.job, q.step, work.StepName(q.job.Name(q.step, 0))
	go func() {
		ctx, cancel := context.WithTimeout(t.ctx, adviceTimeout)
		defer cancel()
		answer, err := t.Advisor.Advise(ctx, name, ids)
		t.post(func(t *term) { t.advised(j, step, ids, now, answer, err) })
	}()
}

// adviceCandidates are workers without a valid ticket that may have one: those that were
// not asked about, and those whose ticket is over. The ones with most room come first.
func (t *term) adviceCandidates(s *plan.Snapshot, q ready, now time.Duration) []string {
	known := q.job.advise(q.step)
	nodes := slices.Clone(s.Nodes)
	slices.SortStableFunc(nodes, func(a, b *plan.Node) int {
		return cmp.Or(cmp.Compare(b.Free.Accelerators, a.Free.Accelerators), cmp.Compare(b.Free.CPU, a.Free.CPU))
	})
	most := min(max(adviceWorkers, 2*len(q.tasks)), adviceWorkersMost)
	var ids []string
	for _, n := range nodes {
		w := t.workers[n.Key]
		k, good := known.tickets[w.entry.ID]
		if (good && !k.valid(w, now+ticketMargin)) || !known.asked[w.entry.ID] {
			ids = append(ids, w.entry.ID)
		}
		if len(ids) == most {
			break
		}
	}
	return ids
}

// advised takes an answer to a call that was sent at the given time.
func (t *term) advised(j *job, step int, ids []string, sent time.Duration, answer workers.Advice, err error) {
	t.advising = false
	if err != nil {
		t.adviceAt = t.Now() + adviceRetry
		t.log.Warn("the advice service gave no answer", zap.String("job", j.ID), zap.Int("step", step), zap.Error(err))
		t.wake = min(t.wake, t.adviceAt)
		return
	}
	known := j.advise(step)
	for _, id := range ids {
		known.asked[id] = true
	}
	for id, text := range answer.Tickets {
		known.tickets[id] = ticket{text: text, life: t.current[id], until: sent + answer.Valid}
	}
	t.log.Info("advice", zap.String("job", j.ID), zap.Int("step", step), zap.Int("asked", len(ids)),
		zap.Int("good", len(answer.Tickets)), zap.Duration("valid", answer.Valid), zap.Duration("took", t.Now()-sent))
	t.replan = true
}
