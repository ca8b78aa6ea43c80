package scheduler

import (
	"time"

	"go.uber.org/zap"

	"github.com/daisyfold/daisyfold/internal/engine/manifest"
	"github.com/daisyfold/daisyfold/internal/engine/plan"
)

// maxTicketMargin bounds the part of a ticket's validity that is kept for recording and sending the
// start; at most half of the validity is.
const maxTicketMargin = 300 * time.Millisecond

// adviceState is what a term knows of the advice service.
type adviceState struct {
	manifest *manifest.Manifest // whose queues are in queues
	// queues holds the queues by id. Those that the manifest no longer has stay, because their jobs
	// still need advice.
	queues map[string]queueAdvice
	// inFlight reports whether a call is pending. The next one is sent at nextAt or later.
	inFlight bool
	nextAt   time.Duration
	// busyUntil is when the service should have processed the calls that were sent. It processes
	// those of a host in turn, also those that the host has given up.
	busyUntil time.Duration
	// countsFromCall is set once a worker has refused a ticket whose validity had ended if it
	// counts from the sending of the call, and not from its answer.
	countsFromCall bool
}

// queueAdvice is what the manifest says about advice for the jobs of a queue.
type queueAdvice struct {
	needed bool
	advice manifest.Advice
}

// updateAdvice applies a new version of the manifest.
func (t *term) updateAdvice() {
	m := t.Operator.View().Manifest
	if m == nil || m == t.advice.manifest {
		return
	}
	t.advice.manifest = m
	for _, q := range m.Queues {
		t.advice.queues[q.ID()] = queueAdvice{needed: q.NeedsAdvice, advice: q.Advice}
		if q.NeedsAdvice && t.Advisor == nil {
			t.log.Warn("a queue needs advice, and the settings name no advice service; its jobs wait", zap.String("queue", q.ID()), zap.Int64("manifest", m.Version))
		}
	}
}

// needsAdvice reports whether starts of the job need tickets: as the manifest in force says, which
// can have changed since the job's acceptance.
func (t *term) needsAdvice(j *job) bool {
	if q, known := t.advice.queues[j.Queue]; known {
		return q.needed
	}
	return j.NeedsAdvice
}

// adviceCalls describes the calls for the steps of a job. Of a queue that no manifest of this term
// has, only the duration of the usual call is known.
func (t *term) adviceCalls(j *job) manifest.Advice {
	if q, known := t.advice.queues[j.Queue]; known {
		return q.advice
	}
	return manifest.Advice{Base: time.Duration(j.AdviceMS) * time.Millisecond}
}

// advice is what the advice service has answered for one step.
type advice struct {
	// asked holds the ids of the workers that it was asked about; its answer for a worker
	// never changes.
	asked map[string]bool
	// tickets holds the tickets of the workers that may run the step, by worker id.
	tickets map[string]ticket
	// calls postpones calls for the step after failed ones, and renewals those for workers whose
	// tickets have expired: without a start in between they were of no use.
	calls, renewals retry
}

// ticket permits tasks of a step to start on one incarnation of a worker.
type ticket struct {
	text      string
	workerKey string
	validFor  time.Duration
	// sentAt is when the call was sent, answeredAfter a lower bound of when it was answered, and
	// receivedAt when the answer arrived.
	sentAt, answeredAfter, receivedAt time.Duration
}

// margin returns the part of the ticket's validity that is kept for recording and sending the start.
func (tk ticket) margin() time.Duration { return min(maxTicketMargin, tk.validFor/2) }

// expiresAt returns the end of the ticket's validity. A ticket that would have been of no use from its
// arrival on is tried all the same: the worker may have refused the other one for another reason.
func (a *adviceState) expiresAt(tk ticket) time.Duration {
	if end := tk.sentAt + tk.validFor; a.countsFromCall && end-tk.margin() > tk.receivedAt {
		return end
	}
	return tk.answeredAfter + tk.validFor
}

// permits reports whether the ticket permits starts on the worker at the given time.
func (a *adviceState) permits(tk ticket, w *worker, at time.Duration) bool {
	return tk.workerKey == w.key && at < a.expiresAt(tk)
}

// isUsable reports whether the ticket is valid for long enough for a start that is planned now.
func (a *adviceState) isUsable(tk ticket, w *worker, now time.Duration) bool {
	return a.permits(tk, w, now+tk.margin())
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

// workersWithTicket returns the keys of the workers for which the step has a usable ticket.
func (t *term) workersWithTicket(j *job, step int, now time.Duration) map[string]bool {
	allowed := map[string]bool{}
	for id, tk := range j.adviceFor(step).tickets {
		if w := t.workers[t.latestKeys[id]]; w != nil && t.advice.isUsable(tk, w, now) {
			allowed[w.key] = true
		}
	}
	return allowed
}

// workersPermitted returns the keys of the workers that the step is known to be allowed on, whether
// or not the tickets are still valid.
func (t *term) workersPermitted(s *plan.Snapshot, q readyStep) map[string]bool {
	tickets := q.job.adviceFor(q.step).tickets
	return t.workersWhere(s, func(id string) bool { _, ok := tickets[id]; return ok })
}

// workersNotDenied returns the keys of the workers that the step is or may yet be allowed
// on: all but those that were asked about without getting a ticket.
func (t *term) workersNotDenied(s *plan.Snapshot, q readyStep) map[string]bool {
	known := q.job.adviceFor(q.step)
	return t.workersWhere(s, func(id string) bool { _, ok := known.tickets[id]; return ok || !known.asked[id] })
}

// workersWhere returns the keys of the workers whose id meets the condition.
func (t *term) workersWhere(s *plan.Snapshot, condition func(id string) bool) map[string]bool {
	keys := map[string]bool{}
	for _, n := range s.Nodes {
		if condition(t.workers[n.Key].entry.ID) {
			keys[n.Key] = true
		}
	}
	return keys
}

// ticketFor returns the ticket for the start of a run; ok reports whether the ticket is
// valid.
func (t *term) ticketFor(r *run, now time.Duration) (text string, ok bool) {
	tk := r.job.adviceFor(r.job.StepNumber(r.name.Task)).tickets[r.worker.entry.ID]
	return tk.text, t.advice.permits(tk, r.worker, now)
}

// handleNoTicket processes the refusal of a start for its ticket. Another ticket is asked for.
func (t *term) handleNoTicket(r *run) {
	known, id := r.job.adviceFor(r.job.StepNumber(r.name.Task)), r.worker.entry.ID
	tk := known.tickets[id]
	if tk.workerKey == r.worker.key && !t.advice.countsFromCall && t.Now() >= tk.sentAt+tk.validFor {
		t.advice.countsFromCall = true
		t.log.Info("the validity of tickets counts from the call for advice", zap.Stringer("run", r.name), zap.Duration("valid", tk.validFor))
	}
	delete(known.tickets, id)
	delete(known.asked, id)
}
